#ifndef LAPISHATCH_BASE_EVENT_H_
#define LAPISHATCH_BASE_EVENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lapishatch::base {

/// How much an operator should mind an event.
enum class Severity : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// Everything that is logged. A number never changes its meaning; new events
/// get new numbers. Ranges: 1xx process, 2xx settings, 3xx store, 4xx requests,
/// 5xx configuration, 6xx cells and gangs, 7xx membership and inner protocol,
/// 8xx stand-ins and tools. docs/EVENTS.md is the catalogue; a test keeps the
/// two the same.
struct Event {
  int number;
  Severity severity;
  std::string_view name;
  /// One sentence for the catalogue: what happened and what an operator does
  /// about it.
  std::string_view meaning;
};

/// Every event, in order of number.
namespace events {
#define LAPISHATCH_EVENT(ident, number, severity, name, meaning) \
  inline constexpr Event ident{number, Severity::severity, name, meaning};
#include "base/event_list.inc"
#undef LAPISHATCH_EVENT
}  // namespace events

inline constexpr auto kAllEvents = std::to_array<Event>({
#define LAPISHATCH_EVENT(ident, number, severity, name, meaning) \
  Event{number, Severity::severity, name, meaning},
#include "base/event_list.inc"
#undef LAPISHATCH_EVENT
});

namespace internal {

constexpr bool NumbersAscend() {
  for (std::size_t i = 1; i < kAllEvents.size(); ++i) {
    if (kAllEvents[i - 1].number >= kAllEvents[i].number) return false;
  }
  return true;
}

static_assert(NumbersAscend(),
              "EVENT_NUMBERS_MUST_ASCEND_WITHOUT_REPEATS: give the new event "
              "in event_list.inc a free number "
              "and put it in order");

}  // namespace internal

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_EVENT_H_
