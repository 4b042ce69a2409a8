#ifndef LAPISHATCH_SCHEDULER_MAIN_SCHEDULER_SETTINGS_H_
#define LAPISHATCH_SCHEDULER_MAIN_SCHEDULER_SETTINGS_H_

#include <string>
#include <vector>

#include "config/config.h"
#include "scheduler/scheduler.h"
#include "scheduler_main/home_domain.h"

namespace lapishatch::scheduler_main {

/// What lapishatch-scheduler reads from its settings file besides [process] and
/// [http].
struct SchedulerSettings {
  /// Failure domains of the whole system, separated by commas; the same in
  /// every process, since it decides which cell takes a job that names none.
  std::string failure_domains;
  /// Lease times, poll times and limits of each cell's owner; the names of
  /// cell, process and endpoint are filled in later.
  scheduler::OwnerOptions owner;
  config::MirrorOptions mirror;
  config::WriterOptions writer;
  /// Longest time of one call to the platform.
  base::Duration platform_timeout{2'000};
  /// Between two readings of the platform's VM list.
  base::Duration vm_poll{2'000};
};

/// The sections [scheduler] and [platform].
config::Section DescribeScheduler(SchedulerSettings& settings);
config::Section DescribePlatform(SchedulerSettings& settings);

/// The failure domains of a comma-separated list, in order and without
/// repeats; names that are none are left out.
std::vector<base::DomainName> ParseDomains(const std::string& text);

}  // namespace lapishatch::scheduler_main

#endif  // LAPISHATCH_SCHEDULER_MAIN_SCHEDULER_SETTINGS_H_
