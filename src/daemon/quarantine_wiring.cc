#include "daemon/quarantine_wiring.h"

#include <QByteArray>
#include <QCborMap>
#include <QDataStream>
#include <QIODevice>
#include <QJsonObject>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "dispatch/engine_ledger.h"
#include "log/decision_log.h"
#include "quarantine/evidence_codec.h"

namespace anvilridge {
namespace {

constexpr char kEvidenceMethod[] = "quarantine/evidence";
constexpr absl::Duration kEvidenceTimeout = absl::Seconds(1);
// A completion needs an engine of each stage, so that crashes of both count
// together.
constexpr char kStage[] = "any";

const QLatin1String kEvidenceField("evidence");

void Publish(control_state& state) {
  quarantine_report report;
  report.decode = {state.quarantine.evidence, state.quarantine.verdicts};
  state.quarantine_known.Set(
      std::make_shared<const quarantine_report>(std::move(report)));
}

QCborMap EncodeEvidence(const control_state& state) {
  QByteArray bytes;
  QDataStream stream(&bytes, QIODevice::WriteOnly);
  staged_evidence evidence;
  evidence.decode = state.quarantine.evidence;
  WriteEvidence(stream, evidence, MonotonicNow());
  return {{kEvidenceField, bytes}};
}

void Tell(control_state& state, const std::string& address) {
  state.peers_out.Call(address, kEvidenceMethod, EncodeEvidence(state),
                       kEvidenceTimeout, [](const auto&) {});
}

// Tells all other daemons of a change at this one.
void ApplyOwnChange(control_state& state, evidence_change change) {
  if (change == evidence_change::none) return;
  Publish(state);
  const std::string& self = state.membership.Self().daemon;
  for (const auto& [name, address] : state.peer_addresses) {
    if (name != self) Tell(state, address);
  }
}

absl::Status ReceiveEvidence(control_state& state, const QCborMap& message) {
  QDataStream stream(message.value(kEvidenceField).toByteArray());
  const staged_evidence evidence = ReadEvidence(stream, MonotonicNow());
  if (stream.status() != QDataStream::Ok) {
    return MakeError(error_kind::malformed_request,
                     "evidence of crashes was expected");
  }
  if (AddEvidence(state.quarantine, kStage, evidence.decode, MonotonicNow()) !=
      evidence_change::none) {
    Publish(state);
  }
  return absl::OkStatus();
}

void ReportEngineCrash(control_state& state, const std::string& engine,
                       const prompt_parts& parts) {
  LogEvent(log_level::warn, "crash_reported",
           {{"upstream", QtText(engine)},
            {"parts", static_cast<double>(parts.size())}});
  const absl::Time now = MonotonicNow();
  ApplyOwnChange(state, RecordCrash(state.quarantine, kStage,
                                    {EngineKey(engine), now, parts}, now));
}

}  // namespace

void AddQuarantine(request_services& services, control_state& state) {
  services.verdict_on =
      [&state, daemon = state.settings.identity.name](
          const prompt_parts& parts) -> std::optional<quarantine_verdict> {
    const auto known = state.quarantine_known.Get();
    if (!known) return std::nullopt;
    auto verdict = VerdictAgainst(known->decode.verdicts, parts);
    if (verdict) verdict->next_trial = TrialTime(*verdict, daemon);
    return verdict;
  };
  services.begin_trial = [&state](const prompt_parts& parts) {
    PostTo(&state.context, [&state, parts] {
      RecordTrials(state.quarantine, kStage, parts, MonotonicNow());
      ApplyOwnChange(state, evidence_change::news);
    });
  };
  services.report_crash = [&state](const std::string& engine,
                                   const prompt_parts& parts) {
    PostTo(&state.context, [&state, engine, parts] {
      ReportEngineCrash(state, engine, parts);
    });
  };
  services.report_handled = [&state](const prompt_parts& parts) {
    PostTo(&state.context, [&state, parts] {
      ApplyOwnChange(state, RecordHandled(state.quarantine, kStage, parts,
                                          MonotonicNow()));
    });
  };
}

void ServeEvidence(control_state& state) {
  state.peers_in.Handle(
      kEvidenceMethod,
      [&state](const QCborMap& message, const peer_responder& respond) {
        const absl::Status received = ReceiveEvidence(state, message);
        if (!received.ok()) return respond(received);
        respond(QCborMap());
      });
}

void ShareEvidence(control_state& state) {
  if (state.quarantine.evidence.reports.empty()) return;
  RemoveOldEvidence(state.quarantine, kStage, MonotonicNow());
  Publish(state);
  if (state.peer_addresses.empty()) return;
  static thread_local std::mt19937_64 random{std::random_device{}()};
  std::uniform_int_distribution<size_t> index(0,
                                              state.peer_addresses.size() - 1);
  const auto peer = std::next(state.peer_addresses.begin(),
                              static_cast<std::ptrdiff_t>(index(random)));
  if (peer->first != state.membership.Self().daemon) Tell(state, peer->second);
}

void LiftQuarantine(control_state& state, prompt_part part) {
  ApplyOwnChange(state,
                 LiftVerdicts(state.quarantine, kStage, part, MonotonicNow()));
}

}  // namespace anvilridge
