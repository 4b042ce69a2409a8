#include "dispatch/internal/crash_history.h"

namespace lapishatch::dispatch::internal {

void CrashHistory::Add(const http::Endpoint& address, bool has_common_cause,
                       base::TimePoint now) {
  Prune(now);
  auto& it = records_[address];
  if (!has_common_cause) ++it.crashes;
  it.last = now;
}

base::TimePoint CrashHistory::LastRecentCrash(const http::Endpoint& address,
                                              base::TimePoint now) const {
  const auto* it = Find(address);
  const bool is_recent =
      it != nullptr && now - it->last < options_.recent_crash_window;
  return is_recent ? it->last : base::TimePoint{};
}

bool CrashHistory::IsUnreliable(const http::Endpoint& address,
                                base::TimePoint now) const {
  const auto* it = Find(address);
  return it != nullptr && now - it->last < options_.retention &&
         it->crashes >= options_.unreliable_after;
}

void CrashHistory::Prune(base::TimePoint now) {
  std::erase_if(records_, [&](const auto& it) {
    return now - it.second.last >= options_.retention;
  });
}

const CrashHistory::Record* CrashHistory::Find(
    const http::Endpoint& address) const {
  if (records_.empty()) return nullptr;
  const auto it = records_.find(address);
  return it == records_.end() ? nullptr : &it->second;
}

}  // namespace lapishatch::dispatch::internal
