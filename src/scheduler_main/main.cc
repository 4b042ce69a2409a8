#include <algorithm>
#include <boost/system/system_error.hpp>
#include <iostream>

#include "config/config.h"
#include "scheduler_main/scheduler_process.h"
#include "scheduler_main/scheduler_settings.h"

namespace lapishatch::scheduler_main {
namespace {

/// What one section cannot say by itself; empty when all is well.
std::string ProblemOf(const config::ProcessSettings& process,
                      const SchedulerSettings& settings) {
  const auto domains = ParseDomains(settings.failure_domains);
  const bool listed = std::find(domains.begin(), domains.end(),
                                process.failure_domain) != domains.end();
  if (!listed) {
    return "scheduler.failure_domains must contain process.failure_domain, " +
           process.failure_domain.str();
  }
  const auto& lease = settings.owner.lease;
  if (lease.renew_interval * 2 > lease.duration) {
    return "scheduler.lease_renew_ms must be at most half of lease_ms";
  }
  if (lease.unresponsive_after <= lease.renew_interval) {
    return "scheduler.silent_after_ms must be above lease_renew_ms";
  }
  if (lease.early_acquire_pause > lease.early_acquire_pause_limit) {
    return "scheduler.hint_pause_ms must be at most hint_pause_limit_ms";
  }
  return {};
}

int Serve(config::Program& program, const SchedulerSettings& settings) {
  SchedulerProcess process(program, settings);
  std::cout << "listening " << http::TextOf(process.http_endpoint()) << '\n'
            << "peers " << http::TextOf(process.peer_endpoint()) << std::endl;
  program.OnPlannedStop(
      [&] { process.Stop([&program] { program.Finish(); }); });
  process.Start();
  return program.Run();
}

int Main(int argc, const char* const* argv) {
  config::Program program({"lapishatch-scheduler",
                           "owns cells and runs the gangs in them",
                           LAPISHATCH_VERSION});
  SchedulerSettings settings;
  program.settings()
      .Add(DescribeScheduler(settings))
      .Add(DescribePlatform(settings))
      .Add(config::Describe(settings.mirror))
      .Add(config::Describe(settings.writer));
  if (const auto code = program.Start(argc, argv)) return *code;
  const auto problem = ProblemOf(program.process(), settings);
  if (!problem.empty()) {
    std::cerr << "lapishatch-scheduler: " << problem << '\n';
    return config::kExitBadUsage;
  }
  try {
    return Serve(program, settings);
  } catch (const boost::system::system_error& error) {
    std::cerr << "lapishatch-scheduler: " << error.what() << '\n';
    return config::kExitFailed;
  }
}

}  // namespace
}  // namespace lapishatch::scheduler_main

int main(int argc, char** argv) {
  return lapishatch::scheduler_main::Main(argc, argv);
}
