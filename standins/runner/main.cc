#include <absl/flags/flag.h>

#include <atomic>
#include <boost/json.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

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

namespace json = boost::json;

constexpr int kNotFound = 404;
const char* const kAddress = "127.0.0.1";

RunnerModelOptions OptionsOf(int i) {
  RunnerModelOptions out;
  out.name = absl::GetFlag(FLAGS_name) + "-" + std::to_string(i);
  out.service = base::ServiceName(absl::GetFlag(FLAGS_service));
  out.slots = absl::GetFlag(FLAGS_slots);
  out.max_waiting = absl::GetFlag(FLAGS_max_waiting);
  out.service_time = base::Duration(absl::GetFlag(FLAGS_service_ms));
  return out;
}

/// All runners of the process and their fault port.
class Runners {
 public:
  explicit Runners(StandinProgram& program)
      : program_(program),
        log_(static_cast<std::size_t>(absl::GetFlag(FLAGS_ran_limit))) {
    const int port = absl::GetFlag(FLAGS_port);
    const auto connections =
        static_cast<std::size_t>(absl::GetFlag(FLAGS_connections));
    for (int i = 0; i < absl::GetFlag(FLAGS_runners); ++i) {
      const int own = port == 0 ? 0 : port + i;
      const http::Endpoint endpoint{kAddress, static_cast<std::uint16_t>(own)};
      runners_.push_back(std::make_unique<RunnerServer>(
          program.io(), endpoint, OptionsOf(i), connections, log_));
    }
    const http::Endpoint fault_endpoint{
        kAddress, static_cast<std::uint16_t>(absl::GetFlag(FLAGS_fault_port))};
    fault_server_ = std::make_unique<http::Server>(
        program.io(), fault_endpoint, http::ServerLimits{},
        [this](const http::ExchangePtr& exchange) { Receive(exchange); });
    fault_server_->Start();
  }

  void Announce() const {
    for (const auto& it : runners_) {
      StandinProgram::Announce("listening", it->endpoint());
    }
    StandinProgram::Announce("faults", fault_server_->endpoint());
  }

  void Leave() {
    auto left = std::make_shared<std::atomic<std::size_t>>(runners_.size());
    for (const auto& it : runners_) {
      it->Leave([this, left] {
        if (left->fetch_sub(1) == 1) program_.Finish();
      });
    }
  }

 private:
  void Receive(const http::ExchangePtr& exchange) {
    const auto& request = exchange->request();
    const auto target = http::ParseTarget(request.target);
    if (request.method == "POST" && target.path == "/faults") {
      exchange->Respond(AnswerFaultRequest<RunnerFault>(
          request.body, "runner",
          [this](RunnerFault fault, const FaultRequest& it) {
            return Apply(fault, it);
          }));
    } else if (request.method == "GET" && target.path == "/ran") {
      exchange->Respond(JsonAnswer(Ran(target)));
    } else if (request.method == "GET" && target.path == "/stats") {
      AnswerGatheredStats(runners_, "runners", exchange);
    } else if (request.method == "GET" && target.path == "/vms") {
      exchange->Respond(JsonAnswer(VmLines()));
    } else {
      exchange->Respond(
          http::MakeProblem(kNotFound, "path", "No such resource",
                            "POST /faults, GET /ran, GET /stats or GET /vms"));
    }
  }

  bool Apply(RunnerFault fault, const FaultRequest& request) {
    bool found = false;
    for (const auto& it : runners_) {
      const bool meant =
          request.target.empty() || it->options().name == request.target;
      if (!meant) continue;
      it->Apply(fault, request.time);
      found = true;
    }
    return found;
  }

  /// All counts, or the count of one body with ?body=.
  json::value Ran(const http::Target& target) const {
    const std::string body(target.Query("body"));
    if (body.empty()) return log_.ToJson();
    return json::object{{"body", body}, {"runs", log_.RunsOfBody(body)}};
  }

  /// The lines that the platform's VM list has for these runners.
  json::value VmLines() const {
    json::array lines;
    for (const auto& it : runners_) {
      const auto endpoint = it->endpoint();
      lines.emplace_back(
          json::object{{"name", it->options().name},
                       {"kind", "runner"},
                       {"state", "live"},
                       {"failure_domain", absl::GetFlag(FLAGS_failure_domain)},
                       {"address", endpoint.address},
                       {"port", endpoint.port},
                       {"rack", ""},
                       {"service", it->options().service.str()}});
    }
    return json::object{{"vms", std::move(lines)}};
  }

  StandinProgram& program_;
  RunLog log_;
  std::vector<std::unique_ptr<RunnerServer>> runners_;
  std::unique_ptr<http::Server> fault_server_;
};

int Main(int argc, const char* const* argv) {
  StandinProgram program("standin-runner",
                         "plays runners of the platform, for tests",
                         LAPISHATCH_VERSION);
  if (const auto code = program.ParseFlags(argc, argv)) return *code;
  Runners runners(program);
  runners.Announce();
  return program.Run(absl::GetFlag(FLAGS_threads), [&] { runners.Leave(); });
}

}  // namespace
}  // namespace lapishatch::standins

int main(int argc, char** argv) {
  return lapishatch::standins::Main(argc, argv);
}
