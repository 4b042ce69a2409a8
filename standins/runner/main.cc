#include <absl/flags/flag.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/common.h"
#include "config/config.h"
#include "runner/runner.h"

ABSL_FLAG(int, runners, 1, "How many runners this process plays.");
ABSL_FLAG(int, port, 0,
          "Port of the first runner, the others follow; 0 takes free ones.");
ABSL_FLAG(int, fault_port, 0,
          "Port for faults and figures; 0 takes a free one.");
ABSL_FLAG(std::string, name, "runner",
          "Names are this and a number from 0, as in runner-0.");
ABSL_FLAG(std::string, service, "align", "The service that they serve.");
ABSL_FLAG(std::string, failure_domain, "hall", "Failure domain, for /vms.");
ABSL_FLAG(int, slots, 8, "Requests that a runner works on at once.");
ABSL_FLAG(int, connections, 64, "Connections that a runner accepts.");
ABSL_FLAG(int, max_waiting, 56, "Requests that may wait for a slot.");
ABSL_FLAG(int, service_ms, 20, "Service time of a body that names none.");
ABSL_FLAG(int, ran_limit, 200'000,
          "Request ids and bodies that /ran counts one by one.");
ABSL_FLAG(int, threads, 1, "Threads that serve.");

namespace lapishatch::standins {
namespace {

RunnerModelOptions OptionsOf(int i) {
  RunnerModelOptions out;
  out.name = absl::GetFlag(FLAGS_name) + "-" + std::to_string(i);
  out.service = base::ServiceName(absl::GetFlag(FLAGS_service));
  out.slots = absl::GetFlag(FLAGS_slots);
  out.max_waiting = absl::GetFlag(FLAGS_max_waiting);
  out.service_time = base::Duration(absl::GetFlag(FLAGS_service_ms));
  return out;
}

using Fleet = BackendFleet<RunnerServer, RunnerFault>;

FleetOptions OptionsOfFleet() {
  return {"runner", absl::GetFlag(FLAGS_failure_domain),
          absl::GetFlag(FLAGS_fault_port)};
}

/// All counts, or the count of one body with ?body=.
std::optional<http::Response> AnswerRan(const RunLog& log,
                                        const http::Target& target) {
  if (target.path != "/ran") return std::nullopt;
  const std::string body(target.Query("body"));
  if (body.empty()) return JsonAnswer(log.ToJson());
  return JsonAnswer({{"body", body}, {"runs", log.RunsOfBody(body)}});
}

void AddRunners(StandinProgram& program, RunLog& log, Fleet& fleet) {
  const auto connections =
      static_cast<std::size_t>(absl::GetFlag(FLAGS_connections));
  for (int i = 0; i < absl::GetFlag(FLAGS_runners); ++i) {
    const auto options = OptionsOf(i);
    fleet.Add(std::make_unique<RunnerServer>(
                  program.io(), LoopbackPort(absl::GetFlag(FLAGS_port), i),
                  options, connections, log),
              {options.name, "", options.service.str()});
  }
}

void LeaveOne(RunnerServer& server, std::function<void()> done) {
  server.Leave(std::move(done));
}

int Main(int argc, const char* const* argv) {
  StandinProgram program("standin-runner",
                         "plays runners of the platform, for tests",
                         LAPISHATCH_VERSION);
  if (const auto code = program.ParseFlags(argc, argv)) return *code;
  RunLog log(static_cast<std::size_t>(absl::GetFlag(FLAGS_ran_limit)));
  Fleet fleet(program, OptionsOfFleet(), [&log](const http::Target& target) {
    return AnswerRan(log, target);
  });
  AddRunners(program, log, fleet);
  fleet.Start();
  return program.Run(absl::GetFlag(FLAGS_threads),
                     [&] { fleet.Leave(LeaveOne); });
}

}  // namespace
}  // namespace lapishatch::standins

int main(int argc, char** argv) {
  return lapishatch::standins::Main(argc, argv);
}
