#include "scheduler_main/scheduler_process.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <utility>
#include <vector>

#include "backends/backends.h"
#include "membership/membership.h"
#include "scheduler_main/cell_host.h"
#include "scheduler_main/log_job_feed.h"
#include "scheduler_main/status_json.h"
#include "scheduler_main/status_publisher.h"
#include "scheduler_main/status_tap.h"
#include "scheduler_main/vm_poller.h"

namespace lapishatch::scheduler_main {
namespace {

namespace json = boost::json;

constexpr int kNotFound = 404;

/// A worker's waiting report takes one connection, its orders another.
constexpr std::size_t kConnectionsPerWorker = 3;

/// Calls to the platform at once.
constexpr std::size_t kPlatformConnections = 16;

/// For each step of a candidate's question to the holder of a cell.
constexpr base::Duration kProbeTimeout{500};

/// For what is queued to other processes at a planned stop.
constexpr base::Duration kGoodbyeLimit{500};

http::ClientLimits WorkerLimits() {
  http::ClientLimits out;
  out.connections_per_endpoint = kConnectionsPerWorker;
  return out;
}

http::ClientLimits PlatformLimits() {
  http::ClientLimits out;
  out.connections_per_endpoint = kPlatformConnections;
  return out;
}

std::uint64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<base::Duration>(now).count());
}

wire::Identity IdentityOf(const config::Program& program) {
  const auto& process = program.process();
  wire::Identity out;
  out.name = wire::ProcessName(process.name.str());
  out.role = wire::Role::kScheduler;
  out.domain = process.failure_domain;
  out.incarnation = program.incarnation();
  out.endpoint = {process.peer_listen.address, process.peer_listen.port};
  return out;
}

membership::NodeOptions NodeOptionsOf(const config::Program& program,
                                      const wire::Endpoint& bound) {
  membership::NodeOptions out;
  out.group.self = IdentityOf(program);
  out.group.self.endpoint = bound;
  out.group.generation = WallClockMs();
  out.group.random_seed = std::random_device()();
  for (const auto& it : program.process().peers) {
    out.group.seeds.push_back({it.address, it.port});
  }
  return out;
}

wire::AsioTransportOptions TransportOptionsOf(const config::Program& program) {
  wire::AsioTransportOptions out;
  out.identity = IdentityOf(program);
  membership::ChargeTransport(out, program.resources());
  const auto& process = program.process();
  if (process.peer_advertised.port == 0) return out;
  out.listen = out.identity.endpoint;
  out.identity.endpoint = {process.peer_advertised.address,
                           process.peer_advertised.port};
  return out;
}

store::HttpPlatformOptions PlatformOptionsOf(
    const config::Program& program, const SchedulerSettings& settings) {
  store::HttpPlatformOptions out;
  out.endpoint = program.process().platform;
  out.timeout = settings.platform_timeout;
  return out;
}

http::Response JsonAnswer(const json::value& value) {
  http::Response out;
  out.headers.Set("Content-Type", "application/json");
  out.body = json::serialize(value);
  return out;
}

}  // namespace

