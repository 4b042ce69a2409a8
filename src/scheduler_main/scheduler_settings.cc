#include "scheduler_main/scheduler_settings.h"

#include <algorithm>
#include <sstream>

namespace lapishatch::scheduler_main {
namespace {

constexpr std::size_t kMostDomainsText = 4'096;
constexpr std::int64_t kHourMs = 3'600'000;

std::string Trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(' ');
  if (first == std::string::npos) return {};
  return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

}  // namespace

config::Section DescribeScheduler(SchedulerSettings& settings) {
  auto& owner = settings.owner;
  config::Section section("scheduler", "How cells are owned and run.");
  section.Text("failure_domains", settings.failure_domains, kMostDomainsText,
               "Failure domains of the whole system, separated by commas; the "
               "same in every process.",
               config::Presence::kRequired);
  section.Millis("lease_ms", owner.lease.duration, 100, kHourMs,
                 "A cell's row unchanged for this long has no live owner.");
  section.Millis("lease_margin_ms", owner.lease.clock_drift_margin, 10, kHourMs,
                 "Added by candidates, for clocks of different rates.");
  section.Millis("lease_renew_ms", owner.lease.renew_interval, 10, kHourMs,
                 "Between the owner's renewals.");
  section.Millis("lease_read_ms", owner.lease.read_interval, 10, kHourMs,
                 "Between a candidate's reads.");
  section.Millis("doubt_read_ms", owner.lease.suspect_read_interval, 10,
                 kHourMs,
                 "Between a candidate's reads while the group doubts the "
                 "owner.");
  section.Millis("silent_after_ms", owner.lease.unresponsive_after, 10, kHourMs,
                 "An owner that counts as dead in the group and does not "
                 "answer is replaced when its row has not changed for this "
                 "long; above lease_renew_ms.");
  section.Millis("hint_pause_ms", owner.lease.early_acquire_pause, 10, kHourMs,
                 "After an owner was replaced, only a lapsed lease replaces "
                 "the next one for so long; doubled each time.");
  section.Millis("hint_pause_limit_ms", owner.lease.early_acquire_pause_limit,
                 10, kHourMs, "The longest such pause.");
  section.Millis("reservation_ms", owner.reservation, 10, kHourMs,
                 "A reservation lapses after this unless started.");
  section.Millis("start_lease_ms", owner.start_lease, 10, kHourMs,
                 "Lease of a started task until its whole gang is confirmed; "
                 "the longest time for which a part of a gang runs alone.");
  section.Millis("running_lease_ms", owner.running_lease, 100, 24 * kHourMs,
                 "Lease of a confirmed task; longer than a failover.");
  section.Millis("outage_lease_ms", owner.outage_lease, 100, 24 * kHourMs,
                 "The same while the table is out.");
  section.Millis("poll_wait_ms", owner.poll_wait, 10, kHourMs,
                 "How long a worker may hold back a report without news.");
  section.Millis("poll_retry_ms", owner.poll_retry, 10, kHourMs,
                 "Pause after a failed report.");
  section.Millis("lost_after_ms", owner.lost_after, 10, kHourMs,
                 "A worker not reached for this long counts as lost.");
  section.Millis("recovery_window_ms", owner.recovery_window, 10, kHourMs,
                 "How long a new owner waits for its workers' reports before "
                 "it places anything.");
  section.Millis("throttle_grace_ms", owner.throttle_grace, 10, kHourMs,
                 "Time for an overfull worker to come down before work is "
                 "moved away.");
  section.Integer("max_attempts", owner.max_attempts, 1, 1'000,
                  "Attempts of an idempotent job.");
  return section;
}

config::Section DescribePlatform(SchedulerSettings& settings) {
  config::Section section("platform", "Calls to the platform's services.");
  section.Millis("timeout_ms", settings.platform_timeout, 10, 600'000,
                 "Longest time of one call.");
  section.Millis("vm_poll_ms", settings.vm_poll, 10, 600'000,
                 "Between two readings of the VM list.");
  return section;
}

std::vector<base::DomainName> ParseDomains(const std::string& text) {
  std::vector<base::DomainName> out;
  std::istringstream in(text);
  for (std::string item; std::getline(in, item, ',');) {
    base::DomainName domain(Trimmed(item));
    if (!config::IsName(domain.str())) continue;
    if (std::find(out.begin(), out.end(), domain) != out.end()) continue;
    out.push_back(std::move(domain));
  }
  return out;
}

}  // namespace lapishatch::scheduler_main
