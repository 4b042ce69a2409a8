#include "soak/soak.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <utility>

#include "fakes/fake_row_store.h"
#include "fakes/fake_task_workers.h"
#include "platform/standin/site_standin.h"
#include "platform/standin/standin_codec.h"
#include "scenario/port_range.h"
#include "scenario/relay.h"
#include "soak/fault_injector.h"
#include "soak/job_clients.h"
#include "soak/site_process.h"

namespace lapishatch::soak {
namespace {

namespace asio = boost::asio;
using base::Duration;

constexpr Duration kJobInterval{150};
constexpr Duration kPollInterval{700};
constexpr Duration kRestartInterval{100};
/// Bounds of the pause between two faults, in milliseconds.
constexpr int kMinFaultPauseMs = 200;
constexpr int kMaxFaultPauseMs = 1'500;
/// Time within which each accepted job must end after the last fault. It covers
/// a worker's lease (6 s), a takeover and some failed attempts.
constexpr Duration kSettleTime{60'000};
/// Interval at which workers are registered again, as by their heartbeats.
constexpr Duration kHeartbeatInterval{1'000};

/// Runs the relays' io_context on its own thread, so that they forward bytes
/// while the main thread waits for them to change mode.
class RelayThread {
 public:
  RelayThread() : work_(io_.get_executor()), thread_([this] { io_.run(); }) {}
  ~RelayThread() {
    io_.stop();
    thread_.join();
  }
  RelayThread(const RelayThread&) = delete;
  RelayThread& operator=(const RelayThread&) = delete;

  asio::io_context& io() { return io_; }

 private:
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

/// State of one run.
class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : options_(options),
        loop_(base::MakeAsioEventLoop(io_)),
        rows_(*loop_),
        model_(*loop_),
        standin_(io_, rows_, model_),
        ports_(io_),
        random_(options.seed) {
    model_.run_time = [this](const jobs::TaskName& task) {
      const auto* step = StepOf(task);
      return step == nullptr ? Duration(1'000) : step->run_time_estimate;
    };
    model_.needs = [this](const jobs::TaskName& task) {
      const auto* step = StepOf(task);
      return step == nullptr ? jobs::Resources{} : step->needs;
    };
    model_.gang_size = [this](const jobs::TaskName& task) {
      const auto* step = StepOf(task);
      return step != nullptr && step->is_gang ? step->tasks : 1;
    };
  }

  SoakReport Execute() {
    Configure();
    for (int i = 0; i < options_.workers; ++i) AddWorker();
    StartProcesses();
    Every(kHeartbeatInterval, [this] { RegisterWorkers(); });
    Every(kRestartInterval,
          [this] { fault_injector_->RestartEndedProcesses(); });
    Every(kPollInterval, [this] { clients_->PollStates(); });
    Every(kJobInterval, [this] {
      if (!is_stopped_) clients_->SubmitJob();
    });
    ScheduleFaults();
    loop_->After(options_.length, [this] {
      is_stopped_ = true;
      fault_injector_->EndAllFaults();
    });
    const auto end = loop_->Now() + options_.length + kSettleTime;
    while (loop_->Now() < end && !(is_stopped_ && clients_->AllJobsEnded())) {
      io_.run_for(kRestartInterval);
    }
    return Conclude();
  }

 private:
  const jobs::Step* StepOf(const jobs::TaskName& task) const {
    const auto* job = clients_ ? clients_->Find(task.job) : nullptr;
    if (job == nullptr) return nullptr;
    return &job->steps[static_cast<std::size_t>(task.step)];
  }

  /// Runs `task` now and then periodically.
  void Every(Duration pause, std::function<void()> task) {
    task();
    loop_->After(pause,
                 [this, pause, task = std::move(task)] { Every(pause, task); });
  }

  void Configure() {
    jobs::QueueConfiguration configuration;
    configuration.version = 1;
    jobs::Queue queue;
    queue.name = jobs::QueueName("queue");
    queue.host = JobClients::kHost;
    queue.path_prefix = JobClients::kPrefix;
    queue.service = base::ServiceName(JobClients::kService);
    queue.priority = 1;
    // High enough that worker faults do not exhaust the attempts.
    queue.max_attempts = 1'000;
    queue.is_public = true;
    configuration.queues.push_back(std::move(queue));
    rows_.Put("op", "", "config",
              platform::standin::EncodeConfiguration(configuration));
  }

  void AddWorker() {
    constexpr int kWorkersPerRack = 4;
    const int number = workers_created_++;
    SoakWorker worker;
    auto& registration = worker.registration;
    registration.name = base::WorkerName("w" + std::to_string(number));
    registration.service = base::ServiceName(JobClients::kService);
    registration.domain = base::DomainName("hall");
    registration.rack = base::RackName(
        "r" + std::to_string(number % options_.workers / kWorkersPerRack));
    registration.labels = {"a", registration.rack.str()};
    registration.capacity = {64'000, 262'144, 8};
    worker.relay = std::make_shared<scenario::Relay>(
        relays_.io(), standin_.ServeWorker(registration.name));
    registration.endpoint = worker.relay->endpoint();
    model_.Add(registration);
    RegisterWorker(registration);
    workers_.push_back(std::move(worker));
  }

  void RegisterWorker(const dispatch::WorkerRegistration& registration) {
    rows_.Put("servers", "", registration.name.str(),
              platform::standin::EncodeWorkerRegistration(registration));
  }

  void RegisterWorkers() {
    for (const auto& it : workers_) RegisterWorker(it.registration);
  }

  /// Replaces the worker after `stays`; unless `stays` is 0, the worker first
  /// announces that it drains.
  void ReplaceWorker(std::size_t index, Duration stays) {
    auto& registration = workers_[index].registration;
    if (registration.is_draining) return;
    registration.is_draining = true;
    if (stays.count() > 0) {
      registration.remaining_time = stays;
      RegisterWorker(registration);
    }
    loop_->After(stays, [this, name = registration.name] { Remove(name); });
  }

  void Remove(const base::WorkerName& name) {
    model_.Crash(name);
    rows_.Remove("servers", "", name.str());
    // The relay is kept because the end of a fault may still access it.
    for (auto& it : workers_) {
      if (it.registration.name != name) continue;
      removed_relays_.push_back(it.relay);
      auto next = std::move(workers_.back());
      workers_.pop_back();
      if (next.registration.name != name) it = std::move(next);
      break;
    }
    AddWorker();
  }

  void StartProcesses() {
    std::vector<http::Endpoint> api_endpoints;
    for (int i = 0; i < options_.processes; ++i) {
      const auto name = "site-" + std::to_string(i);
      store_relays_.push_back(std::make_unique<scenario::Relay>(
          relays_.io(), standin_.ServeStore(name)));
      const auto api_endpoint = ports_.Next();
      processes_.push_back(std::make_unique<SiteProcess>(SiteProcessSettings{
          name, options_.program, options_.folder, api_endpoint, ports_.Next(),
          store_relays_.back()->endpoint()}));
      api_endpoints.push_back(api_endpoint);
    }
    clients_ = std::make_unique<JobClients>(io_, *loop_, api_endpoints, model_,
                                            random_());
    fault_injector_ = std::make_unique<FaultInjector>(
        *loop_,
        FaultTargets{processes_, store_relays_, workers_, rows_, model_,
                     [this](std::size_t index, Duration stays) {
                       ReplaceWorker(index, stays);
                     }},
        random_());
  }

  void ScheduleFaults() {
    std::uniform_int_distribution<int> pause(kMinFaultPauseMs,
                                             kMaxFaultPauseMs);
    loop_->After(Duration(pause(random_)), [this] {
      fault_injector_->InjectFault();
      if (!is_stopped_) ScheduleFaults();
    });
  }

  SoakReport Conclude() {
    SoakReport out;
    out.violations = model_.violations();
    clients_->AddResults(out);
    out.faults = fault_injector_->faults_begun();
    return out;
  }

  const SoakOptions options_;
  asio::io_context io_{1};
  const std::unique_ptr<base::EventLoop> loop_;
  fakes::FakeRowStore rows_;
  fakes::FakeTaskWorkers model_;
  platform::standin::SiteStandin standin_;
  scenario::PortRange ports_;
  base::Random random_;
  RelayThread relays_;
  std::vector<std::unique_ptr<scenario::Relay>> store_relays_;
  std::vector<std::shared_ptr<scenario::Relay>> removed_relays_;
  std::vector<SoakWorker> workers_;
  int workers_created_ = 0;
  std::vector<std::unique_ptr<SiteProcess>> processes_;
  std::unique_ptr<JobClients> clients_;
  std::unique_ptr<FaultInjector> fault_injector_;
  bool is_stopped_ = false;
};

}  // namespace

SoakReport RunSoak(const SoakOptions& options) {
  return SoakRun(options).Execute();
}

}  // namespace lapishatch::soak
