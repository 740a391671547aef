#include "placement/home_calls.h"

#include <utility>

#include "base/error_kind.h"
#include "base/event_loop.h"

namespace anvilridge {
namespace {

// A home that doesn't answer within this time is passed over.
constexpr absl::Duration kAskTimeout = absl::Milliseconds(250);
// How long a release waits for others. A place lies idle for as long.
constexpr absl::Duration kReleaseWindow = absl::Milliseconds(10);
// Lessons kept for one daemon; later ones replace the first.
constexpr size_t kMaxLessons = 4;

// Whether the home could not be asked: then this daemon answers in its place
// until membership has found another, since the engine has the last word.
bool IsOutOfReach(const absl::Status& status) {
  return KindOf(status) == error_kind::upstream_failed ||
         KindOf(status) == error_kind::upstream_stalled;
}

// A home of the first version reads names only.
bool WantsNames(const absl::Status& status) {
  return KindOf(status) == error_kind::malformed_request;
}

std::vector<release_message> TakeLessons(home_calls& homes,
                                         const std::string& address) {
  auto node = homes.lessons.extract(address);
  if (node.empty()) return {};
  return std::move(node.mapped());
}

template <typename Message, typename Answer>
struct home_ask {
  const char* method;
  Message message;
  absl::Duration timeout;
  absl::StatusOr<Answer> (*parse)(const QCborMap& map);
  std::function<void(absl::StatusOr<Answer>)> done;
};

template <typename Message, typename Answer>
void SendAsk(peer_client* peers, engine_homes* local,
             const std::string& address, const home_ask<Message, Answer>& ask,
             key_form form, absl::Span<const release_message> lessons) {
  QCborMap body = ToCbor(ask.message, form);
  Carry(lessons, body);
  peers->Call(address, ask.method, body, ask.timeout,
              [peers, local, address, ask,
               form](const absl::StatusOr<QCborMap>& answer) {
                if (answer.ok()) return ask.done(ask.parse(*answer));
                const absl::Status& status = answer.status();
                if (IsOutOfReach(status)) {
                  return local->Ask(ask.message, ask.done);
                }
                if (WantsNames(status) && form == key_form::numbers) {
                  return SendAsk(peers, local, address, ask, key_form::names,
                                 {});
                }
                ask.done(status);
              });
}

void ReleaseByNames(peer_client* peers, engine_homes* local,
                    const std::string& address,
                    const release_message& message) {
  peers->Call(address, kReleaseMethod, ToCbor(message, key_form::names),
              kAskTimeout,
              [local, message](const absl::StatusOr<QCborMap>& answer) {
                if (!answer.ok()) local->Release(message);
              });
}

void SendReleases(home_calls& homes, const std::string& address) {
  auto node = homes.releases.extract(address);
  if (node.empty()) return;
  std::vector<release_message> releases = std::move(node.mapped());
  std::vector<release_message> carried(releases.begin() + 1, releases.end());
  for (release_message& lesson : TakeLessons(homes, address)) {
    carried.push_back(std::move(lesson));
  }
  QCborMap body = ToCbor(releases.front(), key_form::numbers);
  Carry(carried, body);
  peer_client* peers = homes.peers;
  engine_homes* local = homes.local;
  peers->Call(address, kReleaseMethod, body, kAskTimeout,
              [peers, local, address, releases = std::move(releases)](
                  const absl::StatusOr<QCborMap>& answer) {
                if (answer.ok()) return;
                const bool names = WantsNames(answer.status());
                for (const release_message& release : releases) {
                  if (names) {
                    ReleaseByNames(peers, local, address, release);
                  } else {
                    local->Release(release);
                  }
                }
              });
}

template <typename Message, typename Answer>
void AskAnywhere(home_calls& homes, const home_ask<Message, Answer>& ask) {
  const std::string address = homes.home_address(ask.message.engine);
  if (address.empty()) return homes.local->Ask(ask.message, ask.done);
  // A release must not overtake the ask of a new round of the same request.
  SendReleases(homes, address);
  SendAsk(homes.peers, homes.local, address, ask, key_form::numbers,
          TakeLessons(homes, address));
}

}  // namespace

void AskHome(home_calls& homes, const decode_ask_message& message,
             engine_homes::decode_callback done) {
  AskAnywhere(homes,
              home_ask<decode_ask_message, decode_answer>{
                  kAskDecodeMethod, message, message.ask.may_wait + kAskTimeout,
                  &ParseDecodeAnswer, std::move(done)});
}

void AskHome(home_calls& homes, const prefill_ask_message& message,
             engine_homes::prefill_callback done) {
  AskAnywhere(homes, home_ask<prefill_ask_message, prefill_answer>{
                         kAskPrefillMethod, message, kAskTimeout,
                         &ParsePrefillAnswer, std::move(done)});
}

void ReleaseAtHome(home_calls& homes, const release_message& message) {
  const std::string address = homes.home_address(message.engine);
  if (address.empty()) return homes.local->Release(message);
  std::vector<release_message>& waiting = homes.releases[address];
  waiting.push_back(message);
  if (waiting.size() > 1) return;
  RunAfter(homes.context.get(), kReleaseWindow,
           [&homes, address] { SendReleases(homes, address); });
}

void TeachHome(home_calls& homes, const release_message& lesson) {
  const std::string address = homes.home_address(lesson.engine);
  if (address.empty()) return homes.local->Release(lesson);
  std::vector<release_message>& lessons = homes.lessons[address];
  if (lessons.size() == kMaxLessons) lessons.erase(lessons.begin());
  lessons.push_back(lesson);
}

}  // namespace anvilridge