class SchedulerProcess::Impl {
 public:
  Impl(config::Program& program, SchedulerSettings settings)
      : program_(program),
        settings_(std::move(settings)),
        loop_(base::MakeAsioEventLoop(program.io())),
        platform_client_(program.io(), PlatformLimits(), program.resources()),
        worker_client_(program.io(), WorkerLimits(), program.resources()),
        platform_(PlatformOptionsOf(program, settings_)),
        table_(store::MakeHttpTable(platform_client_, platform_)),
        vm_list_(store::MakeHttpVmList(platform_client_, platform_)),
        workers_(backends::MakeHttpWorkerClient(worker_client_, {})),
        transport_(wire::MakeAsioTransport(program.io(), *loop_,
                                           TransportOptionsOf(program))),
        node_(*loop_, *transport_,
              NodeOptionsOf(program, transport_->endpoint())),
        probe_(*loop_, *transport_, node_.requests(), kProbeTimeout),
        link_(node_),
        mirror_(settings_.mirror,
                config::MirrorPorts{*loop_, *table_, &link_, &program.metrics(),
                                    [this] { return link_.Reads(); }}),
        writer_(settings_.writer,
                config::WriterPorts{*loop_, *table_, mirror_, nullptr,
                                    &program.metrics(), nullptr}),
        publisher_(PublisherPorts{*loop_, *table_, mirror_, writer_},
                   PublisherOptionsOf()),
        tap_(*table_,
             [this](base::JobName job, config::JobStatus status,
                    store::RowVersion version) {
               publisher_.Offer(std::move(job), std::move(status), version);
             }),
        feed_(*loop_, mirror_, FeedOptions()),
        poller_(
            *loop_, *vm_list_, settings_.vm_poll,
            [this](const std::vector<store::Vm>& vms) { feed_.SetVms(vms); }),
        board_(*loop_, node_,
               [this](std::function<void(wire::ProcessStatus)> done) {
                 TellStatus(std::move(done));
               }),
        server_(program.io(), program.process().listen, program.server_limits(),
                program.resources(),
                program.WithCommonEndpoints(
                    [this](const http::ExchangePtr& it) { Receive(it); })) {
    AddCell(base::CellName(program.process().failure_domain.str()));
    link_.Connect(mirror_);
    node_.Serve(scheduler::MakeCellQueryServer(Queries()));
    node_.OnChange([this] { OnPeersChanged(); });
    node_.group().OnSuperseded([this] { OnSuperseded(); });
  }

  void Start() {
    server_.Start();
    loop_->Post([this] {
      node_.Start();
      mirror_.Start();
      poller_.Start();
    });
    for (const auto& it : cells_) it->Start();
    program_.SetReady(true);
  }

  void Stop(const std::function<void()>& done) {
    program_.SetReady(false);
    auto left = std::make_shared<std::atomic<std::size_t>>(cells_.size());
    for (const auto& it : cells_) {
      it->Stop([this, left, done] {
        if (left->fetch_sub(1) == 1) SayGoodbye(done);
      });
    }
  }

  http::Endpoint http_endpoint() const { return server_.endpoint(); }

  http::Endpoint peer_endpoint() const {
    const auto bound = transport_->endpoint();
    return {bound.address, bound.port};
  }

 private:
  void AddCell(base::CellName cell) {
    auto options = settings_.owner;
    options.cell = std::move(cell);
    options.domain = program_.process().failure_domain;
    options.incarnation = program_.incarnation();
    options.endpoint = peer_endpoint();
    options.seed = std::random_device()();
    cells_.push_back(std::make_unique<CellHost>(
        program_.io(), std::move(options),
        CellPorts{
            tap_, *workers_, probe_, feed_, &program_.metrics(),
            [this](const base::Incarnation& holder, const http::Endpoint& at) {
              return scheduler::DoubtOf(*node_.view(), holder, at);
            }}));
  }

  PublisherOptions PublisherOptionsOf() const {
    PublisherOptions out;
    out.changed_by = program_.process().name.str();
    return out;
  }

  LogJobFeedOptions FeedOptions() const {
    LogJobFeedOptions out;
    out.domain = program_.process().failure_domain;
    out.domains = ParseDomains(settings_.failure_domains);
    return out;
  }

  /// The last statuses are told before the process goes, if the table answers.
  void SayGoodbye(const std::function<void()>& done) {
    const auto until = loop_->Now() + settings_.platform_timeout;
    loop_->Post([this, until, done] { AwaitStatuses(until, done); });
  }

  void AwaitStatuses(base::TimePoint until, const std::function<void()>& done) {
    if (publisher_.waiting() > 0 && loop_->Now() < until) {
      constexpr base::Duration kLookAgain{10};
      loop_->After(kLookAgain,
                   [this, until, done] { AwaitStatuses(until, done); });
      return;
    }
    node_.Leave();
    transport_->Close(kGoodbyeLimit, [this, done] { server_.Drain(done); });
  }

