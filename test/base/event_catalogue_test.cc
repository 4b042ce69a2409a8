#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace lapishatch::base {
namespace {

constexpr std::array<std::string_view, 4> kSeverityNames = {"debug", "info",
                                                            "warning", "error"};

std::string CatalogueLine(const Event& event) {
  std::string line = "| " + std::to_string(event.number) + " | ";
  line += kSeverityNames[static_cast<std::size_t>(event.severity)];
  line += " | ";
  line += event.name;
  line += " | ";
  line += event.meaning;
  line += " |";
  return line;
}

/// The lines of the catalogue whose first column is a number of three digits.
std::vector<std::string> CatalogueLines(std::istream& page) {
  std::vector<std::string> lines;
  for (std::string line; std::getline(page, line);) {
    if (line.size() < 6 || !line.starts_with("| ")) continue;
    if (line.find_first_not_of("0123456789", 2) != 5) continue;
    lines.push_back(line);
  }
  return lines;
}

TEST_CASE("every event stands in the catalogue, in order and word for word") {
  std::ifstream page(LAPISHATCH_SOURCE_DIR "/docs/EVENTS.md");
  REQUIRE(page.is_open());
  std::vector<std::string> expected;
  expected.reserve(kAllEvents.size());
  for (const auto& event : kAllEvents) expected.push_back(CatalogueLine(event));
  CHECK(CatalogueLines(page) == expected);
}

TEST_CASE("names of events are not used twice") {
  std::set<std::string_view> names;
  for (const auto& event : kAllEvents) {
    INFO(event.name);
    CHECK(names.insert(event.name).second);
  }
}

}  // namespace
}  // namespace lapishatch::base
