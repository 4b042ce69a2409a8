#include "runner/run_log.h"

namespace lapishatch::standins {
namespace {

namespace json = boost::json;

/// Longer bodies are logged by their beginning.
constexpr std::size_t kLoggedBodyBytes = 256;

json::object ObjectOf(
    const std::unordered_map<std::string, std::uint64_t>& counts) {
  json::object out;
  for (const auto& [key, n] : counts) out[key] = n;
  return out;
}

}  // namespace

void RunLog::Add(const backends::RunnerRequest& request) {
  const std::lock_guard lock(mutex_);
  ++total_;
  Count(request.id.str(), by_request_id_);
  Count(request.body.substr(0, kLoggedBodyBytes), by_body_);
}

void RunLog::Count(const std::string& key, Counts& counts) {
  if (counts.size() >= limit_ && !counts.contains(key)) {
    ++dropped_;
    return;
  }
  ++counts[key];
}

std::uint64_t RunLog::RunsOfBody(const std::string& body) const {
  const std::lock_guard lock(mutex_);
  const auto it = by_body_.find(body.substr(0, kLoggedBodyBytes));
  return it == by_body_.end() ? 0 : it->second;
}

std::uint64_t RunLog::total() const {
  const std::lock_guard lock(mutex_);
  return total_;
}

json::object RunLog::ToJson() const {
  const std::lock_guard lock(mutex_);
  return {{"total", total_},
          {"dropped", dropped_},
          {"by_request_id", ObjectOf(by_request_id_)},
          {"by_body", ObjectOf(by_body_)}};
}

}  // namespace lapishatch::standins
