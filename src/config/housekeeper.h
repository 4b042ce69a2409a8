#ifndef LAPISHATCH_CONFIG_HOUSEKEEPER_H_
#define LAPISHATCH_CONFIG_HOUSEKEEPER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "config/change_writer.h"
#include "config/mirror.h"

namespace lapishatch::config {

/// Settings of the housekeeper.
struct HousekeeperOptions {
  /// Between two rounds; each comes up to a quarter earlier.
  base::Duration period{30'000};
  /// Jobs that have ended are removed after this.
  base::Duration keep_ended{86'400'000};
  /// Most jobs that have ended and stay; the oldest go first.
  std::size_t most_ended = 4'000;
  /// Jobs removed in one transaction.
  std::size_t group = 32;
  std::uint64_t seed = 1;
};

/// The section [housekeeping].
Section Describe(HousekeeperOptions& options);

struct HousekeeperPorts {
  /// The mirror's.
  base::EventLoop& loop;
  Mirror& mirror;
  ChangeWriter& writer;
  /// Whether this process does it for its failure domain. Empty: it does.
  std::function<bool()> is_chosen = nullptr;
  /// Now, in ms since 1970.
  std::function<std::int64_t()> wall_clock_ms;
};

/// Keeps the table bounded: removes old log entries and jobs that ended long
/// ago. Several at once do no harm. On one loop.
class Housekeeper {
 public:
  Housekeeper(HousekeeperOptions options, HousekeeperPorts ports);
  ~Housekeeper();
  Housekeeper(const Housekeeper&) = delete;
  Housekeeper& operator=(const Housekeeper&) = delete;

  /// Begins its rounds.
  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_HOUSEKEEPER_H_
