#include "routing/claim.h"

#include <absl/strings/escaping.h>
#include <xxhash.h>

#include <boost/json.hpp>
#include <boost/system/error_code.hpp>

namespace lapishatch::routing {
namespace {

namespace json = boost::json;

std::string HexOf(XXH128_hash_t hash) {
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, hash);
  return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char*>(bytes.digest), sizeof(bytes.digest)));
}

/// Appends `part` with its length, so that different lists of parts never give
/// the same text.
void AppendPart(std::string_view part, std::string& out) {
  out += std::to_string(part.size());
  out += ':';
  out += part;
}

std::string_view TextAt(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return {};
  return value->get_string();
}

std::int64_t NumberAt(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_int64()) return 0;
  return value->get_int64();
}

json::object EncodeOutcome(const Claim& claim) {
  json::object out;
  out["status"] = claim.outcome.status;
  out["content_type"] = claim.outcome.content_type;
  if (claim.outcome_object.empty()) {
    out["body_base64"] = absl::Base64Escape(claim.outcome.body);
  } else {
    out["object"] = claim.outcome_object;
  }
  return out;
}

bool DecodeOutcome(const json::object& object, Claim& claim) {
  claim.outcome.status = static_cast<int>(NumberAt(object, "status"));
  claim.outcome.content_type = std::string(TextAt(object, "content_type"));
  claim.outcome_object = std::string(TextAt(object, "object"));
  if (!claim.outcome_object.empty()) return true;
  const auto body = TextAt(object, "body_base64");
  return absl::Base64Unescape(absl::string_view(body.data(), body.size()),
                              &claim.outcome.body);
}

}  // namespace

std::string ClaimRowKey(const base::OrganisationName& organisation,
                        const base::IdempotencyKey& key) {
  std::string text;
  AppendPart(organisation.str(), text);
  AppendPart(key.str(), text);
  return std::string(kClaimPrefix) +
         HexOf(XXH3_128bits(text.data(), text.size()));
}

std::string FingerprintOf(const RoutedRequest& request) {
  std::string text;
  AppendPart(request.service.str(), text);
  AppendPart(request.content_type, text);
  AppendPart(request.body, text);
  return HexOf(XXH3_128bits(text.data(), text.size()));
}

std::string EncodeClaim(const Claim& claim) {
  json::object out;
  out["organisation"] = claim.organisation.str();
  out["key"] = claim.key.str();
  out["fingerprint"] = claim.fingerprint;
  out["attempt"] = claim.attempt.str();
  out["entry"] = claim.entry.str();
  out["state"] = base::NameOf(claim.state);
  out["claimed_at_unix_ms"] = claim.claimed_at_unix_ms;
  out["deadline_ms"] = claim.deadline.count();
  if (claim.state == ClaimState::kDone) out["outcome"] = EncodeOutcome(claim);
  return json::serialize(out);
}

std::optional<Claim> DecodeClaim(std::string_view text) {
  boost::system::error_code ec;
  const auto value = json::parse(text, ec);
  if (ec || !value.is_object()) return std::nullopt;
  const auto& object = value.get_object();
  const auto state = base::ParseEnum<ClaimState>(TextAt(object, "state"));
  if (!state) return std::nullopt;
  Claim claim;
  claim.organisation =
      base::OrganisationName(std::string(TextAt(object, "organisation")));
  claim.key = base::IdempotencyKey(std::string(TextAt(object, "key")));
  claim.fingerprint = std::string(TextAt(object, "fingerprint"));
  claim.attempt = base::AttemptId(std::string(TextAt(object, "attempt")));
  claim.entry = base::Incarnation(std::string(TextAt(object, "entry")));
  claim.state = *state;
  claim.claimed_at_unix_ms = NumberAt(object, "claimed_at_unix_ms");
  claim.deadline = base::Duration(NumberAt(object, "deadline_ms"));
  if (*state != ClaimState::kDone) return claim;
  const auto* outcome = object.if_contains("outcome");
  if (outcome == nullptr || !outcome->is_object()) return std::nullopt;
  if (!DecodeOutcome(outcome->get_object(), claim)) return std::nullopt;
  return claim;
}

}  // namespace lapishatch::routing
