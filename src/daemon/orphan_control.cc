#include "daemon/orphan_control.h"

#include <QCborArray>
#include <QCborMap>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "log/decision_log.h"
#include "peer/cbor_fields.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kHeldTimeout = absl::Seconds(1);
constexpr char kIds[] = "ids";

QCborMap IdsMessage(const std::vector<std::string>& ids) {
  QCborArray array;
  for (const std::string& id : ids) array.append(CborText(id));
  return {{QLatin1String(kIds), array}};
}

absl::StatusOr<std::set<std::string>> ParseIds(const QCborMap& message) {
  const absl::StatusOr<QCborArray> array = GetArray(message, kIds);
  if (!array.ok()) return array.status();
  if (array->size() > static_cast<qsizetype>(kMaxIdsPerOwnershipQuery)) {
    return MakeError(error_kind::malformed_request, "too many ids");
  }
  std::set<std::string> ids;
  for (const QCborValue id : *array) ids.insert(id.toString().toStdString());
  return ids;
}

std::vector<std::string> HeldHere(const control_state& state,
                                  const std::set<std::string>& ids) {
  std::vector<std::string> held;
  for (const auto& [id, request] : state.requests.active) {
    if (ids.contains(request.engine_request_id)) {
      held.push_back(request.engine_request_id);
    }
  }
  return held;
}

std::string PeerAddressOf(const control_state& state,
                          const std::string& daemon) {
  for (const member& known : state.membership.Members()) {
    if (known.id.daemon == daemon) return known.peer_address;
  }
  return "";
}

void CancelOrphan(control_state& state, const upstream_config& engine,
                  const std::string& request_id, const std::string& owner,
                  const char* why) {
  LogEvent(log_level::warn, "orphan_cancelled",
           {{"request_id", QString::fromStdString(request_id)},
            {"owner", QString::fromStdString(owner)},
            {"upstream", QString::fromStdString(engine.name)},
            {"why", why}});
  ++state.orphans_cancelled;
  state.cancels.Cancel({request_id, owner, engine.name, engine.address});
}

void TakeHeld(control_state& state, const upstream_config& engine,
              const ownership_query& question,
              const std::set<std::string>& held) {
  const std::vector<std::string> denied =
      ApplyOwnershipReply(state.held[engine.name], question, held, {});
  for (const std::string& id : denied) {
    CancelOrphan(state, engine, id, OwnerText(question.owner),
                 "its owner has forgotten it");
  }
  // A denial counts only when the next list still shows the request.
  if (!state.held[engine.name].denials.empty()) {
    state.homes.ExpediteListForOrphan(engine.name);
  }
}

void Ask(control_state& state, const upstream_config& engine,
         const ownership_query& question) {
  if (question.owner.daemon == state.membership.Self().daemon) {
    const std::vector<std::string> held = HeldHere(
        state, {question.request_ids.begin(), question.request_ids.end()});
    return TakeHeld(state, engine, question, {held.begin(), held.end()});
  }
  state.peers_out.Call(
      PeerAddressOf(state, question.owner.daemon), kOwnershipMethod,
      IdsMessage(question.request_ids), kHeldTimeout,
      [&state, engine, question](const absl::StatusOr<QCborMap>& answer) {
        // An owner that does not answer has denied nothing.
        if (!answer.ok()) return;
        const auto held = ParseIds(*answer);
        if (held.ok()) TakeHeld(state, engine, question, *held);
      });
}

}  // namespace

void ServeHeldQuestions(control_state& state) {
  state.peers_in.Handle(
      kOwnershipMethod,
      [&state](const QCborMap& request, const peer_responder& respond) {
        const auto ids = ParseIds(request);
        if (!ids.ok()) return respond(ids.status());
        respond(IdsMessage(HeldHere(state, *ids)));
      });
}

void SweepOrphans(control_state& state, const upstream_config& engine,
                  absl::Span<const engine_request> listed) {
  const owner_liveness_check is_live = [&state](const owner_id& owner) {
    return state.membership.IsOwnerLive(owner);
  };
  const std::vector<engine_request> orphans = FindOrphans(
      state.orphans[engine.name], listed, is_live, {}, MonotonicNow());
  if (!state.orphans[engine.name].watched.empty()) {
    state.homes.ExpediteListForOrphan(engine.name);
  }
  for (const engine_request& orphan : orphans) {
    CancelOrphan(state, engine, orphan.request_id, orphan.owner,
                 "its owner is gone");
  }
  const std::vector<ownership_query> questions =
      CollectOwnershipQueries(state.held[engine.name], listed, is_live, {});
  for (const ownership_query& question : questions) {
    Ask(state, engine, question);
  }
}

}  // namespace anvilridge
