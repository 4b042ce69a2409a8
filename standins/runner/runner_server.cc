#include "runner/runner_server.h"

#include <unordered_map>
#include <utility>
#include <vector>

#include "backends/backends.h"
#include "common/common.h"

namespace lapishatch::standins {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr int kBadRequest = 400;
constexpr int kServerError = 500;

constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;

http::ServerLimits Limits(std::size_t max_connections) {
  http::ServerLimits out;
  out.max_connections = max_connections;
  out.max_body_bytes = kMaxBodyBytes;
  return out;
}

}  // namespace

class RunnerServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, const http::Endpoint& endpoint,
       RunnerModelOptions options, std::size_t max_connections, RunLog& log)
      : loop_(base::MakeAsioEventLoop(io)),
        server_(io, *loop_, endpoint, Limits(max_connections),
                [this](const http::ExchangePtr& it) { Receive(it); }),
        model_(std::move(options)),
        log_(log) {}

  /// Binds and begins to serve.
  void Open() { server_.Open(); }

  const http::Endpoint& endpoint() const { return server_.endpoint(); }
  const RunnerModelOptions& options() const { return model_.options(); }

  /// Runs `task` on the loop while the runner is there.
  template <typename Task>
  void Post(Task task) {
    loop_->Post([weak = weak_from_this(), task = std::move(task)] {
      if (const auto self = weak.lock()) task(*self);
    });
  }

  void Apply(RunnerFault fault, base::Duration time) {
    if (fault == RunnerFault::kNone) {
      EndFaults();
      return;
    }
    if (fault == RunnerFault::kReset) {
      Crash();
      server_.Revive();
      return;
    }
    if (fault == RunnerFault::kKill) {
      Crash();
    } else if (fault == RunnerFault::kSlow) {
      delay_ = time;
    } else if (fault == RunnerFault::kLeave) {
      model_.SetLeaving(true);
    } else {
      fault_ = fault;
    }
    if (fault == RunnerFault::kSlow || time.count() == 0) return;
    loop_->Cancel(fault_timer_);
    fault_timer_ = After(time, [](Impl& self) { self.EndFaults(); });
  }

  json::object Stats() const {
    const auto load = model_.load();
    return {{"runner", options().name}, {"port", endpoint().port},
            {"requests", requests_},    {"refused", refused_},
            {"pings", pings_},          {"busy", load.busy_slots},
            {"waiting", load.waiting},  {"most_at_once", most_at_once_}};
  }

  void Leave(std::function<void()> done) {
    model_.SetLeaving(true);
    held_.clear();
    server_.Drain(std::move(done));
  }

  /// Lets go of what would keep its connections.
  void Close() {
    held_.clear();
    work_.clear();
  }

 private:
  struct Work {
    http::ExchangePtr exchange;
    backends::RunnerRequest request;
    RequestBehaviour behaviour;
  };

  template <typename Task>
  base::TimerId After(base::Duration delay, Task task) {
    return loop_->After(delay,
                        [weak = weak_from_this(), task = std::move(task)] {
                          if (const auto self = weak.lock()) task(*self);
                        });
  }

  void Receive(const http::ExchangePtr& exchange) {
    if (fault_ == RunnerFault::kSilent) {
      held_.push_back(exchange);
      return;
    }
    if (exchange->request().target == backends::kPingPath) {
      ++pings_;
      exchange->Respond(backends::EncodePingResponse(model_.load()));
      return;
    }
    const auto refusal = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<http::Response>> {
          BOOST_LEAF_AUTO(request,
                          backends::DecodeRunnerRequest(exchange->request()));
          Take(exchange, std::move(request));
          return std::optional<http::Response>();
        },
        [](const backends::CodecError& error) {
          return std::optional(http::MakeProblem(kBadRequest, "malformed",
                                                 "Malformed request",
                                                 backends::TextOf(error)));
        },
        [] {
          return std::optional(http::MakeProblem(kBadRequest, "malformed",
                                                 "Malformed request", ""));
        });
    if (refusal) exchange->Respond(*refusal);
  }

  void Take(const http::ExchangePtr& exchange,
            backends::RunnerRequest request) {
    ++requests_;
    if (request.service != options().service) {
      Refuse(exchange, request.id, "not its service");
      return;
    }
    if (fault_ == RunnerFault::kCrashBefore) {
      held_.push_back(exchange);
      Crash();
      return;
    }
    if (fault_ == RunnerFault::kFailFast) {
      log_.Add(request);
      Answer(exchange, request.id,
             {kServerError, "text/plain", "broken\n", {}});
      return;
    }
    Run(exchange, std::move(request));
  }

  void Run(const http::ExchangePtr& exchange, backends::RunnerRequest request) {
    const auto behaviour =
        BehaviourOfBody(request.body, options().service_time);
    const auto now = loop_->Now();
    // Slots that are free by now come first, so that none seems taken.
    Finish(model_.Advance(now));
    if (!server_.is_open()) return;
    std::optional<WorkId> id;
    if (fault_ != RunnerFault::kRefuse) {
      id = model_.Accept(behaviour.service_time + delay_, now);
    }
    if (!id) {
      Refuse(exchange, request.id,
             model_.load().leaving ? "leaving" : "no slot");
      return;
    }
    most_at_once_ = std::max(most_at_once_, model_.load().busy_slots);
    work_.emplace(*id, Work{exchange, std::move(request), behaviour});
    Step();
  }

  void Refuse(const http::ExchangePtr& exchange, const base::RequestId& id,
              std::string reason) {
    ++refused_;
    exchange->Respond(
        backends::EncodeRunnerRefusal(id, {std::move(reason), model_.load()}));
  }

  /// Ends the work that is due and sets the timer for the next.
  void Step() {
    const auto now = loop_->Now();
    Finish(model_.Advance(now));
    if (!server_.is_open()) return;
    loop_->Cancel(step_timer_);
    const auto next = model_.NextChange();
    if (!next) return;
    step_timer_ = After(std::max(*next - now, base::Duration(0)),
                        [](Impl& self) { self.Step(); });
  }

  void Finish(const std::vector<WorkId>& ended) {
    LogStarted();
    for (const auto id : ended) {
      const auto it = work_.find(id);
      if (it == work_.end()) continue;
      auto work = std::move(it->second);
      work_.erase(it);
      if (fault_ == RunnerFault::kCrashAfter) {
        held_.push_back(work.exchange);
        Crash();
        return;
      }
      backends::RunnerResponse answer{work.behaviour.status,
                                      std::move(work.request.content_type),
                                      std::move(work.request.body),
                                      {}};
      if (work.behaviour.answer_bytes) {
        answer.body.assign(*work.behaviour.answer_bytes, 'x');
      }
      Answer(work.exchange, work.request.id, std::move(answer));
    }
  }

  void LogStarted() {
    for (const auto id : model_.TakeStarted()) {
      const auto it = work_.find(id);
      if (it != work_.end()) log_.Add(it->second.request);
    }
  }

  void Answer(const http::ExchangePtr& exchange, const base::RequestId& id,
              backends::RunnerResponse answer) {
    if (fault_ == RunnerFault::kLoseAnswers) {
      held_.push_back(exchange);
      return;
    }
    answer.load = model_.load();
    exchange->Respond(backends::EncodeRunnerResponse(id, std::move(answer)));
  }

  /// Every connection breaks and all work is gone. The port stays closed until
  /// the fault ends.
  void Crash() {
    auto unanswered = std::exchange(held_, {});
    for (auto& [id, work] : std::exchange(work_, {})) {
      unanswered.push_back(std::move(work.exchange));
    }
    server_.Crash(std::move(unanswered));
    model_.Clear();
  }

  void EndFaults() {
    loop_->Cancel(fault_timer_);
    fault_ = RunnerFault::kNone;
    delay_ = base::Duration(0);
    model_.SetLeaving(false);
    held_.clear();
    server_.Revive();
  }

  std::unique_ptr<base::EventLoop> loop_;
  BackendServer server_;
  RunnerModel model_;
  RunLog& log_;
  std::unordered_map<WorkId, Work> work_;
  /// Requests that get no answer while a fault lasts.
  std::vector<http::ExchangePtr> held_;
  RunnerFault fault_ = RunnerFault::kNone;
  base::Duration delay_{0};
  base::TimerId step_timer_ = 0;
  base::TimerId fault_timer_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t pings_ = 0;
  int most_at_once_ = 0;
};

RunnerServer::RunnerServer(boost::asio::io_context& io,
                           const http::Endpoint& endpoint,
                           RunnerModelOptions options,
                           std::size_t max_connections, RunLog& log)
    : impl_(std::make_shared<Impl>(io, endpoint, std::move(options),
                                   max_connections, log)) {
  impl_->Open();
}

RunnerServer::~RunnerServer() { impl_->Close(); }

http::Endpoint RunnerServer::endpoint() const { return impl_->endpoint(); }

const RunnerModelOptions& RunnerServer::options() const {
  return impl_->options();
}

void RunnerServer::Apply(RunnerFault fault, base::Duration time) {
  impl_->Post([fault, time](Impl& self) { self.Apply(fault, time); });
}

void RunnerServer::Stats(std::function<void(json::object)> done) {
  impl_->Post([done = std::move(done)](Impl& self) { done(self.Stats()); });
}

void RunnerServer::Leave(std::function<void()> done) {
  impl_->Post([done = std::move(done)](Impl& self) { self.Leave(done); });
}

}  // namespace lapishatch::standins
