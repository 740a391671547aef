#include "placement/home_calls.h"

#include <utility>

#include "base/error_kind.h"
#include "base/event_loop.h"

namespace anvilridge {
namespace {

// A home that doesn't reply within this time, besides the time that the request
// may wait there, counts as unreachable.
constexpr absl::Duration kReplyTimeout = absl::Milliseconds(250);
// How long a release waits for others to share its call. The released place
// stays idle for this time.
constexpr absl::Duration kReleaseBatchWindow = absl::Milliseconds(10);
// Number of prefill timings kept for one daemon; the oldest are dropped first.
constexpr size_t kMaxPendingTimings = 4;

// Whether the call failed because the home is unreachable. This daemon then
// decides in its place until the membership has found another home. That is
// safe, because the engine itself accepts or refuses the request in the end.
bool IsUnreachable(const absl::Status& status) {
  return KindOf(status) == error_kind::upstream_failed ||
         KindOf(status) == error_kind::upstream_stalled;
}

// Whether the home has refused a message with numbers as keys: daemons of the
// first version understand only keys that are names.
bool RequiresNamedKeys(const absl::Status& status) {
  return KindOf(status) == error_kind::malformed_request;
}

std::vector<release_message> TakePendingTimings(home_calls& homes,
                                                const std::string& address) {
  auto node = homes.pending_timings.extract(address);
  if (node.empty()) return {};
  return std::move(node.mapped());
}

template <typename Message, typename Reply>
struct reservation_call {
  const char* method;
  Message message;
  absl::Duration timeout;
  absl::StatusOr<Reply> (*parse)(const QCborMap& map);
  std::function<void(absl::StatusOr<Reply>)> done;
};

template <typename Message, typename Reply>
void SendReservationRequest(peer_client* peers, engine_homes* local,
                            const std::string& address,
                            const reservation_call<Message, Reply>& call,
                            key_form form,
                            absl::Span<const release_message> timings) {
  QCborMap body = ToCbor(call.message, form);
  AttachReleases(timings, body);
  peers->Call(address, call.method, body, call.timeout,
              [peers, local, address, call,
               form](const absl::StatusOr<QCborMap>& reply) {
                if (reply.ok()) return call.done(call.parse(*reply));
                const absl::Status& status = reply.status();
                if (IsUnreachable(status)) {
                  return local->Reserve(call.message, call.done);
                }
                if (RequiresNamedKeys(status) && form == key_form::numbers) {
                  return SendReservationRequest(peers, local, address, call,
                                                key_form::names, {});
                }
                call.done(status);
              });
}

void ReleaseWithNamedKeys(peer_client* peers, engine_homes* local,
                          const std::string& address,
                          const release_message& message) {
  peers->Call(address, kReleaseMethod, ToCbor(message, key_form::names),
              kReplyTimeout,
              [local, message](const absl::StatusOr<QCborMap>& reply) {
                if (!reply.ok()) local->Release(message);
              });
}

void SendReleases(home_calls& homes, const std::string& address) {
  auto node = homes.pending_releases.extract(address);
  if (node.empty()) return;
  std::vector<release_message> releases = std::move(node.mapped());
  std::vector<release_message> carried(releases.begin() + 1, releases.end());
  for (release_message& timing : TakePendingTimings(homes, address)) {
    carried.push_back(std::move(timing));
  }
  QCborMap body = ToCbor(releases.front(), key_form::numbers);
  AttachReleases(carried, body);
  peer_client* peers = homes.peers;
  engine_homes* local = homes.local;
  peers->Call(address, kReleaseMethod, body, kReplyTimeout,
              [peers, local, address, releases = std::move(releases)](
                  const absl::StatusOr<QCborMap>& reply) {
                if (reply.ok()) return;
                const bool use_names = RequiresNamedKeys(reply.status());
                for (const release_message& release : releases) {
                  if (use_names) {
                    ReleaseWithNamedKeys(peers, local, address, release);
                  } else {
                    local->Release(release);
                  }
                }
              });
}

template <typename Message, typename Reply>
void ReserveLocallyOrRemotely(home_calls& homes,
                              const reservation_call<Message, Reply>& call) {
  const std::string address = homes.home_address(call.message.engine);
  if (address.empty()) return homes.local->Reserve(call.message, call.done);
  // Sends the waiting releases first: a release from an earlier round of this
  // request would undo the new reservation if it arrived after it.
  SendReleases(homes, address);
  SendReservationRequest(homes.peers, homes.local, address, call,
                         key_form::numbers, TakePendingTimings(homes, address));
}

}  // namespace

void ReserveAtHome(home_calls& homes, const reserve_decode_message& message,
                   engine_homes::decode_callback done) {
  ReserveLocallyOrRemotely(
      homes, reservation_call<reserve_decode_message, reserve_decode_reply>{
                 kReserveDecodeMethod, message,
                 message.request.max_queue_wait + kReplyTimeout,
                 &ParseReserveDecodeReply, std::move(done)});
}

void ReserveAtHome(home_calls& homes, const reserve_prefill_message& message,
                   engine_homes::prefill_callback done) {
  ReserveLocallyOrRemotely(
      homes, reservation_call<reserve_prefill_message, reserve_prefill_reply>{
                 kReservePrefillMethod, message, kReplyTimeout,
                 &ParseReservePrefillReply, std::move(done)});
}

void ReleaseAtHome(home_calls& homes, const release_message& message) {
  const std::string address = homes.home_address(message.engine);
  if (address.empty()) return homes.local->Release(message);
  std::vector<release_message>& waiting = homes.pending_releases[address];
  waiting.push_back(message);
  if (waiting.size() > 1) return;
  RunAfter(homes.context.get(), kReleaseBatchWindow,
           [&homes, address] { SendReleases(homes, address); });
}

void ReportPrefillTiming(home_calls& homes, const release_message& timing) {
  const std::string address = homes.home_address(timing.engine);
  if (address.empty()) return homes.local->Release(timing);
  std::vector<release_message>& timings = homes.pending_timings[address];
  if (timings.size() == kMaxPendingTimings) timings.erase(timings.begin());
  timings.push_back(timing);
}

}  // namespace anvilridge
