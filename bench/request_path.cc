// The request path of one entry on four threads of one io_context, without a
// network: runners answer at once. Requests a second, and how long a refusal
// takes while the slots are full.

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fake_cluster.h"

namespace lapishatch::bench {
namespace {

namespace asio = boost::asio;
using SteadyTime = std::chrono::steady_clock;

constexpr int kThreads = 4;
constexpr int kCallers = 256;
constexpr auto kMeasured = std::chrono::seconds(3);
constexpr int kRefusals = 20'000;

/// Runners that answer from another task of the io_context, or never.
class InstantRunners final : public backends::RunnerClient {
 public:
  InstantRunners(asio::io_context& io, bool answers)
      : io_(io), answers_(answers) {}

  void Send(const http::Endpoint&, backends::RunnerRequest,
            std::function<void(backends::RunnerOutcome)> done) override {
    if (!answers_) return;
    asio::post(io_, [done = std::move(done)] {
      done(backends::RunnerResponse{200, "text/plain", "ok", {8, 1, 0, false}});
    });
  }

  void Ping(const http::Endpoint&, base::Duration,
            std::function<void(backends::PingResult)> done) override {
    asio::post(io_, [this, done = std::move(done)] {
      done(backends::RunnerLoad{8, answers_ ? 1 : 8, answers_ ? 0 : 8, false});
    });
  }

 private:
  asio::io_context& io_;
  bool answers_;
};

/// An entry on a running io_context.
class RunningEntry {
 public:
  RunningEntry(int shards, bool answers)
      : work_(asio::make_work_guard(io_)),
        cluster_(time_, 1),
        process_(time_),
        view_(table_, process_),
        objects_view_(objects_, process_),
        runners_(io_, answers) {
    std::vector<base::EventLoop*> loops;
    for (int i = 0; i < shards; ++i) {
      loops_.push_back(base::MakeAsioEventLoop(io_));
      loops.push_back(loops_.back().get());
    }
    routing::RequestPathParts parts{loops,
                                    view_,
                                    objects_view_,
                                    runners_,
                                    directory_,
                                    cluster_,
                                    directory_,
                                    metrics_,
                                    base::Incarnation("entry"),
                                    DomainOf(0),
                                    [] { return std::int64_t{0}; },
                                    1};
    path_ = std::make_unique<routing::RequestPath>(
        std::move(parts), routing::RequestPathOptions{});
    for (int i = 0; i < kThreads; ++i) {
      threads_.emplace_back([this] { io_.run(); });
    }
  }

  ~RunningEntry() {
    io_.stop();
    for (auto& it : threads_) it.join();
    path_.reset();
  }

  RunningEntry(const RunningEntry&) = delete;
  RunningEntry& operator=(const RunningEntry&) = delete;

  void Ask(int service, routing::RequestPath::Done done) {
    routing::RoutedRequest request;
    request.id = base::RequestId("r");
    request.organisation = base::OrganisationName("bertolini");
    request.service = base::ServiceName("service-" + std::to_string(service));
    request.deadline = base::Duration(10'000);
    request.idempotent = true;
    request.body = std::string(200, 'x');
    path_->Handle(std::move(request), std::move(done));
  }

  asio::io_context& io() { return io_; }

 private:
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  // What idempotent requests never touch stands in virtual time.
  fakes::VirtualTime time_;
  FakeCluster cluster_;
  fakes::FakeProcess process_;
  fakes::FakeTable table_{time_};
  fakes::FakeTableView view_;
  fakes::FakeObjects objects_;
  fakes::FakeObjectsView objects_view_;
  InstantRunners runners_;
  OpenDirectory directory_{1};
  base::MetricRegistry metrics_;
  std::vector<std::unique_ptr<base::EventLoop>> loops_;
  std::unique_ptr<routing::RequestPath> path_;
  std::vector<std::thread> threads_;
};

/// Callers that each ask again as soon as they are answered.
void MeasureThroughput(int shards) {
  // The entry's threads use what stands before it until it is destroyed.
  std::atomic<bool> stopped{false};
  std::atomic<std::uint64_t> answered{0};
  std::atomic<std::uint64_t> refused{0};
  std::function<void(int)> ask;
  RunningEntry entry(shards, true);
  ask = [&](int caller) {
    if (stopped) return;
    entry.Ask(caller % shards,
              [&, caller](const routing::RequestOutcome& outcome) {
                const bool good =
                    std::holds_alternative<routing::RequestAnswered>(outcome);
                ++(good ? answered : refused);
                asio::post(entry.io(), [&ask, caller] { ask(caller); });
              });
  };
  for (int i = 0; i < kCallers; ++i) ask(i);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto before = answered.load();
  const auto start = SteadyTime::now();
  std::this_thread::sleep_for(kMeasured);
  const std::chrono::duration<double> took = SteadyTime::now() - start;
  const auto n = answered.load() - before;
  stopped = true;
  std::printf("request_path.%d_shards.answered %.0f per_s (refused %llu)\n",
              shards, static_cast<double>(n) / took.count(),
              static_cast<unsigned long long>(refused.load()));
}

/// Refusals while every slot is taken and the queue is full.
void MeasureRefusals() {
  std::mutex mutex;
  std::vector<double> times;
  std::atomic<int> ended{0};
  RunningEntry entry(1, false);
  for (int i = 0; i < 3'000; ++i) {
    entry.Ask(0, [](const routing::RequestOutcome&) {});
  }
  for (int i = 0; i < kRefusals; ++i) {
    const auto asked_at = SteadyTime::now();
    entry.Ask(0, [&, asked_at](const routing::RequestOutcome&) {
      const std::chrono::duration<double, std::milli> took =
          SteadyTime::now() - asked_at;
      {
        const std::lock_guard lock(mutex);
        times.push_back(took.count());
      }
      ++ended;
    });
    if (i % 20 == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  while (ended < kRefusals) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  std::sort(times.begin(), times.end());
  std::printf("request_path.refusal_p50 %.3f ms\n", times[times.size() / 2]);
  std::printf("request_path.refusal_p99 %.3f ms\n",
              times[times.size() * 99 / 100]);
}

}  // namespace
}  // namespace lapishatch::bench

int main() {
  lapishatch::bench::MeasureThroughput(1);
  lapishatch::bench::MeasureThroughput(4);
  lapishatch::bench::MeasureRefusals();
  return 0;
}
