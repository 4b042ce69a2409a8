#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

#include "base/ids.h"
#include "base/log.h"

namespace lapishatch {
namespace {

constexpr const char* kSeedVariable = "LAPISHATCH_TEST_SEED";

/// If set, the log events of the code under test are printed.
constexpr const char* kLogVariable = "LAPISHATCH_TEST_LOG";

/// The seed of this program's draws: that of the environment if it is set, so
/// that a failure can be repeated, or another one in each run.
std::uint64_t SeedOfProgram() {
  const char* text = std::getenv(kSeedVariable);
  if (text == nullptr) return std::random_device{}();
  return std::strtoull(text, nullptr, 10);
}

/// Seeds the draws of each test anew, so that it has the same ones whichever
/// tests run before it, and prints the seed after a failure.
class SeedListener : public Catch::TestEventListenerBase {
 public:
  using TestEventListenerBase::TestEventListenerBase;

  void testRunStarting(const Catch::TestRunInfo& info) override {
    TestEventListenerBase::testRunStarting(info);
    if (std::getenv(kLogVariable) == nullptr) return;
    base::StartLog("test", base::Severity::kInfo);
  }

  void testCaseStarting(const Catch::TestCaseInfo& info) override {
    TestEventListenerBase::testCaseStarting(info);
    name_ = info.name;
  }

  /// Each combination of generated values runs the section of the test case.
  void sectionStarting(const Catch::SectionInfo& info) override {
    TestEventListenerBase::sectionStarting(info);
    if (info.name == name_) base::SeedUniqueText(seed_);
  }

  void testCaseEnded(const Catch::TestCaseStats& stats) override {
    TestEventListenerBase::testCaseEnded(stats);
    if (stats.totals.assertions.failed == 0) return;
    std::cout << "failed with " << kSeedVariable << '=' << seed_ << ": "
              << name_ << std::endl;
  }

 private:
  const std::uint64_t seed_ = SeedOfProgram();
  std::string name_;
};

}  // namespace

CATCH_REGISTER_LISTENER(SeedListener)

}  // namespace lapishatch
