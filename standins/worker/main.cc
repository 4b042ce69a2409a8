#include <absl/flags/flag.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/common.h"
#include "config/config.h"
#include "worker/worker.h"

ABSL_FLAG(int, workers, 1, "How many workers this process plays.");
ABSL_FLAG(int, port, 0,
          "Port of the first worker, the others follow; 0 takes free ones.");
ABSL_FLAG(int, fault_port, 0,
          "Port for faults and figures; 0 takes a free one.");
ABSL_FLAG(std::string, name, "worker",
          "Names are this and a number from 0, as in worker-0.");
ABSL_FLAG(std::string, failure_domain, "hall", "Failure domain, for /vms.");
ABSL_FLAG(std::string, rack, "rack",
          "Racks are this and a number from 0, as in rack-0.");
ABSL_FLAG(int, workers_per_rack, 8, "Workers in one rack.");
ABSL_FLAG(int, accelerators, 8, "Accelerators of a worker, at most 64.");
ABSL_FLAG(int, cores, 64, "Cores of a worker.");
ABSL_FLAG(int, memory_mb, 262'144, "Memory of a worker.");
ABSL_FLAG(int, usage_lag_ms, 2'000, "How far reported usage is behind.");
ABSL_FLAG(int, checkpoint_ms, 500, "How long a checkpoint takes.");
ABSL_FLAG(int, run_ms, 60'000, "Run time of a task whose payload names none.");
ABSL_FLAG(int, leave_ms, 10'000,
          "On SIGTERM, how long running tasks may still run.");
ABSL_FLAG(int, threads, 1, "Threads that serve.");
ABSL_FLAG(std::string, platform, "",
          "IP:port of the object store for checkpoints; empty keeps them in "
          "memory, for the workers of this process alone.");

namespace lapishatch::standins {
namespace {

WorkerModelOptions OptionsOf(int i) {
  WorkerModelOptions out;
  const auto number = std::to_string(i);
  const auto per_rack = std::max(absl::GetFlag(FLAGS_workers_per_rack), 1);
  out.name = base::WorkerName(absl::GetFlag(FLAGS_name) + "-" + number);
  out.rack = base::RackName(absl::GetFlag(FLAGS_rack) + "-" +
                            std::to_string(i / per_rack));
  out.accelerators = absl::GetFlag(FLAGS_accelerators);
  out.cores = absl::GetFlag(FLAGS_cores);
  out.memory_mb = absl::GetFlag(FLAGS_memory_mb);
  out.usage_lag = base::Duration(absl::GetFlag(FLAGS_usage_lag_ms));
  out.checkpoint_time = base::Duration(absl::GetFlag(FLAGS_checkpoint_ms));
  out.default_run_time = base::Duration(absl::GetFlag(FLAGS_run_ms));
  out.external_checkpoints = true;
  return out;
}

using Fleet = BackendFleet<WorkerServer, WorkerFault>;

FleetOptions OptionsOfFleet() {
  return {"worker", absl::GetFlag(FLAGS_failure_domain),
          absl::GetFlag(FLAGS_fault_port)};
}

void AddWorkers(StandinProgram& program, store::ObjectStore& objects,
                Fleet& fleet) {
  for (int i = 0; i < absl::GetFlag(FLAGS_workers); ++i) {
    const auto options = OptionsOf(i);
    fleet.Add(std::make_unique<WorkerServer>(
                  program.io(), LoopbackPort(absl::GetFlag(FLAGS_port), i),
                  options, objects),
              {options.name.str(), options.rack.str(), ""});
  }
}

void LeaveOne(WorkerServer& server, std::function<void()> done) {
  server.Leave(base::Duration(absl::GetFlag(FLAGS_leave_ms)), std::move(done));
}

/// Where checkpoints go: the platform's object store, or memory.
std::unique_ptr<store::ObjectStore> MakeObjects(
    http::Client& client, const std::optional<http::Endpoint>& platform) {
  if (!platform) return std::make_unique<MemoryObjectStore>();
  store::HttpPlatformOptions options;
  options.endpoint = *platform;
  return store::MakeHttpObjectStore(client, options);
}

int Main(int argc, const char* const* argv) {
  StandinProgram program("standin-worker",
                         "plays workers of the platform, for tests",
                         LAPISHATCH_VERSION);
  if (const auto code = program.ParseFlags(argc, argv)) return *code;
  const auto platform = absl::GetFlag(FLAGS_platform);
  const auto endpoint = config::ParseEndpoint(platform);
  if (!platform.empty() && !endpoint) {
    std::cerr << "standin-worker: --platform must be IP:port\n";
    return config::kExitBadUsage;
  }
  http::Client client(program.io(), http::ClientLimits{});
  const auto objects = MakeObjects(client, endpoint);
  Fleet fleet(program, OptionsOfFleet());
  AddWorkers(program, *objects, fleet);
  fleet.Start();
  return program.Run(absl::GetFlag(FLAGS_threads),
                     [&] { fleet.Leave(LeaveOne); });
}

}  // namespace
}  // namespace lapishatch::standins

int main(int argc, char** argv) {
  return lapishatch::standins::Main(argc, argv);
}
