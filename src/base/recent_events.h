#ifndef LAPISHATCH_BASE_RECENT_EVENTS_H_
#define LAPISHATCH_BASE_RECENT_EVENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lapishatch::base {

/// How many warnings and errors a process remembers.
inline constexpr std::size_t kRecentEvents = 32;

/// Of the text of each; the rest is cut off.
inline constexpr std::size_t kRecentEventBytes = 120;

/// A warning or error as it was logged.
struct RecentEvent {
  /// Its number in the catalogue of events.
  int number = 0;
  /// How long ago.
  std::int64_t age_ms = 0;
  /// Its fields, as in the log's line.
  std::string text;
};

/// The last warnings and errors of this process, the newest first, whatever
/// severity is printed. Safe from several threads.
std::vector<RecentEvent> RecentEvents();

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_RECENT_EVENTS_H_
