#include "placement/home_calls.h"

#include <utility>

#include "base/error_kind.h"

namespace anvilridge {
namespace {

// A home that doesn't answer within this time is passed over.
constexpr absl::Duration kAskTimeout = absl::Milliseconds(250);

// Whether the home could not be asked: then this daemon answers in its place
// until membership has found another, since the engine has the last word.
bool IsOutOfReach(const absl::Status& status) {
  return KindOf(status) == error_kind::upstream_failed ||
         KindOf(status) == error_kind::upstream_stalled;
}

}  // namespace

void AskHome(const home_calls& homes, const decode_ask_message& message,
             engine_homes::decode_callback done) {
  const std::string address = homes.home_address(message.engine);
  if (address.empty()) return homes.local->Ask(message, std::move(done));
  homes.peers->Call(address, kAskDecodeMethod, ToCbor(message),
                    message.ask.may_wait + kAskTimeout,
                    [local = homes.local, message,
                     done](const absl::StatusOr<QCborMap>& answer) {
                      if (answer.ok()) return done(ParseDecodeAnswer(*answer));
                      if (!IsOutOfReach(answer.status())) {
                        return done(answer.status());
                      }
                      local->Ask(message, done);
                    });
}

void AskHome(const home_calls& homes, const prefill_ask_message& message,
             const engine_homes::prefill_callback& done) {
  const std::string address = homes.home_address(message.engine);
  if (address.empty()) return homes.local->Ask(message, done);
  homes.peers->Call(address, kAskPrefillMethod, ToCbor(message), kAskTimeout,
                    [local = homes.local, message,
                     done](const absl::StatusOr<QCborMap>& answer) {
                      if (answer.ok()) return done(ParsePrefillAnswer(*answer));
                      if (!IsOutOfReach(answer.status())) {
                        return done(answer.status());
                      }
                      local->Ask(message, done);
                    });
}

void ReleaseAtHome(const home_calls& homes, const release_message& message) {
  const std::string address = homes.home_address(message.engine);
  if (address.empty()) return homes.local->Release(message);
  homes.peers->Call(
      address, kReleaseMethod, ToCbor(message), kAskTimeout,
      [local = homes.local, message](const absl::StatusOr<QCborMap>& answer) {
        if (!answer.ok()) local->Release(message);
      });
}

}  // namespace anvilridge
