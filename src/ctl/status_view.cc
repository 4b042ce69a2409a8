#include "ctl/status_view.h"

#include <boost/json/array.hpp>
#include <utility>
#include <vector>

#include "ctl/json_text.h"
#include "ctl/text_table.h"

namespace lapishatch::ctl {
namespace {

namespace json = boost::json;

const json::array& ArrayAt(const json::value& value, std::string_view path) {
  static const auto* const kNone = new json::array;
  const auto* found = FindPath(value, path);
  return found != nullptr && found->is_array() ? found->get_array() : *kNone;
}

/// "config: accepted at 41, in force in 23 of 24 processes".
std::string LogLine(const json::value& status, const std::string& log) {
  const auto path = "configuration." + log + ".";
  return log + ": accepted at " + TextAt(status, path + "accepted") +
         ", in force in " + TextAt(status, path + "in_force_in") + " of " +
         TextAt(status, path + "processes") + " processes\n";
}

std::string TableLine(const json::value& status) {
  return "the platform's table: reached by " +
         TextAt(status, "store.reachable_in") + " of " +
         TextAt(status, "store.processes") + " processes\n";
}

std::string SilentLine(const json::value& status) {
  const auto& silent = ArrayAt(status, "silent");
  return silent.empty() ? "silent: nobody\n"
                        : "silent: " + ShortText(silent) + "\n";
}

std::string YesOrNo(const json::value& process, std::string_view path) {
  const auto text = TextAt(process, path);
  if (text.empty()) return "?";
  return text == "true" ? "yes" : "no";
}

std::string ProcessTable(const json::value& status) {
  TextTable table({"process", "role", "domain", "state", "answered", "ready",
                   "table", "config", "jobs"});
  for (const auto& it : ArrayAt(status, "processes")) {
    table.Add({TextAt(it, "name"), TextAt(it, "role"),
               TextAt(it, "failure_domain"), TextAt(it, "state"),
               YesOrNo(it, "answered"), YesOrNo(it, "ready"),
               YesOrNo(it, "table_reachable"),
               TextAt(it, "configuration.config.in_force"),
               TextAt(it, "configuration.jobs.in_force")});
  }
  return table.Render();
}

/// What each scheduler says of its cells.
std::string CellTable(const json::value& status) {
  TextTable table(
      {"cell", "process", "phase", "epoch", "workers", "queued", "gangs"});
  for (const auto& process : ArrayAt(status, "processes")) {
    for (const auto& it : ArrayAt(process, "cells")) {
      table.Add({TextAt(it, "cell"), TextAt(process, "name"),
                 TextAt(it, "phase"), TextAt(it, "epoch"),
                 TextAt(it, "workers_reached") + "/" + TextAt(it, "workers"),
                 TextAt(it, "queued"), TextAt(it, "gangs")});
    }
  }
  return table.Render();
}

std::string EventTable(const json::value& status) {
  constexpr std::uint64_t kMillisecondsPerSecond = 1'000;
  TextTable table({"ago", "process", "event", "name", "fields"});
  for (const auto& it : ArrayAt(status, "events")) {
    const auto seconds = NumberAt(it, "age_ms") / kMillisecondsPerSecond;
    table.Add({std::to_string(seconds) + " s", TextAt(it, "process"),
               TextAt(it, "number"), TextAt(it, "name"), TextAt(it, "text")});
  }
  return table.Render();
}

}  // namespace

std::string StatusText(const json::value& status) {
  return "as " + TextAt(status, "process.name") + " sees it\n" +
         LogLine(status, "config") + LogLine(status, "jobs") +
         TableLine(status) + SilentLine(status) + '\n' + ProcessTable(status) +
         '\n' + CellTable(status) + '\n' + EventTable(status);
}

}  // namespace lapishatch::ctl
