#ifndef LAPISHATCH_STANDINS_PLATFORM_PLATFORM_FAULTS_H_
#define LAPISHATCH_STANDINS_PLATFORM_PLATFORM_FAULTS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

#include "base/base.h"

namespace lapishatch::standins {

/// What the stand-in platform can be made to do wrong. Several may be on at
/// once.
enum class PlatformFault : std::uint8_t {
  /// Ends all faults.
  kNone,
  /// Refuses with 503 and `"effect":"none"`.
  kDown,
  /// Takes the request, does nothing and never answers.
  kSilent,
  /// Waits before it does what is asked, so that the effect is late as well.
  kSlow,
  /// Does what is asked and breaks the connection without an answer.
  kLoseAnswers,
  /// Goes on showing the VM list of the moment when the fault began.
  kStaleVms,
};

/// The faults that are on, each with the share of calls that it hits. Safe from
/// several threads.
class PlatformFaults {
 public:
  void Set(PlatformFault fault, base::Duration time, double share);
  void Clear();

  /// Whether `fault` hits the call that asks. Deterministic in the number of
  /// calls, so that a share is met closely also in short tests.
  bool Hits(PlatformFault fault);

  /// The time that the fault was set with.
  base::Duration TimeOf(PlatformFault fault) const;

 private:
  struct Slot {
    /// Parts in a million.
    std::atomic<std::uint32_t> share{0};
    std::atomic<std::int64_t> time_ms{0};
    std::atomic<std::uint64_t> calls{0};
  };

  static constexpr std::size_t kSize = 6;

  std::array<Slot, kSize> slots_;
};

}  // namespace lapishatch::standins

namespace lapishatch::base {
template <>
struct EnumNames<standins::PlatformFault> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "none", "down", "silent", "slow", "lose_answers", "stale_vms"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_STANDINS_PLATFORM_PLATFORM_FAULTS_H_
