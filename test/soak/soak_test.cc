#include "soak/soak.h"

#include <stdlib.h>

#include <catch2/catch.hpp>
#include <filesystem>

namespace lapishatch::soak {
namespace {

/// A folder for one run's settings and logs, removed at the end.
class Folder {
 public:
  Folder() {
    auto name =
        (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr) path_ = name;
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

SoakReport Play(const std::string& program, std::uint64_t seed, int seconds) {
  const Folder folder;
  SoakOptions options;
  options.program = program;
  options.folder = folder.path();
  options.seed = seed;
  options.length = base::Duration(seconds * 1'000);
  return PlaySoak(options);
}

const std::string kProgram =
    std::string(LAPISHATCH_BINARY_DIR) + "/bin/lapishatch-site";

TEST_CASE("a short run of real processes under faults keeps every promise") {
  for (const std::uint64_t seed : {1, 2}) {
    const auto report = Play(kProgram, seed, 8);
    for (const auto& it : report.broken) UNSCOPED_INFO(it);
    CHECK(report.broken.empty());
    CHECK(report.accepted > 10);
    CHECK(report.faults > 5);
  }
}

TEST_CASE("a program that serves nothing does not pass") {
  const auto report = Play("/bin/false", 1, 1);
  CHECK_FALSE(report.broken.empty());
}

}  // namespace
}  // namespace lapishatch::soak
