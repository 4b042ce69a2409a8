#include "ctl/ctl_settings.h"

namespace lapishatch::ctl {
namespace {

constexpr std::size_t kMostEntries = 64;

}  // namespace

config::Section Describe(CtlSettings& settings) {
  config::Section section("ctl", "What lapishatchctl uses.");
  section.Endpoints("entries", settings.entries, kMostEntries,
                    "The entries, in order.");
  return section;
}

}  // namespace lapishatch::ctl
