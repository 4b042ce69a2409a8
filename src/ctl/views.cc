#include "ctl/views.h"

#include <algorithm>
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
  if (kind == "workers") {
    return {{"name", "name"},
            {"state", "status.state"},
            {"takes new work", "status.takes_new_work"},
            {"drained", "spec.drain"},
            {"domain", "status.failure_domain"},
            {"rack", "status.rack"},
            {"accelerators", "status.accelerators"},
            {"cores", "status.cores"},
            {"memory mb", "status.memory_mb"},
            {"address", "status.address"}};
  }
  if (kind == "runners") {
    return {{"name", "name"},
            {"state", "status.state"},
            {"takes new work", "status.takes_new_work"},
            {"drained", "spec.drain"},
            {"domain", "status.failure_domain"},
            {"service", "status.service"},
            {"address", "status.address"}};
  }
  if (kind == "cells") {
    return {{"name", "name"},
            {"domain", "status.failure_domain"},
            {"owner", "status.owner"},
            {"owner state", "status.owner_state"},
            {"epoch", "status.epoch"}};
  }
  if (kind == "drains") {
    return {{"name", "name"},
            {"version", "version"},
            {"reason", "spec.reason"},
            {"by", "changed_by"}};
  }
  return {{"name", "name"},
          {"version", "version"},
          {"spec", "spec"},
          {"status", "status"}};
}

/// The number that begins at `at`, past its leading zeros, as its digits.
std::string_view DigitsAt(std::string_view text, std::size_t at) {
  const auto end =
      std::min(text.find_first_not_of("0123456789", at), text.size());
  const auto begin = std::min(text.find_first_not_of('0', at), end);
  return text.substr(begin, end - begin);
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

/// Names as people count: worker-2 before worker-10.
bool ComesBefore(std::string_view a, std::string_view b) {
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() && j < b.size()) {
    if (!IsDigit(a[i]) || !IsDigit(b[j])) {
      if (a[i] != b[j]) return a[i] < b[j];
      ++i;
      ++j;
      continue;
    }
    const auto left = DigitsAt(a, i);
    const auto right = DigitsAt(b, j);
    if (left.size() != right.size()) return left.size() < right.size();
    if (left != right) return left < right;
    i = static_cast<std::size_t>(left.data() + left.size() - a.data());
    j = static_cast<std::size_t>(right.data() + right.size() - b.data());
  }
  if (a.size() - i != b.size() - j) return a.size() - i < b.size() - j;
  return a < b;
}

/// The resources by name.
std::vector<const json::value*> InOrder(const json::array& resources) {
  std::vector<const json::value*> out;
  out.reserve(resources.size());
  for (const auto& it : resources) out.push_back(&it);
  std::stable_sort(out.begin(), out.end(), [](const auto* a, const auto* b) {
    return ComesBefore(TextAt(*a, "name"), TextAt(*b, "name"));
  });
  return out;
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
  for (const auto* resource : InOrder(resources)) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const auto& it : columns) cells.push_back(TextAt(*resource, it.path));
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
