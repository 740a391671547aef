// Cost of being an engine's home: home_cost ENGINES ROWS DAEMONS UPSTREAMS
#include <QCborValue>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench_meter.h"
#include "membership/home_map.h"
#include "orphans/orphan_sweep.h"
#include "placement/candidate_choice.h"
#include "placement/decode_ledger.h"
#include "placement/home_messages.h"
#include "placement/list_schedule.h"
#include "placement/place_queue.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

std::vector<engine_request> Rows(int engine, int count) {
  std::vector<engine_request> rows;
  for (int i = 0; i < count; ++i) {
    engine_request row;
    row.request_id = absl::StrCat("0123456789abcdef0123456789ab", engine, i);
    row.owner = absl::StrCat("entry-zagreb-a-", i, ":1800000000000000");
    row.phase = engine_phase::decode;
    row.pieces = 80;
    row.prompt_tokens = 900;
    row.generated = 200;
    row.max_tokens = 400;
    row.age = absl::Seconds(4);
    row.attached = true;
    rows.push_back(row);
  }
  return rows;
}

// The list as an engine sends it.
QByteArray ListText(const std::vector<engine_request>& rows, int finished) {
  QJsonArray requests;
  for (const engine_request& row : rows) {
    requests.append(
        QJsonObject{{"request_id", QString::fromStdString(row.request_id)},
                    {"owner", QString::fromStdString(row.owner)},
                    {"phase", "decode"},
                    {"pieces", row.pieces},
                    {"prompt_tokens", row.prompt_tokens},
                    {"generated", row.generated},
                    {"max_tokens", row.max_tokens},
                    {"age_ms", 4000},
                    {"attached", true}});
  }
  QJsonArray ended;
  for (int i = 0; i < finished; ++i) {
    ended.append(QJsonObject{
        {"request_id", QString("0123456789abcdef0123456789ab%1").arg(i)},
        {"generated", 400}});
  }
  return QJsonDocument(QJsonObject{{"requests", requests}, {"finished", ended}})
      .toJson(QJsonDocument::Compact);
}

// The changes as an engine sends them: `changed` requests began or moved on,
// and as many ended.
QByteArray ChangesText(const std::vector<engine_request>& changed) {
  QJsonObject list = QJsonDocument::fromJson(ListText(changed, 0)).object();
  QJsonArray gone;
  for (const engine_request& row : changed) {
    gone.append(QString::fromStdString(row.request_id));
  }
  list.remove("finished");
  list["version"] = "1800000000000000000.1001";
  list["since"] = "1800000000000000000.1000";
  list["gone"] = gone;
  return QJsonDocument(list).toJson(QJsonDocument::Compact);
}

// Returns the interval at which an engine is listed over an hour of virtual
// time in which requests follow each other on all its `rows` places, each in
// use for 8 s, and one of `lost_every` releases is lost.
double ListInterval(const list_conditions& round, int rows, int lost_every) {
  constexpr absl::Duration kUse = absl::Seconds(8);
  constexpr absl::Duration kRun = absl::Hours(1);
  decode_ledger ledger;
  ledger.slots = 2 * rows;
  ledger.pieces = 200 * rows;
  std::vector<engine_request> running;
  list_conditions situation = round;
  absl::Time listed = kStart;
  int started = 0;
  int lists = 0;
  for (absl::Time now = kStart; now < kStart + kRun; now += kUse / rows) {
    if (running.size() == static_cast<size_t>(rows)) {
      const std::string ended = running.front().request_id;
      running.erase(running.begin());
      if (started % lost_every != 0) ReleaseDecode(ledger, ended);
    }
    engine_request row = Rows(0, 1).front();
    row.request_id = absl::StrCat(++started);
    ReserveDecode(ledger, {row.request_id, row.owner, 80, {}, kUse, {}, "team"},
                  {}, now);
    running.push_back(row);
    ExpireReservations(
        ledger, [](absl::string_view) { return true; }, now);
    situation.first_overdue_at = NextOverdueTime({}, ledger);
    if (NextListTime({}, situation, listed) > now) continue;
    MergeDecodeList(ledger, running, absl::Milliseconds(25), now, now);
    listed = now;
    ++lists;
  }
  return absl::ToDoubleSeconds(kRun) / std::max(lists, 1);
}

