#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "entry/entry.h"

namespace lapishatch::entry {
namespace {

std::string SettingsTable() {
  config::Program program({"lapishatch-entry", "", ""});
  EntryOptions options;
  AddSections(options, program.settings());
  return program.settings().Markdown();
}

/// With LAPISHATCH_WRITE_DOCS set, the page is written anew.
TEST_CASE("docs/SETTINGS.md shows the entry's settings as they are") {
  const std::string path =
      std::string(LAPISHATCH_SOURCE_DIR) + "/docs/SETTINGS.md";
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  const std::string begin = "<!-- lapishatch-entry -->\n";
  const std::string end = "<!-- end -->\n";
  const auto from = text.str().find(begin);
  REQUIRE(from != std::string::npos);
  const auto to = text.str().find(end, from);
  REQUIRE(to != std::string::npos);
  const auto table =
      text.str().substr(from + begin.size(), to - from - begin.size());
  if (std::getenv("LAPISHATCH_WRITE_DOCS") != nullptr) {
    std::ofstream(path) << text.str().substr(0, from + begin.size())
                        << SettingsTable() << text.str().substr(to);
    return;
  }
  INFO("write it anew: LAPISHATCH_WRITE_DOCS=1 test_entry");
  CHECK(table == SettingsTable());
}

}  // namespace
}  // namespace lapishatch::entry
