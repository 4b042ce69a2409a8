#ifndef LAPISHATCH_JOBS_CONFIGURATION_VIEW_H_
#define LAPISHATCH_JOBS_CONFIGURATION_VIEW_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/base.h"
#include "jobs/queue_table.h"

namespace lapishatch::jobs {

/// How far a process may rely on the configuration that it has read.
enum class ConfigurationStatus : std::uint8_t {
  /// None was read, or a newer one may have to be in force.
  kExpired,
  /// Not confirmed in time, but the store is impaired, which extends the delay:
  /// requests that this one allows are accepted. What it does not contain may
  /// have been added since.
  kUnconfirmed,
  /// Any newer configuration is younger than the permitted delay.
  kCurrent,
};

/// Limits on the age of a configuration, counted from when the store last
/// confirmed it until a request arrives.
struct ConfigurationLimits {
  base::Duration max_current_age{2'000};
  /// Applies only while the store is known to be impaired.
  base::Duration max_impaired_age{7'000};
};

/// The configuration known to a process, and how reliable it is for a request.
struct ConfigurationView {
  /// Null before the first configuration is read.
  QueueTablePtr queue_table;
  ConfigurationStatus status = ConfigurationStatus::kExpired;
  base::Duration age{0};
};

/// Returns the status of a configuration that the store confirmed `age` ago.
inline ConfigurationStatus StatusAtAge(base::Duration age,
                                       const ConfigurationLimits& limits,
                                       bool is_store_impaired) {
  if (age <= limits.max_current_age) return ConfigurationStatus::kCurrent;
  return is_store_impaired && age <= limits.max_impaired_age
             ? ConfigurationStatus::kUnconfirmed
             : ConfigurationStatus::kExpired;
}

}  // namespace lapishatch::jobs

namespace lapishatch::base {
template <>
struct EnumNames<jobs::ConfigurationStatus> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "expired", "unconfirmed", "current"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_JOBS_CONFIGURATION_VIEW_H_
