#ifndef LAPISHATCH_CTL_SETTINGS_CHECK_H_
#define LAPISHATCH_CTL_SETTINGS_CHECK_H_

#include <array>
#include <boost/leaf/result.hpp>
#include <string>

#include "base/base.h"

namespace lapishatch::ctl {

/// Whose settings a file holds.
enum class SettingsOf : std::uint8_t { kEntry, kScheduler, kCtl };

}  // namespace lapishatch::ctl

namespace lapishatch::base {
template <>
struct EnumNames<ctl::SettingsOf> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "lapishatch-entry", "lapishatch-scheduler", "lapishatchctl"};
};
}  // namespace lapishatch::base

namespace lapishatch::ctl {

/// Checks a settings file as the program that reads it does. A file with a
/// section [scheduler] is a scheduler's, one with [ctl] is lapishatchctl's, any
/// other is an entry's. Fails with config::SettingsProblems.
boost::leaf::result<SettingsOf> CheckSettings(const std::string& file);

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_SETTINGS_CHECK_H_
