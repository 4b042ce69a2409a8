#ifndef LAPISHATCH_STANDINS_COMMON_BACKEND_FLEET_H_
#define LAPISHATCH_STANDINS_COMMON_BACKEND_FLEET_H_

#include <atomic>
#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/fault_request.h"
#include "common/gathered_stats.h"
#include "common/standin_program.h"
#include "http/http.h"

namespace lapishatch::standins {

/// The loopback endpoint of a port; 0 takes a free one.
inline http::Endpoint LoopbackPort(int port) {
  return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

/// The endpoint of the `i`-th server of several that begin at `first`; 0 takes
/// free ones.
inline http::Endpoint LoopbackPort(int first, int i) {
  return LoopbackPort(first == 0 ? 0 : first + i);
}

/// What the runners or the workers of one process are called outside.
struct FleetOptions {
  /// One of them, as in "runner"; several are this with an s.
  std::string kind;
  std::string failure_domain;
  int fault_port = 0;
};

/// A back end's part of its line in the VM list.
struct VmFields {
  std::string name;
  std::string rack;
  std::string service;
};

/// The runners or workers that one process plays, and their fault port:
/// `POST /faults`, `GET /stats`, `GET /vms`, and what `more` answers.
template <typename Server, typename Fault>
class BackendFleet {
 public:
  /// Answers a GET of the fault port that the fleet does not know.
  using More =
      std::function<std::optional<http::Response>(const http::Target&)>;

  BackendFleet(StandinProgram& program, FleetOptions options, More more = {})
      : program_(program),
        options_(std::move(options)),
        more_(std::move(more)),
        fault_server_(program.io(), LoopbackPort(options_.fault_port), {},
                      [this](const http::ExchangePtr& it) { Receive(it); }) {}

  void Add(std::unique_ptr<Server> server, VmFields fields) {
    members_.push_back({std::move(fields), std::move(server)});
  }

  /// Opens the fault port and prints all ports.
  void Start() {
    fault_server_.Start();
    for (const auto& it : members_) {
      StandinProgram::Announce("listening", it.server->endpoint());
    }
    StandinProgram::Announce("faults", fault_server_.endpoint());
  }

  /// Calls `leave(server, done)` for each; the program ends when all are done.
  template <typename LeaveOne>
  void Leave(LeaveOne leave) {
    auto left = std::make_shared<std::atomic<std::size_t>>(members_.size());
    for (const auto& it : members_) {
      leave(*it.server, [this, left] {
        if (left->fetch_sub(1) == 1) program_.Finish();
      });
    }
  }

 private:
  struct Member {
    VmFields fields;
    std::unique_ptr<Server> server;
  };

  void Receive(const http::ExchangePtr& exchange) {
    const auto& request = exchange->request();
    const auto target = http::ParseTarget(request.target);
    if (request.method == "POST" && target.path == "/faults") {
      return exchange->Respond(AnswerFaultRequest<Fault>(
          request.body, options_.kind,
          [this](Fault fault, const FaultRequest& it) {
            return Apply(fault, it);
          }));
    }
    if (request.method == "GET" && target.path == "/stats") {
      return AnswerStats(exchange);
    }
    exchange->Respond(AnswerOther(request.method, target));
  }

  http::Response AnswerOther(const std::string& method,
                             const http::Target& target) const {
    constexpr int kNotFound = 404;
    const bool is_get = method == "GET";
    if (is_get && target.path == "/vms") return JsonAnswer(VmLines());
    auto answer = is_get && more_ ? more_(target) : std::nullopt;
    if (answer) return *std::move(answer);
    return http::MakeProblem(kNotFound, "path", "No such resource",
                             "POST /faults, GET /stats, GET /vms and, of a "
                             "runner, GET /ran");
  }

  void AnswerStats(const http::ExchangePtr& exchange) const {
    std::vector<Server*> servers;
    for (const auto& it : members_) servers.push_back(it.server.get());
    AnswerGatheredStats(servers, options_.kind + "s", exchange);
  }

  bool Apply(Fault fault, const FaultRequest& request) {
    bool found = false;
    for (const auto& it : members_) {
      const bool meant =
          request.target.empty() || it.fields.name == request.target;
      if (!meant) continue;
      it.server->Apply(fault, request.time);
      found = true;
    }
    return found;
  }

  /// The lines that the platform's VM list has for these back ends.
  boost::json::value VmLines() const {
    boost::json::array lines;
    for (const auto& it : members_) {
      const auto endpoint = it.server->endpoint();
      lines.emplace_back(
          boost::json::object{{"name", it.fields.name},
                              {"kind", options_.kind},
                              {"state", "live"},
                              {"failure_domain", options_.failure_domain},
                              {"address", endpoint.address},
                              {"port", endpoint.port},
                              {"rack", it.fields.rack},
                              {"service", it.fields.service}});
    }
    return boost::json::object{{"vms", std::move(lines)}};
  }

  StandinProgram& program_;
  FleetOptions options_;
  More more_;
  http::Server fault_server_;
  std::vector<Member> members_;
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_COMMON_BACKEND_FLEET_H_
