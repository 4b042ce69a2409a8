#ifndef LAPISHATCH_BASE_LOG_H_
#define LAPISHATCH_BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include "base/event.h"
#include "base/ids.h"

namespace lapishatch::base {

/// One named value of a logged event. Strings are quoted and escaped in the
/// output.
class LogField {
 public:
  LogField(std::string_view key, std::string_view text);
  LogField(std::string_view key, const char* text)
      : LogField(key, std::string_view{text}) {}
  LogField(std::string_view key, const std::string& text)
      : LogField(key, std::string_view{text}) {}
  template <typename Tag>
  LogField(std::string_view key, const Id<Tag>& id)
      : LogField(key, std::string_view{id.str()}) {}
  template <typename Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view key,
                                                 Number value)
      : key_(key), text_(std::to_string(value)) {}

  std::string_view key() const { return key_; }
  const std::string& text() const { return text_; }

 private:
  std::string_view key_;
  std::string text_;
};

/// Sets up logging for the whole process: one line per event on standard error,
/// at `least` severity or above, with `program` in each line. Call once, before
/// the first event; without it nothing is printed.
void StartLog(std::string_view program, Severity least);

/// The same, on standard output, without ever waiting for its reader: lines
/// that it does not take, or of which there are too many in a second, are left
/// out and counted in the next one.
void StartBoundedLog(std::string_view program, Severity least);

/// Writes one event, and keeps a warning or error for RecentEvents. Costs
/// almost nothing when the event is neither printed nor kept. Safe from several
/// threads.
void Log(const Event& event, std::initializer_list<LogField> fields = {});

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_LOG_H_
