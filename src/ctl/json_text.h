#ifndef LAPISHATCH_CTL_JSON_TEXT_H_
#define LAPISHATCH_CTL_JSON_TEXT_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace lapishatch::ctl {

/// The value at a path such as "spec.gang.tasks", or null when there is none.
const boost::json::value* FindPath(const boost::json::value& value,
                                   std::string_view path);

/// The value at a path as text; empty when there is none.
std::string TextAt(const boost::json::value& value, std::string_view path);

/// The whole number at a path, or 0.
std::uint64_t NumberAt(const boost::json::value& value, std::string_view path);

/// A value on one line: strings as they are, lists with commas, objects as
/// "key=value".
std::string ShortText(const boost::json::value& value);

/// A value over as many lines as it needs, indented, "key: value" a line; lists
/// of objects become tables.
std::string LongText(const boost::json::value& value);

/// A value as JSON over several lines, for programs and people alike.
std::string PrettyJson(const boost::json::value& value);

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_JSON_TEXT_H_