  /// The planned stop places nothing new and takes no cell, and its release is
  /// on condition that the row is still as this life wrote it.
  void OnSuperseded() {
    base::Log(base::events::kStoppingSuperseded,
              {{"name", program_.process().name},
               {"incarnation", program_.incarnation()}});
    program_.BeginStop(config::kExitFailed);
  }

  /// A scheduler of this failure domain that is in doubt or gone may have held
  /// a cell.
  void OnPeersChanged() {
    if (!trusted_.HasLostOne(*node_.view())) return;
    for (const auto& it : cells_) it->CheckNow();
  }

  // Questions of other processes. Cells answer on their own loops.

  /// `done` on the process's loop.
  template <typename T>
  std::function<void(T)> OnLoop(std::function<void(T)> done) {
    return [this, done = std::move(done)](T result) {
      loop_->Post([done, result = std::move(result)] { done(result); });
    };
  }

  scheduler::CellQueries Queries() {
    using TextDone = std::function<void(std::optional<std::string>)>;
    scheduler::CellQueries out;
    out.probe = [this](const base::CellName& cell,
                       const base::Incarnation& holder,
                       std::function<void(scheduler::ProbeAnswer)> done) {
      auto* host = Find(cell);
      if (host == nullptr) return done({});
      host->AnswerProbe(holder, OnLoop(std::move(done)));
    };
    out.explain = [this](const base::JobName& job, TextDone done) {
      Explain(job, [job, done = OnLoop(std::move(done))](
                       const placement::Explanation& it) {
        if (it.state == kUnknownJob) return done(std::nullopt);
        done(json::serialize(ToJson(job, it)));
      });
    };
    out.status = [this](const base::CellName& cell, TextDone done) {
      auto* host = Find(cell);
      if (host == nullptr) return done(std::nullopt);
      host->Status([cell, done = OnLoop(std::move(done))](
                       const scheduler::OwnerStatus& it) {
        if (!Holds(it.phase)) return done(std::nullopt);
        done(json::serialize(ToJson(cell, it)));
      });
    };
    return out;
  }

  /// The status of this process, when the last cell has told its part.
  void TellStatus(std::function<void(wire::ProcessStatus)> done) {
    struct Gathered {
      std::mutex mutex;
      wire::ProcessStatus status;
      std::size_t left = 0;
    };
    auto gathered = std::make_shared<Gathered>();
    gathered->status =
        membership::StatusOf(node_.group().self(), program_.ready(), mirror_);
    gathered->left = cells_.size();
    const auto tell = OnLoop(std::move(done));
    for (const auto& host : cells_) {
      host->Status([gathered, tell,
                    cell = host->cell()](const scheduler::OwnerStatus& it) {
        const std::lock_guard lock(gathered->mutex);
        gathered->status.cells.push_back(ToWire(cell, it));
        if (--gathered->left == 0) tell(gathered->status);
      });
    }
  }

  static bool Holds(scheduler::OwnerPhase phase) {
    return phase != scheduler::OwnerPhase::kCandidate &&
           phase != scheduler::OwnerPhase::kStopped;
  }

  CellHost* Find(const base::CellName& cell) {
    for (const auto& it : cells_) {
      if (it->cell() == cell) return it.get();
    }
    return nullptr;
  }

  /// The word of the first cell that knows the job, or of the last.
  void Explain(const base::JobName& job,
               std::function<void(placement::Explanation)> done,
               std::size_t index = 0) {
    cells_[index]->Explain(job, [this, job, done = std::move(done),
                                 index](placement::Explanation it) {
      const bool last = index + 1 == cells_.size();
      if (last || it.state != kUnknownJob) return done(std::move(it));
      Explain(job, done, index + 1);
    });
  }

  // HTTP.

