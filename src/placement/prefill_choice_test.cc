#include "placement/prefill_choice.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::UnixEpoch();

struct prefill_choice_test : testing::Test {
  config_state config;
  prefill_knowledge knowledge;
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
    knowledge.tokens_per_second = 16000;
  }

  std::vector<prefill_option> Options(const std::string& domain,
                                      int prompt_tokens) {
    std::vector<const upstream_config*> candidates;
    for (const auto& [name, engine] : config.upstreams) {
      candidates.push_back(&engine);
    }
    return PrefillOptions(config, candidates, {prompt_tokens, domain, prefixes},
                          knowledge, kNow, random);
  }

  void SetWaitIn(const std::string& domain, absl::Duration wait) {
    for (const auto& [name, engine] : config.upstreams) {
      if (engine.failure_domain != domain) continue;
      knowledge.hints[name] = {0, wait, kNow};
    }
  }
};

// 1600 tokens are 100 pieces: 25 ms inside a failure domain, and 50 ms over a
// link of 2000 pieces a second.
TEST_F(prefill_choice_test, OwnDomainIsPreferredByWhatTheTransferSaves) {
  config.links["ba"].from_domain = "b";
  config.links["ba"].to_domain = "a";
  config.links["ba"].pieces_per_second = 2000;
  struct {
    int own_wait_ms;
    const char* chosen;
  } const cases[] = {{0, "a"}, {24, "a"}, {26, "b"}, {500, "b"}};
  for (const auto& one : cases) {
    SCOPED_TRACE(one.own_wait_ms);
    SetWaitIn("a", absl::Milliseconds(one.own_wait_ms));
    for (int turn = 0; turn < 20; ++turn) {
      const auto options = Options("a", 1600);
      ASSERT_EQ(options.size(), 4U);
      EXPECT_EQ(options[0].engine->failure_domain, one.chosen);
      EXPECT_EQ(options[0].link, one.chosen == std::string("a") ? "" : "b>a");
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
  for (int turn = 0; turn < 100; ++turn) {
    first.insert(Options("a", 1600)[0].engine->name);
  }
  EXPECT_THAT(first, testing::ElementsAre("a1", "a2", "a3"));
}

TEST_F(prefill_choice_test, HintsOfQueuesAgeAndLinksDoNotMakeThem) {
  const prefill_option option = Options("b", 1600)[0];
  place_request request;
  request.prompt_tokens = 1600;
  prefill_answer answer;
  answer.granted = true;
  answer.wait = absl::Milliseconds(30);
  answer.work = absl::Milliseconds(100);
  LearnPrefill(knowledge, option, request, answer, kNow);
  const std::string& name = option.engine->name;
  EXPECT_EQ(knowledge.hints.at(name).wait, absl::Milliseconds(130));
  answer = {};
  answer.link_full = true;
  answer.wait = absl::Seconds(5);
  LearnPrefill(knowledge, option, request, answer, kNow);
  EXPECT_EQ(knowledge.hints.at(name).wait, absl::Milliseconds(130));
}

// 1600 tokens take 100 ms; ten cached blocks save 40 ms of them, which weigh
// 160.
TEST_F(prefill_choice_test, CachedPrefixIsPreferredByThePrefillTimeItSaves) {
  for (uint64_t block = 1; block <= 10; ++block) prefixes.push_back(block);
  ExpectPrefixes(knowledge.prefixes, "a2", prefixes, knowledge.prefix_bounds,
                 kNow);
  struct {
    int wait_ms;
    bool chosen;
  } const cases[] = {{0, true}, {159, true}, {161, false}};
  for (const auto& one : cases) {
    SCOPED_TRACE(one.wait_ms);
    knowledge.hints["a2"] = {0, absl::Milliseconds(one.wait_ms), kNow};
    for (int turn = 0; turn < 20; ++turn) {
      const prefill_option first = Options("a", 1600)[0];
      EXPECT_EQ(first.engine->name == "a2", one.chosen);
      EXPECT_EQ(first.cached_tokens, one.chosen ? 640 : 0);
    }
  }
  knowledge.prefix_affinity = false;
  EXPECT_EQ(Options("a", 1600)[0].cached_tokens, 0);
}

TEST_F(prefill_choice_test, AskNamesTheLinkOnlyWhereOneIsUsed) {
  place_request request;
  request.request_id = "r1";
  request.prompt_tokens = 1600;
  SetWaitIn("a", absl::Seconds(5));
  const auto options = Options("a", 1600);
  key_form form = key_form::numbers;
  const auto ask_of = [&](const prefill_option& option) {
    const prefill_ask_message message =
        MakePrefillAsk(request, option, "o:1", "a", absl::Seconds(1));
    const auto parsed = ParsePrefillAsk(ToCbor(message, form));
    EXPECT_TRUE(parsed.ok());
    return parsed->ask;
  };
  for (const key_form each : {key_form::numbers, key_form::names}) {
    form = each;
    EXPECT_EQ(ask_of(options.front()).to_domain, "a");
    EXPECT_EQ(ask_of(options.front()).pieces, 100);
    EXPECT_EQ(ask_of(options.back()).to_domain, "");
  }
  // 1 s less 100 ms of work, 25 ms of transfer and 25 ms to the first token.
  EXPECT_EQ(ask_of(options.back()).longest_wait, absl::Milliseconds(850));
}

}  // namespace
}  // namespace anvilridge
