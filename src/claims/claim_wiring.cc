#include "claims/claim_wiring.h"

#include <memory>
#include <utility>

#include "base/call_gate.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "claims/claim_service.h"

namespace anvilridge {
namespace {

// Largest number of reads of the log in progress at a time. Each read uses a
// connection of its own, and a daemon that becomes the home of many partitions
// at a time must not flood the log with connections.
constexpr int kMaxConcurrentReads = 8;

}  // namespace

claim_io MakeClaimIo(log_client& log, peer_client& peers,
                     membership_service& membership, QObject* context) {
  claim_io io;
  io.append = [&log](const std::string& stream,
                     const std::vector<log_append>& records, auto done) {
    log.Append(stream, records, std::move(done));
  };
  const auto read_gate = std::make_shared<call_gate>(kMaxConcurrentReads);
  io.read = [&log, read_gate](const std::string& stream, int64_t from,
                              int limit, auto done) {
    read_gate->Run(
        [&log, stream, from, limit, done](const call_gate::release& release) {
          log.Read(stream, from, limit, absl::ZeroDuration(),
                   [done, release](absl::StatusOr<log_page> page) {
                     release();
                     done(std::move(page));
                   });
        });
  };
  io.call = [&peers](const std::string& address, const std::string& method,
                     const QCborMap& request, absl::Duration timeout,
                     auto done) {
    peers.Call(address, method, request, timeout, std::move(done));
  };
  io.live_members = [&membership] { return membership.Live(); };
  io.self = [&membership] { return membership.Self(); };
  io.now = MonotonicNow;
  io.wall_now = WallNow;
  io.run_after = [context](absl::Duration delay, std::function<void()> task) {
    RunAfter(context, delay, std::move(task));
  };
  return io;
}

void claim_service::RegisterPeerHandlers(peer_server& server) {
  server.Handle("claims/claim",
                [this](const QCborMap& request, const peer_responder& respond) {
                  HandleClaim(request, respond);
                });
  server.Handle("claims/settle",
                [this](const QCborMap& request, const peer_responder& respond) {
                  HandleSettle(request, respond);
                });
}

}  // namespace anvilridge
