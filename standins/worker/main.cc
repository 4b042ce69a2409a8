#include <absl/flags/flag.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

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

namespace json = boost::json;

constexpr int kNotFound = 404;
const char* const kAddress = "127.0.0.1";

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

/// All workers of the process and their fault port.
class Workers {
 public:
  Workers(StandinProgram& program, store::ObjectStore& objects)
      : program_(program) {
    const int port = absl::GetFlag(FLAGS_port);
    for (int i = 0; i < absl::GetFlag(FLAGS_workers); ++i) {
      const int own = port == 0 ? 0 : port + i;
      const http::Endpoint endpoint{kAddress, static_cast<std::uint16_t>(own)};
      auto options = OptionsOf(i);
      racks_.push_back(options.rack);
      workers_.push_back(std::make_unique<WorkerServer>(
          program.io(), endpoint, std::move(options), objects));
    }
    const http::Endpoint fault_endpoint{
        kAddress, static_cast<std::uint16_t>(absl::GetFlag(FLAGS_fault_port))};
    fault_server_ = std::make_unique<http::Server>(
        program.io(), fault_endpoint, http::ServerLimits{},
        [this](const http::ExchangePtr& exchange) { Receive(exchange); });
    fault_server_->Start();
  }

  void Announce() const {
    for (const auto& it : workers_) {
      StandinProgram::Announce("listening", it->endpoint());
    }
    StandinProgram::Announce("faults", fault_server_->endpoint());
  }

  void Leave() {
    const base::Duration limit(absl::GetFlag(FLAGS_leave_ms));
    auto left = std::make_shared<std::atomic<std::size_t>>(workers_.size());
    for (const auto& it : workers_) {
      it->Leave(limit, [this, left] {
        if (left->fetch_sub(1) == 1) program_.Finish();
      });
    }
  }

 private:
  void Receive(const http::ExchangePtr& exchange) {
    const auto& request = exchange->request();
    const auto target = http::ParseTarget(request.target);
    if (request.method == "POST" && target.path == "/faults") {
      exchange->Respond(AnswerFaultRequest<WorkerFault>(
          request.body, "worker",
          [this](WorkerFault fault, const FaultRequest& it) {
            return Apply(fault, it);
          }));
    } else if (request.method == "GET" && target.path == "/stats") {
      AnswerGatheredStats(workers_, "workers", exchange);
    } else if (request.method == "GET" && target.path == "/vms") {
      exchange->Respond(JsonAnswer(VmLines()));
    } else {
      exchange->Respond(
          http::MakeProblem(kNotFound, "path", "No such resource",
                            "POST /faults, GET /stats or GET /vms"));
    }
  }

  bool Apply(WorkerFault fault, const FaultRequest& request) {
    bool found = false;
    for (const auto& it : workers_) {
      const bool meant =
          request.target.empty() || it->name().str() == request.target;
      if (!meant) continue;
      it->Apply(fault, request.time);
      found = true;
    }
    return found;
  }

  /// The lines that the platform's VM list has for these workers.
  json::value VmLines() const {
    json::array lines;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      const auto endpoint = workers_[i]->endpoint();
      lines.emplace_back(
          json::object{{"name", workers_[i]->name().str()},
                       {"kind", "worker"},
                       {"state", "live"},
                       {"failure_domain", absl::GetFlag(FLAGS_failure_domain)},
                       {"address", endpoint.address},
                       {"port", endpoint.port},
                       {"rack", racks_[i].str()},
                       {"service", ""}});
    }
    return json::object{{"vms", std::move(lines)}};
  }

  StandinProgram& program_;
  std::vector<base::RackName> racks_;
  std::vector<std::unique_ptr<WorkerServer>> workers_;
  std::unique_ptr<http::Server> fault_server_;
};

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
  Workers workers(program, *objects);
  workers.Announce();
  return program.Run(absl::GetFlag(FLAGS_threads), [&] { workers.Leave(); });
}

}  // namespace
}  // namespace lapishatch::standins

int main(int argc, char** argv) {
  return lapishatch::standins::Main(argc, argv);
}
