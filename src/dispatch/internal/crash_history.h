#ifndef LAPISHATCH_DISPATCH_INTERNAL_CRASH_HISTORY_H_
#define LAPISHATCH_DISPATCH_INTERNAL_CRASH_HISTORY_H_

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

#include "base/base.h"
#include "http/message.h"

namespace lapishatch::dispatch::internal {

struct CrashHistoryOptions {
  /// How long after a crash the address is avoided for suspect tasks.
  base::Duration recent_crash_window{10'000};
  /// Number of crashes, each within `retention` of the previous one, from which
  /// the workers at an address are considered unreliable.
  int unreliable_after = 2;
  base::Duration retention{60'000};
};

/// What the loss of a worker says of its address.
enum class CrashRecord : std::uint8_t {
  /// The worker crashed, and none of its tasks is suspected of it.
  kRecorded,
  /// The worker does not answer; whether it crashed is unknown.
  kNoCrash,
  /// It had announced that it leaves.
  kAnnounced,
  /// A suspect task ran on it and may be the cause.
  kSuspect,
};

/// Crashes by address, since a worker that restarts after a crash registers
/// under another name. Has no clock and does no I/O.
class CrashHistory {
 public:
  explicit CrashHistory(CrashHistoryOptions options) : options_(options) {}

  /// Records the crash of a worker that ran no suspect task. One with a common
  /// cause, such as a power outage, does not make the address unreliable.
  void Add(const http::Endpoint& address, bool has_common_cause,
           base::TimePoint now);

  /// Returns when a worker at the address last crashed, or the epoch if that
  /// was not recently.
  base::TimePoint LastRecentCrash(const http::Endpoint& address,
                                  base::TimePoint now) const;

  /// Whether workers at the address crash repeatedly without suspect tasks.
  bool IsUnreliable(const http::Endpoint& address, base::TimePoint now) const;

  /// Removes addresses without a crash during the retention period.
  void Prune(base::TimePoint now);

 private:
  struct Record {
    /// Without those that had a common cause.
    int crashes = 0;
    base::TimePoint last{};
  };

  const Record* Find(const http::Endpoint& address) const;

  const CrashHistoryOptions options_;
  std::map<http::Endpoint, Record> records_;
};

}  // namespace lapishatch::dispatch::internal

namespace lapishatch::base {
template <>
struct EnumNames<dispatch::internal::CrashRecord> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "recorded", "no-crash", "announced", "suspect"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_DISPATCH_INTERNAL_CRASH_HISTORY_H_
