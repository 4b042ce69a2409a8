#include "ctl/settings_check.h"

#include <toml++/toml.h>

#include "config/config.h"
#include "ctl/ctl_settings.h"
#include "entry/entry.h"
#include "scheduler_main/scheduler_settings.h"

namespace lapishatch::ctl {
namespace {

namespace leaf = boost::leaf;

/// By its sections; a file that cannot be read is an entry's, whose reader then
/// tells what is wrong with it.
SettingsOf GuessProgram(const std::string& file) {
  try {
    const auto table = toml::parse_file(file);
    if (table.contains("scheduler")) return SettingsOf::kScheduler;
    if (table.contains("ctl")) return SettingsOf::kCtl;
  } catch (const toml::parse_error&) {
    return SettingsOf::kEntry;
  }
  return SettingsOf::kEntry;
}

/// What every process that serves has.
struct CommonSettings {
  config::ProcessSettings process;
  http::ServerLimits limits;

  void AddTo(config::Settings& settings) {
    settings.Add(config::Describe(process)).Add(config::Describe(limits));
  }
};

leaf::result<void> CheckEntry(const std::string& file) {
  CommonSettings common;
  entry::EntryOptions options;
  config::Settings settings;
  common.AddTo(settings);
  entry::AddSections(options, settings);
  return settings.LoadFile(file);
}

leaf::result<void> CheckScheduler(const std::string& file) {
  CommonSettings common;
  scheduler_main::SchedulerSettings options;
  config::Settings settings;
  common.AddTo(settings);
  settings.Add(scheduler_main::DescribeScheduler(options))
      .Add(scheduler_main::DescribePlatform(options))
      .Add(config::Describe(options.mirror))
      .Add(config::Describe(options.writer));
  return settings.LoadFile(file);
}

leaf::result<void> CheckCtl(const std::string& file) {
  CtlSettings options;
  config::Settings settings;
  settings.Add(Describe(options));
  return settings.LoadFile(file);
}

}  // namespace

leaf::result<SettingsOf> CheckSettings(const std::string& file) {
  const auto program = GuessProgram(file);
  switch (program) {
    case SettingsOf::kEntry:
      BOOST_LEAF_CHECK(CheckEntry(file));
      break;
    case SettingsOf::kScheduler:
      BOOST_LEAF_CHECK(CheckScheduler(file));
      break;
    case SettingsOf::kCtl:
      BOOST_LEAF_CHECK(CheckCtl(file));
      break;
  }
  return program;
}

}  // namespace lapishatch::ctl
