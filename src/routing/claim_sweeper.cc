#include "routing/claim_sweeper.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace lapishatch::routing {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
/// Places at which a sweep may begin: 16 to this power.
constexpr int kPlaceDigits = 3;

}  // namespace

ClaimSweeper::ClaimSweeper(base::EventLoop& loop, store::Table& table,
                           std::function<std::int64_t()> unix_ms,
                           ClaimSweeperOptions options, std::uint64_t seed)
    : loop_(loop),
      table_(table),
      unix_ms_(std::move(unix_ms)),
      options_(options),
      random_(seed) {}

void ClaimSweeper::Start() { Arm(); }

void ClaimSweeper::Arm() {
  std::uniform_int_distribution<std::int64_t> spread(
      options_.every.count(), 2 * options_.every.count());
  loop_.After(base::Duration(spread(random_)), [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->ReadPage();
  });
}

std::string ClaimSweeper::RandomPlace() {
  std::uniform_int_distribution<std::size_t> digit(0, kHexDigits.size() - 1);
  std::string out(kClaimPrefix);
  for (int i = 0; i < kPlaceDigits; ++i) out += kHexDigits[digit(random_)];
  return out;
}

void ClaimSweeper::ReadPage() {
  if (after_.empty()) after_ = RandomPlace();
  table_.Scan(std::string(kClaimPrefix), after_, options_.page,
              [weak = weak_from_this()](const store::ScanResult& result) {
                const auto self = weak.lock();
                if (!self) return;
                self->loop_.Post([weak, result] {
                  const auto sweeper = weak.lock();
                  if (!sweeper) return;
                  const auto* page = std::get_if<store::RowPage>(&result);
                  if (page != nullptr) sweeper->OnPage(*page);
                  sweeper->Arm();
                });
              });
}

void ClaimSweeper::OnPage(const store::RowPage& page) {
  after_ = page.more && !page.rows.empty() ? page.rows.back().key : "";
  std::vector<std::optional<Claim>> claims;
  std::int64_t newest = std::numeric_limits<std::int64_t>::min();
  for (const auto& row : page.rows) {
    claims.push_back(DecodeClaim(row.value));
    if (!claims.back()) continue;
    newest = std::max(newest, claims.back()->claimed_at_unix_ms);
  }
  const auto now = std::min(unix_ms_(), newest);
  store::Transaction transaction;
  for (std::size_t i = 0; i < page.rows.size(); ++i) {
    if (!claims[i] || !IsOld(*claims[i], now)) continue;
    const auto& row = page.rows[i];
    transaction.conditions.push_back({row.key, row.version});
    transaction.writes.push_back({row.key, std::nullopt});
  }
  if (transaction.writes.empty()) return;
  // Whatever becomes of it, a later sweep sees what is left.
  table_.Commit(std::move(transaction), [](const store::CommitResult&) {});
}

bool ClaimSweeper::IsOld(const Claim& claim, std::int64_t now_unix_ms) const {
  const base::Duration age(now_unix_ms - claim.claimed_at_unix_ms);
  switch (claim.state) {
    case ClaimState::kDone:
      return age > options_.keep_done;
    case ClaimState::kClaimed:
    case ClaimState::kUnknown:
      return age > options_.keep_unfinished;
    case ClaimState::kReleased:
      return age > options_.keep_released;
  }
  return false;
}

}  // namespace lapishatch::routing
