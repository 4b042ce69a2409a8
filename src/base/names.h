#ifndef LAPISHATCH_BASE_NAMES_H_
#define LAPISHATCH_BASE_NAMES_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/enum_names.h"

namespace lapishatch::base {

/// How pressing a request or job is. Urgent goes first; quiet may wait for
/// quiet hours.
enum class WorkClass : std::uint8_t { kUrgent, kNormal, kQuiet };

template <>
struct EnumNames<WorkClass> {
  static constexpr std::array<std::string_view, 3> kNames = {"urgent", "normal",
                                                             "quiet"};
};

/// What is known of the work behind a request when its caller is answered.
enum class WorkDone : std::uint8_t { kNotRun, kRan, kUnknown };

template <>
struct EnumNames<WorkDone> {
  static constexpr std::array<std::string_view, 3> kNames = {"not-run", "ran",
                                                             "unknown"};
};

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_NAMES_H_
