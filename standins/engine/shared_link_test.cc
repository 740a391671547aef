// The budget of a link, in virtual time against the engine models.
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine/engine_model.h"
#include "gtest/gtest.h"
#include "placement/link_budget.h"

namespace anvilridge {
namespace {

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr int kEngines = 4;
constexpr int kPromptTokens = 640;
constexpr int kPieces = kPromptTokens / kTokensPerPiece;
constexpr double kLinkPiecesPerSecond = 2000;
constexpr absl::Duration kTick = absl::Milliseconds(1);
// Offers 40 pieces each 10 ms to a link that sends 20 in that time.
constexpr absl::Duration kBetweenRequests = absl::Milliseconds(10);
constexpr absl::Duration kRun = absl::Seconds(10);

// Prefill engines of one failure domain that send to one other.
struct sending_domain {
  std::vector<engine_state> engines;
  std::vector<link_ledger> ledgers{kEngines};
  link_share share;
  int refused = 0;
  int exported = 0;

  explicit sending_domain(double budget_pieces_per_second) {
    engine_settings settings;
    settings.role = "prefill";
    settings.failure_domain = "a";
    settings.prefill_tokens_per_second = 20000;
    settings.cross_domain_pieces_per_second = kLinkPiecesPerSecond;
    settings.pieces = 100000;
    settings.cache_pieces = 0;
    const auto links = std::make_shared<link_times>();
    for (int i = 0; i < kEngines; ++i) {
      settings.id = "p" + std::to_string(i);
      engines.push_back(MakeEngine(settings));
      engines.back().link_free_at = links;
    }
    share.link = "a>b";
    share.pieces_per_second = budget_pieces_per_second / kEngines;
  }

  // Asks the engine's home and prefills what it grants.
  void Offer(int number, absl::Time now) {
    const size_t at = number % kEngines;
    const std::string id = std::to_string(number);
    const absl::Time begins =
        now + absl::Seconds(kPromptTokens /
                            engines[at].settings.prefill_tokens_per_second);
    if (!ForecastTransfer(ledgers[at], share, kPieces, begins).fits) {
      ++refused;
      return;
    }
    ReserveTransfer(ledgers[at], share, id, kPieces, begins, now);
    request_terms terms;
    terms.request_id = id;
    terms.owner = "entry:1";
    terms.model = "model";
    terms.prompt = std::string(size_t{kCharactersPerToken} * kPromptTokens,
                               static_cast<char>('a' + number % 26));
    terms.max_tokens = 1;
    ASSERT_EQ(StartPrefill(engines[at], terms, now), engine_refusal::none);
  }

  void AdvanceTo(absl::Time now) {
    for (engine_state& engine : engines) {
      for (const engine_event& event : Advance(engine, now)) {
        if (event.what == engine_event::kind::exported) ++exported;
        if (event.what != engine_event::kind::prefilled) continue;
        const std::string handle =
            engine.requests.at(event.request_id).kv_handle;
        BeginExport(engine, handle, "b", now);
      }
    }
  }

  void Run() {
    int number = 0;
    absl::Time next = kStart;
    for (absl::Time now = kStart; now < kStart + kRun; now += kTick) {
      AdvanceTo(now);
      if (now < next) continue;
      Offer(number++, now);
      next = now + kBetweenRequests;
    }
    for (absl::Time now = kStart + kRun; now < kStart + 2 * kRun;
         now += kTick) {
      AdvanceTo(now);
    }
  }

  int64_t Evicted() const {
    int64_t evicted = 0;
    for (const engine_state& engine : engines) {
      evicted += engine.totals.evicted_results;
    }
    return evicted;
  }
};

TEST(shared_link_test, WithoutABudgetResultsAreEvictedBeforeTheirTurn) {
  sending_domain domain(0);
  domain.Run();
  EXPECT_EQ(domain.refused, 0);
  // Half of what is offered can't be sent.
  EXPECT_GT(domain.Evicted(), 400);
}

TEST(shared_link_test, WithinTheBudgetNoResultIsEvictedAndTheLinkIsUsed) {
  sending_domain domain(kLinkPiecesPerSecond);
  domain.Run();
  EXPECT_EQ(domain.Evicted(), 0);
  const double sendable =
      kLinkPiecesPerSecond * absl::ToDoubleSeconds(kRun) / kPieces;
  EXPECT_GT(domain.exported, 0.95 * sendable);
}

}  // namespace
}  // namespace anvilridge
