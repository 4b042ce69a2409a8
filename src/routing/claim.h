#ifndef LAPISHATCH_ROUTING_CLAIM_H_
#define LAPISHATCH_ROUTING_CLAIM_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "routing/request.h"

namespace lapishatch::routing {

/// How far the one run of a key has got.
enum class ClaimState : std::uint8_t {
  /// An entry holds the key and may be running it.
  kClaimed,
  /// It ran; the outcome is recorded.
  kDone,
  /// It was sent to a runner and what became of it is unknown.
  kUnknown,
  /// The holder proved that it did not run; the key is free.
  kReleased,
};

/// The row that makes a key run at most once.
struct Claim {
  base::OrganisationName organisation;
  base::IdempotencyKey key;
  /// Hash of what the key was used for.
  std::string fingerprint;
  base::AttemptId attempt;
  /// The entry that made the attempt.
  base::Incarnation entry;
  ClaimState state = ClaimState::kClaimed;
  /// Wall clock of the claiming entry. Decides only when an unfinished claim is
  /// reported as unknown and when an old one is deleted.
  std::int64_t claimed_at_unix_ms = 0;
  /// Time the claiming request had.
  base::Duration deadline{0};
  /// What the runner answered, when done.
  RequestAnswered outcome;
  /// Name of the object that holds the outcome's body; empty when it is in the
  /// row.
  std::string outcome_object;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// Prefix of all claim rows.
inline constexpr std::string_view kClaimPrefix = "claims/";

/// The row of a key of an organisation.
std::string ClaimRowKey(const base::OrganisationName& organisation,
                        const base::IdempotencyKey& key);

/// Equal for requests that ask for the same work: service, content type, body.
std::string FingerprintOf(const RoutedRequest& request);

/// The row's JSON text.
std::string EncodeClaim(const Claim& claim);

/// Nothing when `text` is not a claim.
std::optional<Claim> DecodeClaim(std::string_view text);

}  // namespace lapishatch::routing

namespace lapishatch::base {
template <>
struct EnumNames<routing::ClaimState> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "claimed", "done", "unknown", "released"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_ROUTING_CLAIM_H_
