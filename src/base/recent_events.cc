#include "base/recent_events.h"

#include <chrono>
#include <deque>
#include <mutex>
#include <utility>

#include "base/internal/event_ring.h"

namespace lapishatch::base {
namespace {

using Clock = std::chrono::steady_clock;

struct Kept {
  int number;
  Clock::time_point at;
  std::string text;
};

/// The newest last.
struct Ring {
  std::mutex mutex;
  std::deque<Kept> events;
};

/// Never destroyed: threads may log until the very end.
Ring& TheRing() {
  static auto* const kRing = new Ring;
  return *kRing;
}

}  // namespace

std::vector<RecentEvent> RecentEvents() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto& ring = TheRing();
  const auto now = Clock::now();
  std::vector<RecentEvent> out;
  const std::lock_guard lock(ring.mutex);
  out.reserve(ring.events.size());
  for (auto it = ring.events.rbegin(); it != ring.events.rend(); ++it) {
    const auto age = duration_cast<milliseconds>(now - it->at).count();
    out.push_back({it->number, age, it->text});
  }
  return out;
}

void internal::Remember(int number, std::string text) {
  if (text.size() > kRecentEventBytes) text.resize(kRecentEventBytes);
  auto& ring = TheRing();
  const std::lock_guard lock(ring.mutex);
  ring.events.push_back({number, Clock::now(), std::move(text)});
  if (ring.events.size() > kRecentEvents) ring.events.pop_front();
}

}  // namespace lapishatch::base
