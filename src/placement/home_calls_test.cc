#include "placement/home_calls.h"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "peer/peer_server.h"

namespace anvilridge {
namespace {

const std::string kKey = "deployment-key";
const release_message kRelease = {"engine-1", "r1", 0, {}, true};
const decode_ask_message kAsk = {"engine-1",
                                 {"r1", "a:1", 10, {}, {}, {}, "team"}};

// The home of all engines, which notes what it is told.
class home_calls_test : public event_loop_test {
 protected:
  home_calls_test() {
    homes_.peers = &peers_;
    homes_.home_address = [this](absl::string_view) {
      return absl::StrCat("127.0.0.1:", server_.Port());
    };
    for (const char* method :
         {kAskDecodeMethod, kAskPrefillMethod, kReleaseMethod}) {
      server_.Handle(method, [this, method](const QCborMap& request,
                                            const peer_responder& respond) {
        Answer(method, request, respond);
      });
    }
    EXPECT_TRUE(server_.Listen({"127.0.0.1", 0}).ok());
  }

  void Answer(const std::string& method, const QCborMap& request,
              const peer_responder& respond) {
    if (first_version_ && FormOf(request) != key_form::names) {
      return respond(MakeError(error_kind::malformed_request, "engine"));
    }
    const auto carried = ParseCarried(request);
    ASSERT_TRUE(carried.ok());
    told_.push_back(absl::StrCat(method, "+", carried->size()));
    if (method == kReleaseMethod) return respond(QCborMap());
    respond(ToCbor(decode_answer{true, 1, 1, {}}, FormOf(request)));
  }

  void Ask() {
    AskHome(homes_, kAsk, [this](const absl::StatusOr<decode_answer>& answer) {
      EXPECT_TRUE(answer.ok() && answer->granted) << answer.status();
      ++granted_;
    });
  }

  peer_server server_{kKey};
  peer_client peers_{kKey};
  home_calls homes_;
  bool first_version_ = false;
  std::vector<std::string> told_;
  int granted_ = 0;
};

const std::string kAsked = absl::StrCat(kAskDecodeMethod, "+0");
const std::string kReleased = absl::StrCat(kReleaseMethod, "+0");

TEST_F(home_calls_test, ReleaseGoesBeforeTheNextAskOfTheSameRequest) {
  ReleaseAtHome(homes_, kRelease);
  Ask();
  EXPECT_TRUE(RunUntil([this] { return granted_ == 1; }));
  EXPECT_EQ(told_, (std::vector<std::string>{kReleased, kAsked}));
}

TEST_F(home_calls_test, ReleasesOfOneMomentAreOneCall) {
  for (int i = 0; i < 3; ++i) ReleaseAtHome(homes_, kRelease);
  EXPECT_TRUE(RunUntil([this] { return !told_.empty(); }));
  EXPECT_EQ(told_.front(), absl::StrCat(kReleaseMethod, "+2"));
}

TEST_F(home_calls_test, LessonsRideWithTheNextCall) {
  for (int i = 0; i < 9; ++i) TeachHome(homes_, kRelease);
  Ask();
  Ask();
  EXPECT_TRUE(RunUntil([this] { return granted_ == 2; }));
  const std::string with_lessons = absl::StrCat(kAskDecodeMethod, "+4");
  EXPECT_EQ(told_, (std::vector<std::string>{with_lessons, kAsked}));
}

TEST_F(home_calls_test, HomeOfTheFirstVersionIsToldByNames) {
  first_version_ = true;
  ReleaseAtHome(homes_, kRelease);
  ReleaseAtHome(homes_, kRelease);
  Ask();
  EXPECT_TRUE(RunUntil([this] { return granted_ == 1; }));
  EXPECT_EQ(told_, (std::vector<std::string>{kReleased, kReleased, kAsked}));
}

}  // namespace
}  // namespace anvilridge
