#include "placement/home_calls.h"

#include <utility>

namespace anvilridge {
namespace {

// A home that doesn't answer within this time is passed over.
constexpr absl::Duration kAskTimeout = absl::Milliseconds(250);

}  // namespace

void AskHome(const home_calls& homes, const decode_ask_message& message,
             engine_homes::decode_callback done) {
  const std::string address = homes.home_address(message.engine);
  if (address.empty()) return homes.local->Ask(message, std::move(done));
  homes.peers->Call(address, kAskDecodeMethod, ToCbor(message),
                    message.ask.may_wait + kAskTimeout,
                    [done](absl::StatusOr<QCborMap> answer) {
                      if (!answer.ok()) return done(answer.status());
                      done(ParseDecodeAnswer(*answer));
                    });
}

void AskHome(const home_calls& homes, const prefill_ask_message& message,
             const engine_homes::prefill_callback& done) {
  const std::string address = homes.home_address(message.engine);
  if (address.empty()) return homes.local->Ask(message, done);
  homes.peers->Call(address, kAskPrefillMethod, ToCbor(message), kAskTimeout,
                    [done](absl::StatusOr<QCborMap> answer) {
                      if (!answer.ok()) return done(answer.status());
                      done(ParsePrefillAnswer(*answer));
                    });
}

void ReleaseAtHome(const home_calls& homes, const release_message& message) {
  const std::string address = homes.home_address(message.engine);
  if (address.empty()) return homes.local->Release(message);
  homes.peers->Call(address, kReleaseMethod, ToCbor(message), kAskTimeout,
                    [](const absl::StatusOr<QCborMap>&) {});
}

}  // namespace anvilridge
