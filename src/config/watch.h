#ifndef LAPISHATCH_CONFIG_WATCH_H_
#define LAPISHATCH_CONFIG_WATCH_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "config/log_entry.h"

namespace lapishatch::config {

/// Everything up to this version has been told.
struct WatchBookmark {
  LogVersion version = 0;
};

/// Why a watch ends, or does not begin.
enum class WatchEnd : std::uint8_t {
  /// The version to continue from is no longer remembered: list again.
  kTooOld,
  /// The version to continue from has not been accepted, as far as is known
  /// here.
  kNotYet,
  /// As many watches as allowed are open.
  kTooMany,
  /// Planned stop: continue at another entry.
  kStopping,
};

struct WatchEnded {
  WatchEnd why = WatchEnd::kStopping;
  /// Continue from here elsewhere.
  LogVersion version = 0;
};

using WatchItem = std::variant<LogEntryPtr, WatchBookmark, WatchEnded>;

/// Takes the items of one watch, in order, on the mirror's loop. False ends the
/// watch.
using WatchSink = std::function<bool(const WatchItem&)>;

/// Names an open watch.
using WatchId = std::uint64_t;

/// An item as one line of a watch's body: put, delete or bookmark. A WatchEnded
/// is the bookmark that says where to continue.
std::string WatchLine(const WatchItem& item);

}  // namespace lapishatch::config

namespace lapishatch::base {
template <>
struct EnumNames<config::WatchEnd> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "too-old", "not-yet", "too-many", "stopping"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_CONFIG_WATCH_H_
