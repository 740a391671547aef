#include "placement/prefill_choice.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::UnixEpoch();

struct prefill_choice_test : testing::Test {
  config_state config;
  prefill_estimates estimates;
  std::vector<uint64_t> prefixes;
  std::mt19937_64 random{1};

  prefill_choice_test() {
    for (const char* domain : {"a", "b"}) {
      for (int i = 1; i <= 3; ++i) {
        const std::string name = domain + std::to_string(i);
        config.upstreams[name].name = name;
        config.upstreams[name].failure_domain = domain;
      }
    }
    estimates.tokens_per_second = 16000;
  }

  std::vector<prefill_option> Options(const std::string& domain,
                                      int prompt_tokens) {
    std::vector<const upstream_config*> candidates;
    for (const auto& [name, engine] : config.upstreams) {
      candidates.push_back(&engine);
    }
    return RankPrefillOptions(config, candidates,
                              {prompt_tokens, domain, prefixes}, estimates,
                              kNow, random);
  }

  void SetWaitIn(const std::string& domain, absl::Duration wait) {
    for (const auto& [name, engine] : config.upstreams) {
      if (engine.failure_domain != domain) continue;
      estimates.hints[name] = {0, wait, kNow};
    }
  }
};

// 1600 tokens are 100 pieces, whose transfer takes 25 ms inside a failure
// domain and 50 ms over a link of 2000 pieces per second.
TEST_F(prefill_choice_test,
       OwnDomainIsPreferredWhileTheShorterTransferSavesTime) {
  config.links["ba"].from_domain = "b";
  config.links["ba"].to_domain = "a";
  config.links["ba"].pieces_per_second = 2000;
  struct {
    int own_wait_ms;
    const char* chosen;
  } const cases[] = {{0, "a"}, {24, "a"}, {26, "b"}, {500, "b"}};
  for (const auto& test_case : cases) {
    SCOPED_TRACE(test_case.own_wait_ms);
    SetWaitIn("a", absl::Milliseconds(test_case.own_wait_ms));
    for (int trial = 0; trial < 20; ++trial) {
      const auto options = Options("a", 1600);
      ASSERT_EQ(options.size(), 4U);
      EXPECT_EQ(options[0].engine->failure_domain, test_case.chosen);
      EXPECT_EQ(options[0].link,
                test_case.chosen == std::string("a") ? "" : "b>a");
    }
  }
}

TEST_F(prefill_choice_test, SlowLinkIsAvoidedForLonger) {
  config.links["ba"].from_domain = "b";
  config.links["ba"].to_domain = "a";
  config.links["ba"].pieces_per_second = 200;
  SetWaitIn("a", absl::Milliseconds(400));
  EXPECT_EQ(Options("a", 1600)[0].engine->failure_domain, "a");
}

TEST_F(prefill_choice_test, WorkIsSpreadOverEqualEngines) {
  std::set<std::string> first;
  for (int trial = 0; trial < 100; ++trial) {
    first.insert(Options("a", 1600)[0].engine->name);
  }
  EXPECT_THAT(first, testing::ElementsAre("a1", "a2", "a3"));
}

TEST_F(prefill_choice_test, FullLinkDoesNotChangeTheQueueHint) {
  const prefill_option option = Options("b", 1600)[0];
  placement_request request;
  request.prompt_tokens = 1600;
  reserve_prefill_reply reply;
  reply.granted = true;
  reply.wait = absl::Milliseconds(30);
  reply.work = absl::Milliseconds(100);
  UpdatePrefillEstimates(estimates, option, request, reply, kNow);
  const std::string& name = option.engine->name;
  EXPECT_EQ(estimates.hints.at(name).wait, absl::Milliseconds(130));
  reply = {};
  reply.link_full = true;
  reply.wait = absl::Seconds(5);
  UpdatePrefillEstimates(estimates, option, request, reply, kNow);
  EXPECT_EQ(estimates.hints.at(name).wait, absl::Milliseconds(130));
}

// 1600 tokens take 100 ms to prefill. Ten cached blocks of 64 tokens save 40
// ms, which count four times: as 160 ms.
TEST_F(prefill_choice_test, CachedPrefixIsPreferredByThePrefillTimeItSaves) {
  for (uint64_t block = 1; block <= 10; ++block) prefixes.push_back(block);
  RecordExpectedPrefixes(estimates.prefixes, "a2", prefixes,
                         estimates.prefix_policy, kNow);
  struct {
    int wait_ms;
    bool chosen;
  } const cases[] = {{0, true}, {159, true}, {161, false}};
  for (const auto& test_case : cases) {
    SCOPED_TRACE(test_case.wait_ms);
    estimates.hints["a2"] = {0, absl::Milliseconds(test_case.wait_ms), kNow};
    for (int trial = 0; trial < 20; ++trial) {
      const prefill_option first = Options("a", 1600)[0];
      EXPECT_EQ(first.engine->name == "a2", test_case.chosen);
      EXPECT_EQ(first.cached_tokens, test_case.chosen ? 640 : 0);
    }
  }
  estimates.prefix_affinity = false;
  EXPECT_EQ(Options("a", 1600)[0].cached_tokens, 0);
}

TEST_F(prefill_choice_test, RequestHasADestinationOnlyIfItUsesALink) {
  placement_request request;
  request.request_id = "r1";
  request.prompt_tokens = 1600;
  SetWaitIn("a", absl::Seconds(5));
  const auto options = Options("a", 1600);
  key_form form = key_form::numbers;
  const auto round_trip = [&](const prefill_option& option) {
    const reserve_prefill_message message = MakeReservePrefillRequest(
        request, option, "o:1", "a", absl::Seconds(1));
    const auto parsed = ParseReservePrefill(ToCbor(message, form));
    EXPECT_TRUE(parsed.ok());
    return parsed->request;
  };
  for (const key_form each_form : {key_form::numbers, key_form::names}) {
    form = each_form;
    EXPECT_EQ(round_trip(options.front()).to_domain, "a");
    EXPECT_EQ(round_trip(options.front()).pieces, 100);
    EXPECT_EQ(round_trip(options.back()).to_domain, "");
  }
  // 1 s less 100 ms of prefill, 25 ms of transfer and 25 ms to the first token.
  EXPECT_EQ(round_trip(options.back()).longest_wait, absl::Milliseconds(850));
}

}  // namespace
}  // namespace anvilridge
