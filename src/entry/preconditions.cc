#include "entry/preconditions.h"

#include <charconv>
#include <string_view>

namespace lapishatch::entry {
namespace {

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/// The version in an entity tag, with or without its quotes.
std::optional<config::LogVersion> VersionOf(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  config::LogVersion version = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || text.empty()) {
    return std::nullopt;
  }
  return version;
}

Refusal BadHeader(std::string_view name, std::string_view value,
                  std::string_view allowed) {
  Refusal refusal;
  refusal.status = kBadRequest;
  refusal.type = "bad-header";
  refusal.title = "A header field is not allowed";
  const std::string detail =
      '"' + std::string(value) + "\" is not allowed: " + std::string(allowed);
  refusal.detail = std::string(name) + ": " + detail;
  refusal.problems.list.push_back({std::string(name), detail});
  return refusal;
}

}  // namespace

std::variant<config::Precondition, Refusal> ReadPrecondition(
    const http::Headers& headers, const config::ResourcePtr& present) {
  const bool has_match = headers.Has("If-Match");
  const bool has_none_match = headers.Has("If-None-Match");
  if (has_match == has_none_match) {
    Refusal refusal;
    refusal.status = has_match ? kBadRequest : kPreconditionRequired;
    refusal.type = "precondition-required";
    refusal.title = "Say which version the change is for";
    refusal.detail =
        "send If-None-Match: * to create, or If-Match with the ETag of the "
        "version to change; not both";
    refusal.present = present;
    return refusal;
  }
  if (has_none_match) {
    const auto value = Trimmed(headers.Find("If-None-Match"));
    if (value == "*") return config::Precondition(config::MustHaveVersion{0});
    return BadHeader("If-None-Match", value, "*");
  }
  const auto value = Trimmed(headers.Find("If-Match"));
  if (value == "*" && present != nullptr) {
    return config::Precondition(config::MustHaveVersion{present->version});
  }
  if (value == "*") {
    Refusal refusal;
    refusal.status = kPreconditionFailed;
    refusal.type = "stale";
    refusal.title = "The resource is not there";
    refusal.detail = "If-Match: * needs a resource that is there";
    return refusal;
  }
  const auto version = VersionOf(value);
  if (version) return config::Precondition(config::MustHaveVersion{*version});
  return BadHeader("If-Match", value, "an ETag such as \"41\", or *");
}

}  // namespace lapishatch::entry
