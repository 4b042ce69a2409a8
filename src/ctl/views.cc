#include "ctl/views.h"

#include <utility>

#include "config/config.h"
#include "ctl/json_text.h"
#include "ctl/text_table.h"

namespace lapishatch::ctl {
namespace {

namespace json = boost::json;

struct Column {
  std::string_view heading;
  std::string_view path;
};

/// What a table of one kind shows.
std::vector<Column> ColumnsOf(std::string_view kind) {
  if (kind == "organisations") {
    return {{"name", "name"},
            {"version", "version"},
            {"weight", "spec.weight"},
            {"limits", "spec.limits"},
            {"guarantees", "spec.guarantees"}};
  }
  if (kind == "jobs") {
    return {{"name", "name"},
            {"organisation", "spec.organisation"},
            {"class", "spec.class"},
            {"tasks", "spec.gang.tasks"},
            {"each", "spec.gang.accelerators_per_task"},
            {"phase", "status.phase"},
            {"domain", "status.domain"},
            {"attempts", "status.attempts"},
            {"borrowed", "status.borrowed"},
            {"reason", "status.reason"}};
  }
  return {{"name", "name"},
          {"version", "version"},
          {"spec", "spec"},
          {"status", "status"}};
}

}  // namespace

std::string_view KindFor(std::string_view word) {
  for (const auto kind : kKinds) {
    if (word == kind || word == kind.substr(0, kind.size() - 1)) return kind;
  }
  return {};
}

std::string TableOf(std::string_view kind, const json::array& resources) {
  const auto columns = ColumnsOf(kind);
  std::vector<std::string> headings;
  headings.reserve(columns.size());
  for (const auto& it : columns) headings.emplace_back(it.heading);
  TextTable table(std::move(headings));
  for (const auto& resource : resources) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const auto& it : columns) cells.push_back(TextAt(resource, it.path));
    table.Add(std::move(cells));
  }
  return table.Render();
}

std::string LineOf(std::string_view kind, const json::value& resource) {
  std::string out = TextAt(resource, "name");
  if (kind == "jobs") {
    const auto phase = TextAt(resource, "status.phase");
    const auto known = base::ParseEnum<config::JobPhase>(phase);
    const bool leaving = TextAt(resource, "cancel_requested") == "true" &&
                         known.has_value() && !config::IsFinal(*known);
    out += leaving ? " is to be cancelled, still " : " is ";
    out += phase;
    const auto domain = TextAt(resource, "status.domain");
    if (!domain.empty()) out += " in " + domain;
    const auto reason = TextAt(resource, "status.reason");
    if (!reason.empty()) out += ": " + reason;
    return out;
  }
  return out + " " + TextAt(resource, "spec");
}

}  // namespace lapishatch::ctl
