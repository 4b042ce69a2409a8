#include "base/log.h"

#include <unistd.h>

#include <atomic>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>
#include <memory>

#include "base/internal/event_ring.h"
#include "base/internal/line_writer.h"

namespace lapishatch::base {
namespace {

constexpr int kNothingIsLogged = 1000;

std::atomic<int> least_severity{kNothingIsLogged};

/// Set once, before the first event.
std::string bounded_program;
std::unique_ptr<internal::LineWriter> bounded_writer;

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

std::string Quoted(std::string_view text) {
  return boost::json::serialize(
      boost::json::value(boost::json::string_view(text.data(), text.size())));
}

/// "key=value" with a space before each.
std::string TextOf(std::initializer_list<LogField> fields) {
  std::string text;
  for (const auto& field : fields) {
    text += ' ';
    text += field.key();
    text += '=';
    text += field.text();
  }
  return text;
}

std::string LineOf(const Event& event, const std::string& fields) {
  std::string line(SeverityName(event.severity));
  line += " E";
  line += std::to_string(event.number);
  line += ' ';
  line += event.name;
  line += fields;
  return line;
}

}  // namespace

LogField::LogField(std::string_view key, std::string_view text)
    : key_(key), text_(Quoted(text)) {}

void StartLog(std::string_view program, Severity least) {
  namespace expr = boost::log::expressions;
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::clog, boost::log::keywords::auto_flush = true,
      boost::log::keywords::format =
          (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << ' ' << std::string(program) << ' '
                        << expr::smessage));
  least_severity = static_cast<int>(least);
}

void StartBoundedLog(std::string_view program, Severity least) {
  bounded_program = program;
  bounded_writer = std::make_unique<internal::LineWriter>(STDOUT_FILENO);
  least_severity = static_cast<int>(least);
}

void Log(const Event& event, std::initializer_list<LogField> fields) {
  const bool is_printed = static_cast<int>(event.severity) >=
                          least_severity.load(std::memory_order_relaxed);
  const bool is_kept = event.severity >= Severity::kWarning;
  if (!is_printed && !is_kept) return;
  const auto text = TextOf(fields);
  if (is_kept) {
    constexpr std::size_t kSpaceBeforeFirst = 1;
    internal::Remember(event.number,
                       text.empty() ? text : text.substr(kSpaceBeforeFirst));
  }
  if (!is_printed) return;
  if (bounded_writer) {
    const auto time = boost::posix_time::to_iso_extended_string(
        boost::posix_time::microsec_clock::universal_time());
    bounded_writer->Write(
        event.number, time + ' ' + bounded_program + ' ' + LineOf(event, text),
        SteadyClock().Now());
    return;
  }
  boost::log::sources::logger_mt logger;
  BOOST_LOG(logger) << LineOf(event, text);
}

}  // namespace lapishatch::base
