#include "runner/runner_model.h"

#include <boost/json.hpp>

namespace lapishatch::standins {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMostAnswerBytes = 8 * 1024 * 1024;
constexpr std::int64_t kLeastStatus = 200;
constexpr std::int64_t kMostStatus = 599;

std::optional<std::int64_t> IntegerAt(const json::object& object,
                                      const char* key, std::int64_t least,
                                      std::int64_t most) {
  const auto* value = object.if_contains(key);
  if (value == nullptr || !value->is_int64()) return std::nullopt;
  const auto n = value->as_int64();
  if (n < least || n > most) return std::nullopt;
  return n;
}

}  // namespace

RequestBehaviour BehaviourOfBody(const std::string& body,
                                 base::Duration default_service_time) {
  RequestBehaviour out;
  out.service_time = default_service_time;
  if (body.empty() || body.front() != '{') return out;
  json::error_code ec;
  const auto value = json::parse(body, ec);
  if (ec || !value.is_object()) return out;
  const auto& object = value.as_object();
  constexpr std::int64_t kMostServiceMs = 3'600'000;
  if (const auto n = IntegerAt(object, "service_ms", 0, kMostServiceMs)) {
    out.service_time = base::Duration(*n);
  }
  if (const auto n = IntegerAt(object, "status", kLeastStatus, kMostStatus)) {
    out.status = static_cast<int>(*n);
  }
  if (const auto n = IntegerAt(object, "answer_bytes", 0, kMostAnswerBytes)) {
    out.answer_bytes = static_cast<std::size_t>(*n);
  }
  return out;
}

std::optional<WorkId> RunnerModel::Accept(base::Duration service_time,
                                          base::TimePoint now) {
  if (leaving_) return std::nullopt;
  const Waiting work{last_id_ + 1, service_time};
  if (static_cast<int>(running_.size()) < options_.slots) {
    Run(work, now);
  } else if (static_cast<int>(waiting_.size()) < options_.max_waiting) {
    waiting_.push_back(work);
  } else {
    return std::nullopt;
  }
  return ++last_id_;
}

void RunnerModel::Run(const Waiting& work, base::TimePoint now) {
  running_.emplace(now + work.service_time, work.id);
  started_.push_back(work.id);
}

std::vector<WorkId> RunnerModel::Advance(base::TimePoint now) {
  std::vector<WorkId> ended;
  while (!running_.empty() && running_.begin()->first <= now) {
    const auto [end, id] = *running_.begin();
    running_.erase(running_.begin());
    ended.push_back(id);
    if (waiting_.empty()) continue;
    Run(waiting_.front(), end);
    waiting_.pop_front();
  }
  return ended;
}

std::optional<base::TimePoint> RunnerModel::NextChange() const {
  if (running_.empty()) return std::nullopt;
  return running_.begin()->first;
}

void RunnerModel::Clear() {
  running_.clear();
  waiting_.clear();
  started_.clear();
}

backends::RunnerLoad RunnerModel::load() const {
  return {options_.slots, static_cast<int>(running_.size()),
          static_cast<int>(waiting_.size()), leaving_};
}

}  // namespace lapishatch::standins