int Run(int engines, int rows, int daemons, int upstreams) {
  const double before = HeapBytes();
  std::vector<decode_ledger> ledgers(engines);
  std::vector<std::vector<engine_request>> lists;
  lists.reserve(engines);
  for (int i = 0; i < engines; ++i) lists.push_back(Rows(i, rows));
  const double rows_heap = HeapBytes() - before;
  std::vector<orphan_watch> watches(engines);
  const auto merge_all = [&] {
    for (int i = 0; i < engines; ++i) {
      ledgers[i].slots = rows;
      ledgers[i].pieces = 2000;
      MergeDecodeList(ledgers[i], lists[i], absl::Milliseconds(25), kStart,
                      kStart);
      FindOrphans(
          watches[i], lists[i], [](const owner_id&) { return true; }, {},
          kStart);
    }
  };
  merge_all();
  const double ledgers_heap = HeapBytes() - before - rows_heap;
  const double merge = CpuOf(20, merge_all);
  const QByteArray text = ListText(lists[0], 0);
  const QByteArray with_finished = ListText(lists[0], 1);
  // Requests of 8 s on all places, 2 s after the last list.
  const QByteArray changes = ChangesText(Rows(0, std::max(1, rows / 4)));
  const double parse =
      CpuOf(200, [&] { (void)QJsonDocument::fromJson(text).object().size(); });

  reserve_decode_message ask{"engine-zagreb-a-1",
                             {"0123456789abcdef0123456789abcdef",
                              "entry-zagreb-a-1:1800000000000000",
                              80,
                              absl::Milliseconds(300),
                              absl::Seconds(8),
                              {},
                              "team-with-a-name-17"}};
  decode_ledger free_ledger = ledgers[0];
  free_ledger.slots = rows + 1;
  const double ask_release = CpuOf(1000, [&] {
    const QByteArray body = QCborValue(ToCbor(ask, key_form::numbers)).toCbor();
    const auto parsed = ParseReserveDecode(QCborValue::fromCbor(body).toMap());
    const reserve_decode_reply answer =
        ReserveDecode(free_ledger, parsed->request, {}, kStart);
    (void)QCborValue(ToCbor(answer, key_form::numbers)).toCbor();
    ReleaseDecode(free_ledger, ask.request.request_id);
  });
  // One that learns its position behind a hundred others, of ten teams.
  constexpr int kQueued = 100;
  place_queue queue;
  decode_ledger full_ledger = ledgers[0];
  for (int i = 0; i < kQueued; ++i) {
    queued_reservation waiting{ask.request, kStart, kStart + absl::Seconds(1)};
    waiting.request.request_id = absl::StrCat("request-", i);
    waiting.request.team = absl::StrCat("team-with-a-name-", i % 10);
    EnqueueReservation(queue.reservations, std::move(waiting));
  }
  const double ask_behind = CpuOf(100, [&] {
    (void)ReserveOrQueue(queue, full_ledger, ask.request, {}, kStart);
  });
  const qsizetype ask_bytes =
      QCborValue(ToCbor(ask, key_form::numbers)).toCbor().size();
  const qsizetype answer_bytes =
      QCborValue(ToCbor(reserve_decode_reply{}, key_form::numbers))
          .toCbor()
          .size();
  const release_message release{"engine-zagreb-a-1", ask.request.request_id,
                                900, absl::Milliseconds(120)};
  const qsizetype release_bytes =
      QCborValue(ToCbor(release, key_form::numbers)).toCbor().size();

  std::vector<std::string> names;
  names.reserve(daemons);
  for (int i = 0; i < daemons; ++i) {
    names.push_back(absl::StrCat("entry-zagreb-a-", i));
  }
  size_t homed = 0;
  const double find_homes = CpuOf(2, [&] {
    homed = 0;
    for (int i = 0; i < upstreams; ++i) {
      homed += HomeOf(absl::StrCat("engine-zagreb-a-", i), names) == names[0];
    }
  });

  config_state config;
  constexpr int kPools = 46;  // Prefill and decode of 23 models.
  for (int i = 0; i < upstreams; ++i) {
    upstream_config& upstream =
        config.upstreams[absl::StrCat("engine-zagreb-a-", i)];
    upstream.pool = absl::StrCat("pool-", i % kPools);
  }
  size_t found = 0;
  const double candidates =
      CpuOf(50, [&] { found = CandidatesInPool(config, "pool-1", {}).size(); });

  list_conditions situation;
  situation.live_daemons = daemons;
  situation.round_bytes = engines * EstimateListBytes(rows);
  const double routine =
      absl::ToDoubleSeconds(NextListTime({}, situation, kStart) - kStart);
  constexpr int kNever = 1'000'000;
  constexpr int kOneInThousand = 1000;
  constexpr int kOneInHundred = 100;
  PrintLine(
      {{"bench", "home_cost"},
       {"engines", engines},
       {"rows", rows},
       {"daemons", daemons},
       {"upstreams", upstreams},
       {"ledger_heap_bytes", ledgers_heap},
       {"list_body_bytes", static_cast<double>(text.size())},
       {"changes_body_bytes_2s", static_cast<double>(changes.size())},
       {"finished_row_bytes",
        static_cast<double>(with_finished.size() - text.size())},
       {"parse_list_us", parse},
       {"merge_all_us", merge},
       {"ask_and_release_us", ask_release},
       {"ask_behind_100_us", ask_behind},
       {"ask_body_bytes", static_cast<double>(ask_bytes)},
       {"answer_body_bytes", static_cast<double>(answer_bytes)},
       {"release_body_bytes", static_cast<double>(release_bytes)},
       {"find_homes_us", find_homes},
       {"candidates_us", candidates},
       {"candidates", static_cast<double>(found)},
       {"homed", static_cast<double>(homed)},
       {"list_interval_routine_s", routine},
       {"list_interval_under_load_s", ListInterval(situation, rows, kNever)},
       {"list_interval_lost_1_in_1000_s",
        ListInterval(situation, rows, kOneInThousand)},
       {"list_interval_lost_1_in_100_s",
        ListInterval(situation, rows, kOneInHundred)}});
  return 0;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  using anvilridge::SizeArgument;
  return anvilridge::Run(
      SizeArgument(argc, argv, 1, 13), SizeArgument(argc, argv, 2, 20),
      SizeArgument(argc, argv, 3, 370), SizeArgument(argc, argv, 4, 4900));
}
