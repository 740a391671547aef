#include "dispatch/upstream_statement.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "dispatch/engine_ledger.h"

namespace anvilridge {
namespace {

// How long the statements of an instance are kept after its registration has
// disappeared: longer than an upstream may go on serving without one.
constexpr absl::Duration kGoneInstanceMemory = absl::Minutes(10);

// How long a report of another daemon counts. It is repeated in each of that
// daemon's load messages, of which some may be lost.
constexpr absl::Duration kReportLifetime = absl::Seconds(2);

// Returns what the registered instance of `upstream` has stated, or null.
// Registrations without a start time count as the known instance.
const stated_absence* FindAbsence(const stated_absences& absences,
                                  const fleet_upstream& upstream) {
  const auto found = absences.find(upstream.id);
  if (found == absences.end()) return nullptr;
  return upstream.started_ms > found->second.started_ms ? nullptr
                                                        : &found->second;
}

}  // namespace

statement_news RecordStatement(stated_absences& absences,
                               const fleet_upstream& upstream,
                               const upstream_statement& statement,
                               absl::Time now) {
  statement_news news;
  if (!statement.leaving && !statement.pause && statement.unreadable.empty()) {
    return news;
  }
  stated_absence& entry = absences[upstream.id];
  // A late response of an instance that has been replaced.
  if (upstream.started_ms < entry.started_ms) return news;
  if (upstream.started_ms > entry.started_ms) {
    entry = stated_absence();
    entry.started_ms = upstream.started_ms;
  }
  if (statement.leaving && !entry.leaving) {
    entry.leaving = true;
    news.leaving = true;
  }
  if (statement.pause) {
    news.paused =
        entry.paused_until <= now && *statement.pause > absl::ZeroDuration();
    entry.paused_until = std::max(entry.paused_until, now + *statement.pause);
  }
  for (const std::string& field : statement.unreadable) {
    if (entry.reported_unreadable.insert(field).second) {
      news.unreadable.push_back(field);
    }
  }
  return news;
}

absence_reason AbsenceOf(const stated_absences& absences,
                         const fleet_upstream& upstream, absl::Time now) {
  const stated_absence* entry = FindAbsence(absences, upstream);
  if (entry == nullptr) return absence_reason::none;
  if (entry->leaving) return absence_reason::leaving;
  return now < entry->paused_until ? absence_reason::paused
                                   : absence_reason::none;
}

absl::Time AbsentUntil(const stated_absences& absences,
                       const fleet_upstream& upstream) {
  const stated_absence* entry = FindAbsence(absences, upstream);
  if (entry == nullptr) return absl::InfinitePast();
  return entry->leaving ? absl::InfiniteFuture() : entry->paused_until;
}

void RemoveGoneInstances(
    stated_absences& absences,
    const std::map<std::string, std::vector<fleet_upstream>, std::less<>>&
        upstreams,
    absl::Time now) {
  std::map<std::string, int64_t, std::less<>> registered;
  for (const auto& [service, entries] : upstreams) {
    for (const fleet_upstream& upstream : entries) {
      registered[upstream.id] = upstream.started_ms;
    }
  }
  for (auto it = absences.begin(); it != absences.end();) {
    stated_absence& absence = it->second;
    const auto found = registered.find(it->first);
    bool remove = false;
    if (found != registered.end()) {
      absence.gone_since = absl::InfiniteFuture();
      remove = found->second > absence.started_ms;
    } else {
      absence.gone_since = std::min(absence.gone_since, now);
      remove = absence.started_ms == 0 ||
               now - absence.gone_since > kGoneInstanceMemory;
    }
    it = remove ? absences.erase(it) : std::next(it);
  }
}

uint32_t InstanceKey(absl::string_view upstream_id, int64_t started_ms) {
  return EngineKey(absl::StrCat(upstream_id, "@", started_ms));
}

std::vector<uint32_t> LeavingInstances(const stated_absences& absences) {
  std::vector<uint32_t> keys;
  for (const auto& [id, absence] : absences) {
    if (!absence.leaving || absence.gone_since < absl::InfiniteFuture()) {
      continue;
    }
    keys.push_back(InstanceKey(id, absence.started_ms));
  }
  return keys;
}

void RecordReportedDeparture(reported_departures& reports, uint32_t instance,
                             absl::Time now) {
  std::erase_if(reports, [now](const auto& report) {
    return now - report.second >= kReportLifetime;
  });
  reports[instance] = now;
}

bool IsReportedLeaving(const reported_departures& reports,
                       const fleet_upstream& upstream, absl::Time now) {
  if (reports.empty()) return false;
  const auto found =
      reports.find(InstanceKey(upstream.id, upstream.started_ms));
  return found != reports.end() && now - found->second < kReportLifetime;
}

}  // namespace anvilridge
