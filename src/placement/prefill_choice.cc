#include "placement/prefill_choice.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "placement/decode_ledger.h"

namespace anvilridge {
namespace {

// Weight of a new sample in the moving average of the prefill rate.
constexpr double kRateSmoothing = 0.1;
// Time from the end of the transfer to the first token, assumed for all decode
// engines.
constexpr absl::Duration kAssumedTokenInterval = absl::Milliseconds(25);
// Transfer rate assumed inside a failure domain.
constexpr double kLocalPiecesPerSecond = 4000;
// Transfer rate assumed between two failure domains if the configuration has no
// link from one to the other.
constexpr double kCrossDomainPiecesPerSecond = 2000;
// Number of engines sampled inside and outside the decode engine's failure
// domain.
constexpr size_t kSampledInDomain = 2;
constexpr size_t kSampledOutsideDomain = 2;

// Weight of the prefill time that a cached prefix saves. It is more than one,
// since a shorter prefill also shortens the wait of the prefills queued behind
// it.
constexpr int kSavedWorkWeight = 4;

using engine_list = std::vector<const upstream_config*>;

bool IsWithin(const upstream_config& engine, const std::string& domain) {
  return !domain.empty() && engine.failure_domain == domain;
}

// Returns random candidates: up to `kSampledInDomain` in `domain` and up to
// `kSampledOutsideDomain` outside it, in random order.
engine_list Sample(engine_list candidates, const std::string& domain,
                   std::mt19937_64& random) {
  std::shuffle(candidates.begin(), candidates.end(), random);
  engine_list sample;
  size_t in_domain = 0;
  size_t outside_domain = 0;
  for (const upstream_config* engine : candidates) {
    const bool inside = IsWithin(*engine, domain);
    size_t& count = inside ? in_domain : outside_domain;
    if (count >= (inside ? kSampledInDomain : kSampledOutsideDomain)) continue;
    ++count;
    sample.push_back(engine);
  }
  return sample;
}

void AddLikelyHolders(engine_list& sample, const engine_list& candidates,
                      const prefill_task& task,
                      const prefill_estimates& estimates, absl::Time now) {
  const std::vector<std::string> holders = FindLikelyHolders(
      estimates.prefixes, task.prefixes, estimates.prefix_policy, now);
  for (const std::string& name : holders) {
    const auto named = [&](const auto* candidate) {
      return candidate->name == name;
    };
    if (std::any_of(sample.begin(), sample.end(), named)) continue;
    const auto engine =
        std::find_if(candidates.begin(), candidates.end(), named);
    if (engine != candidates.end()) sample.push_back(*engine);
  }
}

int CachedTokens(const prefill_estimates& estimates, const prefill_task& task,
                 const upstream_config& engine, absl::Time now) {
  const int blocks =
      EstimateCachedBlocks(estimates.prefixes, engine.name, task.prefixes,
                           estimates.prefix_policy, now);
  // The engine prefills at least the last token.
  return std::min(blocks * kTokensPerPrefixBlock, task.prompt_tokens - 1);
}

// Returns the rate in pieces per second of a transfer from `engine` to `domain`
// that doesn't share the link with others.
double TransferRate(const config_state& config, const upstream_config& engine,
                    const std::string& domain) {
  if (domain.empty() || IsWithin(engine, domain)) return kLocalPiecesPerSecond;
  for (const auto& [name, link] : config.links) {
    if (link.from_domain != engine.failure_domain) continue;
    if (link.to_domain == domain) return link.pieces_per_second;
  }
  return kCrossDomainPiecesPerSecond;
}

absl::Duration PredictedWait(const prefill_estimates& estimates,
                             const upstream_config& engine, absl::Time now) {
  const auto hint = estimates.hints.find(engine.name);
  if (hint == estimates.hints.end()) return absl::ZeroDuration();
  const absl::Duration age = now - hint->second.received;
  return std::max(absl::ZeroDuration(), hint->second.wait - age);
}

// Returns the score by which options are sorted, lowest first. `work` already
// excludes the saved time once.
absl::Duration RankingScore(const prefill_option& option) {
  return TimeToDeliver(option) - (kSavedWorkWeight - 1) * option.saved_work;
}

}  // namespace

absl::Duration TimeToDeliver(const prefill_option& option) {
  return option.wait + option.work + option.transfer;
}

std::vector<prefill_option> RankPrefillOptions(
    const config_state& config, const engine_list& candidates,
    const prefill_task& task, const prefill_estimates& estimates,
    absl::Time now, std::mt19937_64& random) {
  const std::string& domain = task.decode_domain;
  engine_list sample = Sample(candidates, domain, random);
  if (estimates.prefix_affinity) {
    AddLikelyHolders(sample, candidates, task, estimates, now);
  }
  std::vector<prefill_option> options;
  for (const upstream_config* engine : sample) {
    prefill_option option;
    option.engine = engine;
    if (!domain.empty() && !IsWithin(*engine, domain)) {
      option.link = absl::StrCat(engine->failure_domain, ">", domain);
    }
    option.wait = PredictedWait(estimates, *engine, now);
    if (estimates.prefix_affinity) {
      option.cached_tokens = CachedTokens(estimates, task, *engine, now);
    }
    option.work = absl::Seconds((task.prompt_tokens - option.cached_tokens) /
                                estimates.tokens_per_second);
    option.saved_work =
        absl::Seconds(option.cached_tokens / estimates.tokens_per_second);
    option.transfer = absl::Seconds(PiecesFor(task.prompt_tokens) /
                                    TransferRate(config, *engine, domain));
    options.push_back(option);
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const auto& a, const auto& b) {
                     return RankingScore(a) < RankingScore(b);
                   });
  return options;
}

