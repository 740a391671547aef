#include "placement/prefill_choice.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "placement/decode_ledger.h"

namespace anvilridge {
namespace {

constexpr double kRateLearningShare = 0.1;
constexpr absl::Duration kAssumedTokenInterval = absl::Milliseconds(25);
// Rates of a transfer where the configuration names none.
constexpr double kLocalPiecesPerSecond = 4000;
constexpr double kCrossPiecesPerSecond = 2000;
// Engines sampled of each kind.
constexpr size_t kSampledInDomain = 2;
constexpr size_t kSampledElsewhere = 2;

// Prefill work that a cached prefix saves also shortens the wait of what comes
// behind it, so it counts more than once.
constexpr int kSavedWorkWeight = 4;

using engine_list = std::vector<const upstream_config*>;

bool IsIn(const upstream_config& engine, const std::string& domain) {
  return !domain.empty() && engine.failure_domain == domain;
}

// A shuffled sample: engines of `domain`, then others.
engine_list Sample(engine_list candidates, const std::string& domain,
                   std::mt19937_64& random) {
  std::shuffle(candidates.begin(), candidates.end(), random);
  engine_list sample;
  size_t in_domain = 0;
  size_t elsewhere = 0;
  for (const upstream_config* engine : candidates) {
    const bool inside = IsIn(*engine, domain);
    size_t& taken = inside ? in_domain : elsewhere;
    if (taken >= (inside ? kSampledInDomain : kSampledElsewhere)) continue;
    ++taken;
    sample.push_back(engine);
  }
  return sample;
}

void AddLikelyHolders(engine_list& sample, const engine_list& candidates,
                      const prefill_need& need,
                      const prefill_knowledge& knowledge, absl::Time now) {
  const std::vector<std::string> holders = LikelyHolders(
      knowledge.prefixes, need.prefixes, knowledge.prefix_bounds, now);
  for (const std::string& name : holders) {
    const auto named = [&](const auto* one) { return one->name == name; };
    if (std::any_of(sample.begin(), sample.end(), named)) continue;
    const auto engine =
        std::find_if(candidates.begin(), candidates.end(), named);
    if (engine != candidates.end()) sample.push_back(*engine);
  }
}

int CachedTokens(const prefill_knowledge& knowledge, const prefill_need& need,
                 const upstream_config& engine, absl::Time now) {
  const int blocks =
      BelievedBlocks(knowledge.prefixes, engine.name, need.prefixes,
                     knowledge.prefix_bounds, now);
  // The last token is always prefilled.
  return std::min(blocks * kTokensPerPrefixBlock, need.prompt_tokens - 1);
}

// The rate of a transfer that has the link to itself.
double TransferRate(const config_state& config, const upstream_config& engine,
                    const std::string& domain) {
  if (domain.empty() || IsIn(engine, domain)) return kLocalPiecesPerSecond;
  for (const auto& [name, link] : config.links) {
    if (link.from_domain != engine.failure_domain) continue;
    if (link.to_domain == domain) return link.pieces_per_second;
  }
  return kCrossPiecesPerSecond;
}

absl::Duration WaitAt(const prefill_knowledge& knowledge,
                      const upstream_config& engine, absl::Time now) {
  const auto hint = knowledge.hints.find(engine.name);
  if (hint == knowledge.hints.end()) return absl::ZeroDuration();
  const absl::Duration age = now - hint->second.at;
  return std::max(absl::ZeroDuration(), hint->second.wait - age);
}

// The work of `option` has the saved part left out once already.
absl::Duration Rank(const prefill_option& option) {
  return DeliversIn(option) - (kSavedWorkWeight - 1) * option.saved;
}

}  // namespace

absl::Duration DeliversIn(const prefill_option& option) {
  return option.wait + option.work + option.transfer;
}

std::vector<prefill_option> PrefillOptions(const config_state& config,
                                           const engine_list& candidates,
                                           const prefill_need& need,
                                           const prefill_knowledge& knowledge,
                                           absl::Time now,
                                           std::mt19937_64& random) {
  const std::string& domain = need.decode_domain;
  engine_list sample = Sample(candidates, domain, random);
  if (knowledge.prefix_affinity) {
    AddLikelyHolders(sample, candidates, need, knowledge, now);
  }
  std::vector<prefill_option> options;
  for (const upstream_config* engine : sample) {
    prefill_option option;
    option.engine = engine;
    if (!domain.empty() && !IsIn(*engine, domain)) {
      option.link = absl::StrCat(engine->failure_domain, ">", domain);
    }
    option.wait = WaitAt(knowledge, *engine, now);
    if (knowledge.prefix_affinity) {
      option.cached_tokens = CachedTokens(knowledge, need, *engine, now);
    }
    option.work = absl::Seconds((need.prompt_tokens - option.cached_tokens) /
                                knowledge.tokens_per_second);
    option.saved =
        absl::Seconds(option.cached_tokens / knowledge.tokens_per_second);
    option.transfer = absl::Seconds(PiecesFor(need.prompt_tokens) /
                                    TransferRate(config, *engine, domain));
    options.push_back(option);
  }
  std::stable_sort(
      options.begin(), options.end(),
      [](const auto& a, const auto& b) { return Rank(a) < Rank(b); });
  return options;
}

prefill_ask_message MakePrefillAsk(const place_request& request,
                                   const prefill_option& option,
                                   const std::string& owner,
                                   const std::string& decode_domain,
                                   absl::Duration left) {
  prefill_ask_message message;
  message.engine = option.engine->name;
  message.ask.request_id = request.request_id;
  message.ask.owner = owner;
  message.ask.tokens = request.prompt_tokens - option.cached_tokens;
  const absl::Duration after =
      option.work + option.transfer + kAssumedTokenInterval;
  message.ask.longest_wait = std::max(absl::ZeroDuration(), left - after);
  if (option.link.empty()) return message;
  message.ask.to_domain = decode_domain;
  message.ask.pieces = PiecesFor(request.prompt_tokens);
  return message;
}

QJsonObject ConsideredRow(const prefill_option& option,
                          const absl::StatusOr<prefill_answer>& answer) {
  QJsonObject row{{"prefill", QString::fromStdString(option.engine->name)}};
  if (!option.link.empty()) {
    row["link"] = QString::fromStdString(option.link);
    row["transfer_ms"] = absl::ToDoubleMilliseconds(option.transfer);
  }
  if (!answer.ok()) {
    row["answer"] =
        QString::fromUtf8(AnswerFor(KindOf(answer.status())).name.data());
    return row;
  }
  if (option.cached_tokens > 0) row["cached_tokens"] = option.cached_tokens;
  row["wait_ms"] = absl::ToDoubleMilliseconds(answer->wait);
  row["granted"] = answer->granted;
  if (answer->link_full) row["budget"] = "full";
  return row;
}

void LearnPrefill(prefill_knowledge& knowledge, const prefill_option& option,
                  const place_request& request, const prefill_answer& answer,
                  absl::Time now) {
  const std::string& engine = option.engine->name;
  // A link's wait says nothing of the engine's queue.
  if (!answer.link_full) {
    const absl::Duration own =
        answer.granted ? answer.work : absl::ZeroDuration();
    knowledge.hints[engine] = {0, answer.wait + own, now};
  }
  if (answer.granted && knowledge.prefix_affinity) {
    ExpectPrefixes(knowledge.prefixes, engine, request.prefix_hashes,
                   knowledge.prefix_bounds, now);
  }
  if (answer.work <= absl::ZeroDuration()) return;
  const int tokens = request.prompt_tokens - option.cached_tokens;
  const double rate = tokens / absl::ToDoubleSeconds(answer.work);
  knowledge.tokens_per_second +=
      kRateLearningShare * (rate - knowledge.tokens_per_second);
}

}  // namespace anvilridge
