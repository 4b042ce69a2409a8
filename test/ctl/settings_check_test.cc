#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "ctl/ctl.h"

namespace lapishatch::ctl {
namespace {

namespace fs = std::filesystem;
namespace leaf = boost::leaf;

/// The program whose settings `text` holds, or the first problem.
std::string CheckText(const std::string& text) {
  const auto file =
      fs::temp_directory_path() / base::MakeUniqueText("lapishatch-check-");
  std::ofstream(file) << text;
  auto said = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(program, CheckSettings(file.string()));
        return std::string(base::NameOf(program));
      },
      [](const config::SettingsProblems& it) {
        return it.problems.front().path + ": " + it.problems.front().detail;
      },
      [] { return std::string("unknown"); });
  fs::remove(file);
  return said;
}

const std::string kProcess = R"([process]
name = "p"
failure_domain = "mixco"
platform = "127.0.0.1:7000"
)";

TEST_CASE("settings are checked as their program does") {
  CHECK(CheckText(kProcess) == "lapishatch-entry");
  CHECK(CheckText(kProcess + "[scheduler]\nfailure_domains = \"mixco\"\n") ==
        "lapishatch-scheduler");
  CHECK(CheckText("[ctl]\nentries = [\"127.0.0.1:7001\"]\n") ==
        "lapishatchctl");
}

TEST_CASE("a mistake in the settings is named") {
  CHECK(CheckText(kProcess + "threds = 3\n").find("process.threds") == 0);
  CHECK(CheckText(kProcess +
                  "[scheduler]\nfailure_domains = \"mixco\"\nlease_ms = 1\n")
            .find("scheduler.lease_ms") == 0);
  CHECK(CheckText("[ctl]\nentries = [\"here\"]\n").find("ctl.entries") == 0);
}

}  // namespace
}  // namespace lapishatch::ctl