reserve_prefill_message MakeReservePrefillRequest(
    const placement_request& request, const prefill_option& option,
    const std::string& owner, const std::string& decode_domain,
    absl::Duration time_left) {
  reserve_prefill_message message;
  message.engine = option.engine->name;
  message.request.request_id = request.request_id;
  message.request.owner = owner;
  message.request.tokens = request.prompt_tokens - option.cached_tokens;
  const absl::Duration time_after_wait =
      option.work + option.transfer + kAssumedTokenInterval;
  message.request.longest_wait =
      std::max(absl::ZeroDuration(), time_left - time_after_wait);
  if (option.link.empty()) return message;
  message.request.to_domain = decode_domain;
  message.request.pieces = PiecesFor(request.prompt_tokens);
  return message;
}

QJsonObject MakeDecisionLogRow(
    const prefill_option& option,
    const absl::StatusOr<reserve_prefill_reply>& reply) {
  QJsonObject row{{"prefill", QString::fromStdString(option.engine->name)}};
  if (!option.link.empty()) {
    row["link"] = QString::fromStdString(option.link);
    row["transfer_ms"] = absl::ToDoubleMilliseconds(option.transfer);
  }
  if (!reply.ok()) {
    row["answer"] =
        QString::fromUtf8(AnswerFor(KindOf(reply.status())).name.data());
    return row;
  }
  if (option.cached_tokens > 0) row["cached_tokens"] = option.cached_tokens;
  row["wait_ms"] = absl::ToDoubleMilliseconds(reply->wait);
  row["granted"] = reply->granted;
  if (reply->link_full) row["budget"] = "full";
  return row;
}

void UpdatePrefillEstimates(prefill_estimates& estimates,
                            const prefill_option& option,
                            const placement_request& request,
                            const reserve_prefill_reply& reply,
                            absl::Time now) {
  const std::string& engine = option.engine->name;
  // If the link is full, `wait` is the time until the link has capacity and not
  // the wait in the engine's queue.
  if (!reply.link_full) {
    const absl::Duration own_work =
        reply.granted ? reply.work : absl::ZeroDuration();
    estimates.hints[engine] = {0, reply.wait + own_work, now};
  }
  if (reply.granted && estimates.prefix_affinity) {
    RecordExpectedPrefixes(estimates.prefixes, engine, request.prefix_hashes,
                           estimates.prefix_policy, now);
  }
  if (reply.work <= absl::ZeroDuration()) return;
  const int tokens = request.prompt_tokens - option.cached_tokens;
  const double rate = tokens / absl::ToDoubleSeconds(reply.work);
  estimates.tokens_per_second +=
      kRateSmoothing * (rate - estimates.tokens_per_second);
}

}  // namespace anvilridge
