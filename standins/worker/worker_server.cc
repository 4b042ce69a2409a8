#include "worker/worker_server.h"

#include <utility>
#include <vector>

#include "backends/backends.h"
#include "common/common.h"

namespace lapishatch::standins {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

/// Between two looks at whether a leaving worker's tasks have ended.
constexpr base::Duration kLeaveCheck{50};

/// Room for an order with a large gang's payloads.
constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;

http::ServerLimits Limits() {
  http::ServerLimits out;
  out.max_body_bytes = kMaxBodyBytes;
  return out;
}

std::string CheckpointText(base::Duration done) {
  return json::serialize(json::object{{"done_ms", done.count()}});
}

std::optional<base::Duration> ParseCheckpoint(const store::GetResult& result) {
  const auto* found = std::get_if<std::optional<std::string>>(&result);
  if (found == nullptr || !found->has_value()) return std::nullopt;
  json::error_code ec;
  const auto value = json::parse(**found, ec);
  if (ec || !value.is_object()) return std::nullopt;
  const auto* done = value.as_object().if_contains("done_ms");
  if (done == nullptr || !done->is_int64()) return std::nullopt;
  return base::Duration(done->as_int64());
}

http::Response Refusal(const backends::CodecError& error) {
  return http::MakeProblem(kBadRequest, "malformed", "Malformed request",
                           backends::TextOf(error));
}

http::Response NotUnderstood() {
  return Refusal(backends::CodecError{"", "not understood"});
}

}  // namespace

class WorkerServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, const http::Endpoint& endpoint,
       WorkerModelOptions options, store::ObjectStore& objects)
      : loop_(base::MakeAsioEventLoop(io)),
        server_(io, *loop_, endpoint, Limits(),
                [this](const http::ExchangePtr& it) { Receive(it); }),
        name_(options.name),
        model_(std::move(options)),
        objects_(objects) {}

  /// Binds and begins to serve.
  void Open() { server_.Open(); }

  const http::Endpoint& endpoint() const { return server_.endpoint(); }
  const base::WorkerName& name() const { return name_; }

  /// Runs `task` on the loop while the worker is there.
  template <typename Task>
  void Post(Task task) {
    loop_->Post([weak = weak_from_this(), task = std::move(task)] {
      if (const auto self = weak.lock()) task(*self);
    });
  }

  void Apply(WorkerFault fault, base::Duration time) {
    if (fault == WorkerFault::kNone) {
      EndFaults();
      return;
    }
    if (fault == WorkerFault::kRestart) {
      Kill();
      server_.Revive();
      return;
    }
    if (fault == WorkerFault::kKill) Kill();
    if (fault == WorkerFault::kPause) Pause();
    if (fault == WorkerFault::kRefuseStarts) model_.SetRefusesStarts(true);
    if (fault == WorkerFault::kLoseAnswers) loses_answers_ = true;
    if (fault == WorkerFault::kSilent) silent_ = true;
    if (fault == WorkerFault::kSlow) delay_ = time;
    if (fault == WorkerFault::kLeave) SetLeaving(true);
    if (fault == WorkerFault::kSlow || time.count() == 0) return;
    loop_->Cancel(fault_timer_);
    fault_timer_ = After(time, [](Impl& self) { self.EndFaults(); });
  }

  json::object Stats() {
    model_.Advance(loop_->Now());
    json::array running;
    for (const auto& task : model_.Running()) {
      running.emplace_back(
          json::object{{"job", task.key.job.str()},
                       {"attempt", task.key.attempt.str()},
                       {"task", task.key.task},
                       {"ran_ms", (loop_->Now() - task.began).count()}});
    }
    json::object starts;
    for (const auto& [job, n] : model_.starts()) starts[job.str()] = n;
    return {{"worker", name_.str()},
            {"port", endpoint().port},
            {"incarnation", model_.incarnation().str()},
            {"epoch_seen", model_.epoch_seen()},
            {"sequence", model_.sequence()},
            {"orders", orders_},
            {"reports", reports_},
            {"running", std::move(running)},
            {"starts", std::move(starts)}};
  }

  void Leave(base::Duration limit, std::function<void()> done) {
    SetLeaving(true);
    AwaitTasks(loop_->Now() + limit, std::move(done));
  }

  /// Lets go of what would keep its connections.
  void Close() {
    held_.clear();
    polls_.clear();
  }

 private:
  struct Poll {
    http::ExchangePtr exchange;
    backends::ReportQuery query;
    base::TimePoint until;
  };

  template <typename Task>
  base::TimerId After(base::Duration delay, Task task) {
    return loop_->After(delay,
                        [weak = weak_from_this(), task = std::move(task)] {
                          if (const auto self = weak.lock()) task(*self);
                        });
  }

  void Receive(const http::ExchangePtr& exchange) {
    if (paused_at_ || silent_) {
      held_.push_back(exchange);
      return;
    }
    if (delay_.count() == 0) {
      Handle(exchange);
      return;
    }
    After(delay_, [exchange](Impl& self) { self.Handle(exchange); });
  }

  void Handle(const http::ExchangePtr& exchange) {
    const auto& request = exchange->request();
    const auto target = http::ParseTarget(request.target);
    if (request.method == "POST" && target.path == backends::kOrdersPath) {
      HandleOrder(exchange);
    } else if (request.method == "GET" &&
               target.path == backends::kReportPath) {
      HandleReport(exchange, target);
    } else {
      exchange->Respond(http::MakeProblem(kNotFound, "path", "No such resource",
                                          target.path));
    }
    Step();
  }

  void HandleOrder(const http::ExchangePtr& exchange) {
    ++orders_;
    Answer(exchange,
           leaf::try_handle_all(
               [&]() -> leaf::result<http::Response> {
                 BOOST_LEAF_AUTO(
                     order, backends::DecodeOrder(exchange->request().body));
                 return backends::EncodeOrderResponse(
                     model_.Handle(order, loop_->Now()));
               },
               [](const backends::CodecError& error) { return Refusal(error); },
               [] { return NotUnderstood(); }));
  }

  void HandleReport(const http::ExchangePtr& exchange,
                    const http::Target& target) {
    ++reports_;
    const auto refusal = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<http::Response>> {
          BOOST_LEAF_AUTO(query, backends::DecodeReportQuery(target));
          const auto now = loop_->Now();
          model_.Note(query, now);
          polls_.push_back({exchange, query, now + query.wait});
          return std::optional<http::Response>();
        },
        [](const backends::CodecError& error) {
          return std::optional(Refusal(error));
        },
        [] { return std::optional(NotUnderstood()); });
    if (refusal) exchange->Respond(*refusal);
  }

  /// An answer that is to be lost is kept until the fault ends.
  void Answer(const http::ExchangePtr& exchange, http::Response response) {
    if (loses_answers_) {
      held_.push_back(exchange);
      return;
    }
    exchange->Respond(std::move(response));
  }

  /// Brings the model up to the present time, answers what is due and sets the
  /// timer for what comes next.
  void Step() {
    if (!server_.is_open() || paused_at_) return;
    const auto now = loop_->Now();
    model_.Advance(now);
    StoreCheckpoints();
    auto next = model_.NextChange();
    std::vector<Poll> waiting;
    for (auto& poll : std::exchange(polls_, {})) {
      if (!model_.IsReady(poll.query) && now < poll.until) {
        if (!next || poll.until < *next) next = poll.until;
        waiting.push_back(std::move(poll));
        continue;
      }
      http::Response response;
      response.headers.Set("Content-Type", "application/json");
      response.body = backends::EncodeReport(model_.Answer(poll.query));
      Answer(poll.exchange, std::move(response));
    }
    polls_ = std::move(waiting);
    loop_->Cancel(step_timer_);
    if (!next) return;
    step_timer_ = After(std::max(*next - now, base::Duration(0)),
                        [](Impl& self) { self.Step(); });
  }

  void StoreCheckpoints() {
    for (auto& write : model_.TakeCheckpointWrites()) {
      objects_.Put(
          write.object, CheckpointText(write.done),
          [weak = weak_from_this(), write](const store::PutResult& result) {
            const auto self = weak.lock();
            if (!self) return;
            const bool complete = std::holds_alternative<store::Stored>(result);
            self->Post([write, complete](Impl& it) {
              it.model_.CheckpointWritten(write, complete);
              it.Step();
            });
          });
    }
    for (auto& read : model_.TakeCheckpointReads()) {
      objects_.Get(read.object, [weak = weak_from_this(),
                                 read](const store::GetResult& result) {
        const auto self = weak.lock();
        if (!self) return;
        const auto done = ParseCheckpoint(result);
        self->Post([read, done](Impl& it) {
          it.model_.CheckpointRestored(read, done);
          it.Step();
        });
      });
    }
  }

  void SetLeaving(bool leaving) {
    model_.SetLeaving(leaving);
    Step();
  }

  /// All connections break, all tasks are gone.
  void Kill() {
    auto unanswered = std::exchange(held_, {});
    for (auto& poll : std::exchange(polls_, {})) {
      unanswered.push_back(std::move(poll.exchange));
    }
    server_.Crash(std::move(unanswered));
    paused_at_.reset();
    model_.Restart();
  }

  void Pause() {
    if (!paused_at_) paused_at_ = loop_->Now();
  }

  void EndFaults() {
    loop_->Cancel(fault_timer_);
    model_.SetRefusesStarts(false);
    model_.SetLeaving(false);
    loses_answers_ = false;
    silent_ = false;
    delay_ = base::Duration(0);
    server_.Revive();
    const auto held = std::exchange(held_, {});
    if (const auto began = std::exchange(paused_at_, std::nullopt)) {
      model_.Resume(*began, loop_->Now());
      for (const auto& exchange : held) Handle(exchange);
    }
    Step();
  }

  void AwaitTasks(base::TimePoint until, std::function<void()> done) {
    model_.Advance(loop_->Now());
    if (!model_.Running().empty() && loop_->Now() < until) {
      After(kLeaveCheck, [until, done = std::move(done)](Impl& self) {
        self.AwaitTasks(until, done);
      });
      return;
    }
    for (auto& poll : polls_) poll.until = loop_->Now();
    Step();
    server_.Drain(std::move(done));
  }

  std::unique_ptr<base::EventLoop> loop_;
  BackendServer server_;
  base::WorkerName name_;
  WorkerModel model_;
  store::ObjectStore& objects_;
  std::vector<Poll> polls_;
  /// Requests that get no answer for now: received while paused or silent, or
  /// carried out with the answer lost.
  std::vector<http::ExchangePtr> held_;
  std::optional<base::TimePoint> paused_at_;
  bool silent_ = false;
  bool loses_answers_ = false;
  base::Duration delay_{0};
  base::TimerId step_timer_ = 0;
  base::TimerId fault_timer_ = 0;
  std::uint64_t orders_ = 0;
  std::uint64_t reports_ = 0;
};

WorkerServer::WorkerServer(boost::asio::io_context& io,
                           const http::Endpoint& endpoint,
                           WorkerModelOptions options,
                           store::ObjectStore& objects)
    : impl_(std::make_shared<Impl>(io, endpoint, std::move(options), objects)) {
  impl_->Open();
}

WorkerServer::~WorkerServer() { impl_->Close(); }

http::Endpoint WorkerServer::endpoint() const { return impl_->endpoint(); }

const base::WorkerName& WorkerServer::name() const { return impl_->name(); }

void WorkerServer::Apply(WorkerFault fault, base::Duration time) {
  impl_->Post([fault, time](Impl& self) { self.Apply(fault, time); });
}

void WorkerServer::Stats(std::function<void(json::object)> done) {
  impl_->Post([done = std::move(done)](Impl& self) { done(self.Stats()); });
}

void WorkerServer::Leave(base::Duration limit, std::function<void()> done) {
  impl_->Post(
      [limit, done = std::move(done)](Impl& self) { self.Leave(limit, done); });
}

}  // namespace lapishatch::standins
