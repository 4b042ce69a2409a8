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
#include "soak/fault_player.h"
#include "soak/job_callers.h"
#include "soak/site_process.h"

namespace lapishatch::soak {
namespace {

namespace asio = boost::asio;
using base::Duration;

constexpr Duration kBetweenJobs{150};
constexpr Duration kBetweenAsks{700};
constexpr Duration kBetweenKeeps{100};
/// Between two faults, at least and at most.
constexpr int kLeastPause = 200;
constexpr int kMostPause = 1'500;
/// After the last fault each accepted job must end: a lease at a worker (6 s),
/// a takeover, some failed attempts.
constexpr Duration kSettle{60'000};
/// Workers are listed again so often, as their heartbeats do.
constexpr Duration kHeartbeat{1'000};

/// An io_context with a thread of its own: the relays pass bytes on while the
/// model's thread waits for them to change.
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

/// One run.
class Run {
 public:
  explicit Run(const SoakOptions& options)
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

  SoakReport Play() {
    Configure();
    for (int i = 0; i < options_.workers; ++i) AddWorker();
    StartProcesses();
    Every(kHeartbeat, [this] { ListWorkers(); });
    Every(kBetweenKeeps, [this] { faults_->KeepProcesses(); });
    Every(kBetweenAsks, [this] { callers_->AskAll(); });
    Every(kBetweenJobs, [this] {
      if (!is_healed_) callers_->HandIn();
    });
    PlayFaults();
    loop_->After(options_.length, [this] {
      is_healed_ = true;
      faults_->Heal();
    });
    const auto end = loop_->Now() + options_.length + kSettle;
    while (loop_->Now() < end && !(is_healed_ && callers_->AllEnded())) {
      io_.run_for(kBetweenKeeps);
    }
    return Conclude();
  }

 private:
  const jobs::Step* StepOf(const jobs::TaskName& task) const {
    const auto* job = callers_ ? callers_->Find(task.job) : nullptr;
    if (job == nullptr) return nullptr;
    return &job->steps[static_cast<std::size_t>(task.step)];
  }

  /// Runs `task` now and again and again.
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
    queue.host = JobCallers::kHost;
    queue.path_prefix = JobCallers::kPrefix;
    queue.service = base::ServiceName(JobCallers::kService);
    queue.priority = 1;
    // Faults of workers must not use them up.
    queue.max_attempts = 1'000;
    queue.is_public = true;
    configuration.queues.push_back(std::move(queue));
    rows_.Put("op", "", "config",
              platform::standin::EncodeConfiguration(configuration));
  }

  void AddWorker() {
    constexpr int kPerRack = 4;
    const int number = workers_made_++;
    SoakWorker worker;
    auto& entry = worker.entry;
    entry.name = base::WorkerName("w" + std::to_string(number));
    entry.service = base::ServiceName(JobCallers::kService);
    entry.domain = base::DomainName("hall");
    entry.rack = base::RackName(
        "r" + std::to_string(number % options_.workers / kPerRack));
    entry.labels = {"a", entry.rack.str()};
    entry.capacity = {64'000, 262'144, 8};
    worker.relay = std::make_shared<scenario::Relay>(
        relays_.io(), standin_.ServeWorker(entry.name));
    entry.endpoint = worker.relay->endpoint();
    model_.Add(entry);
    List(entry);
    workers_.push_back(std::move(worker));
  }

  void List(const dispatch::WorkerRegistration& entry) {
    rows_.Put("servers", "", entry.name.str(),
              platform::standin::EncodeWorkerEntry(entry));
  }

  void ListWorkers() {
    for (const auto& it : workers_) List(it.entry);
  }

  /// The worker leaves after `stays`, told beforehand unless that is nothing;
  /// another one comes in its place.
  void ReplaceWorker(std::size_t index, Duration stays) {
    auto& entry = workers_[index].entry;
    if (entry.is_draining) return;
    entry.is_draining = true;
    if (stays.count() > 0) {
      entry.remaining_time = stays;
      List(entry);
    }
    loop_->After(stays, [this, name = entry.name] { Remove(name); });
  }

  void Remove(const base::WorkerName& name) {
    model_.Crash(name);
    rows_.Remove("servers", "", name.str());
    // Its relay stays: a fault of it may have yet to end.
    for (auto& it : workers_) {
      if (it.entry.name != name) continue;
      gone_.push_back(it.relay);
      auto next = std::move(workers_.back());
      workers_.pop_back();
      if (next.entry.name != name) it = std::move(next);
      break;
    }
    AddWorker();
  }

  void StartProcesses() {
    std::vector<http::Endpoint> fronts;
    for (int i = 0; i < options_.processes; ++i) {
      const auto name = "site-" + std::to_string(i);
      store_relays_.push_back(std::make_unique<scenario::Relay>(
          relays_.io(), standin_.ServeStore(name)));
      const auto front = ports_.Next();
      processes_.push_back(std::make_unique<SiteProcess>(SiteProcessSettings{
          name, options_.program, options_.folder, front, ports_.Next(),
          store_relays_.back()->endpoint()}));
      fronts.push_back(front);
    }
    callers_ =
        std::make_unique<JobCallers>(io_, *loop_, fronts, model_, random_());
    faults_ = std::make_unique<FaultPlayer>(
        *loop_,
        FaultTargets{processes_, store_relays_, workers_, rows_, model_,
                     [this](std::size_t index, Duration stays) {
                       ReplaceWorker(index, stays);
                     }},
        random_());
  }

  void PlayFaults() {
    std::uniform_int_distribution<int> pause(kLeastPause, kMostPause);
    loop_->After(Duration(pause(random_)), [this] {
      faults_->Play();
      if (!is_healed_) PlayFaults();
    });
  }

  SoakReport Conclude() {
    SoakReport out;
    out.broken = model_.violations();
    callers_->Conclude(out);
    out.faults = faults_->played();
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
  std::vector<std::shared_ptr<scenario::Relay>> gone_;
  std::vector<SoakWorker> workers_;
  int workers_made_ = 0;
  std::vector<std::unique_ptr<SiteProcess>> processes_;
  std::unique_ptr<JobCallers> callers_;
  std::unique_ptr<FaultPlayer> faults_;
  bool is_healed_ = false;
};

}  // namespace

SoakReport PlaySoak(const SoakOptions& options) { return Run(options).Play(); }

}  // namespace lapishatch::soak