  void Receive(const http::ExchangePtr& exchange) {
    const auto target = http::ParseTarget(exchange->request().target);
    const auto& segments = target.segments;
    const bool is_get = exchange->request().method == "GET";
    const bool is_explain = segments.size() == 4 && segments[0] == "v1" &&
                            segments[1] == "jobs" && segments[3] == "explain";
    if (is_get && target.path == "/v1/status") {
      AnswerStatus(exchange);
    } else if (is_get && is_explain) {
      const base::JobName job(segments[2]);
      Explain(job, [job, exchange](const placement::Explanation& it) {
        exchange->Respond(JsonAnswer(ToJson(job, it)));
      });
    } else {
      exchange->Respond(http::MakeProblem(
          kNotFound, "not-found", "No such resource",
          target.path + ": GET /v1/status, /v1/jobs/{name}/explain, /healthz, "
                        "/readyz or /metrics"));
    }
  }

  /// Answers when the last cell has told its part.
  void AnswerStatus(const http::ExchangePtr& exchange) {
    struct Gathered {
      std::mutex mutex;
      json::array cells;
      std::size_t left = 0;
    };
    auto gathered = std::make_shared<Gathered>();
    gathered->left = cells_.size();
    for (const auto& host : cells_) {
      host->Status([this, gathered, exchange,
                    cell = host->cell()](const scheduler::OwnerStatus& it) {
        const std::lock_guard lock(gathered->mutex);
        gathered->cells.emplace_back(ToJson(cell, it));
        if (--gathered->left > 0) return;
        exchange->Respond(JsonAnswer(StatusJson(std::move(gathered->cells))));
      });
    }
  }

  json::value StatusJson(json::array cells) const {
    const auto& process = program_.process();
    json::object logs;
    for (const auto log : {config::LogId::kConfig, config::LogId::kJobs}) {
      logs[base::NameOf(log)] = ToJson(mirror_.Status(log));
    }
    return json::object{{"process", process.name.str()},
                        {"failure_domain", process.failure_domain.str()},
                        {"incarnation", program_.incarnation().str()},
                        {"ready", program_.ready()},
                        {"table_reachable", mirror_.is_table_reachable()},
                        {"logs", std::move(logs)},
                        {"cells", std::move(cells)}};
  }

  static constexpr std::string_view kUnknownJob = "unknown job";

  config::Program& program_;
  SchedulerSettings settings_;
  /// Of everything but the cells.
  std::unique_ptr<base::EventLoop> loop_;
  http::Client platform_client_;
  http::Client worker_client_;
  store::HttpPlatformOptions platform_;
  std::unique_ptr<store::Table> table_;
  std::unique_ptr<store::VmList> vm_list_;
  std::unique_ptr<backends::WorkerClient> workers_;
  std::shared_ptr<wire::AsioTransport> transport_;
  membership::Node node_;
  scheduler::WireOwnerProbe probe_;
  membership::MirrorLink link_;
  config::Mirror mirror_;
  config::ChangeWriter writer_;
  StatusPublisher publisher_;
  StatusTap tap_;
  LogJobFeed feed_;
  VmPoller poller_;
  std::vector<std::unique_ptr<CellHost>> cells_;
  scheduler::TrustedSchedulers trusted_;
  membership::StatusBoard board_;
  http::Server server_;
};

SchedulerProcess::SchedulerProcess(config::Program& program,
                                   SchedulerSettings settings)
    : impl_(std::make_unique<Impl>(program, std::move(settings))) {}

SchedulerProcess::~SchedulerProcess() = default;

void SchedulerProcess::Start() { impl_->Start(); }

void SchedulerProcess::Stop(const std::function<void()>& done) {
  impl_->Stop(done);
}

http::Endpoint SchedulerProcess::http_endpoint() const {
  return impl_->http_endpoint();
}

http::Endpoint SchedulerProcess::peer_endpoint() const {
  return impl_->peer_endpoint();
}

}  // namespace lapishatch::scheduler_main
