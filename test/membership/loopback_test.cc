// The whole stack over real sockets and the real clock.

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "fakes/fake_group.h"
#include "membership/membership.h"

namespace lapishatch::membership {
namespace {

constexpr std::chrono::seconds kLimit{30};

/// One process. Its parts are made and ended with the threads not running.
struct Process {
  Process(boost::asio::io_context& io, const std::string& name,
          std::vector<wire::Endpoint> seeds)
      : loop(base::MakeAsioEventLoop(io)), follower(*loop) {
    wire::AsioTransportOptions options;
    options.identity = {wire::ProcessName(name),
                        wire::Role::kEntry,
                        base::DomainName("d0"),
                        base::Incarnation(base::MakeUniqueText("")),
                        {"127.0.0.1", 0}};
    transport = wire::MakeAsioTransport(io, *loop, options);
    NodeOptions node_options;
    node_options.group.self = options.identity;
    node_options.group.self.endpoint = transport->endpoint();
    node_options.group.seeds = std::move(seeds);
    node_options.group.generation = 1;
    node_options.group.period = base::Duration(100);
    node_options.group.probe_timeout = base::Duration(1'000);
    node_options.group.suspicion = base::Duration(1'000);
    node = std::make_unique<Node>(*loop, *transport, node_options);
    node->spreader().Follow(fakes::kConfigurationLog, follower, 0);
    loop->Post([this] { node->Start(); });
  }

  int Present() const {
    int n = 0;
    const auto view = node->view();
    for (const auto& it : view->members) n += IsPresent(it.state);
    return n;
  }

  std::unique_ptr<base::EventLoop> loop;
  fakes::RecordingFollower follower;
  std::shared_ptr<wire::AsioTransport> transport;
  std::unique_ptr<Node> node;
};

/// Runs `io` on four threads until `done` holds.
template <typename Done>
bool RunUntil(boost::asio::io_context& io, Done done) {
  io.restart();
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) threads.emplace_back([&] { io.run(); });
  const auto end = std::chrono::steady_clock::now() + kLimit;
  bool holds = done();
  while (!holds && std::chrono::steady_clock::now() < end) {
    std::this_thread::yield();
    holds = done();
  }
  io.stop();
  for (auto& it : threads) it.join();
  return holds;
}

TEST_CASE(
    "processes over loopback find each other, spread a log and see a death") {
  boost::asio::io_context io;
  const auto work = boost::asio::make_work_guard(io);
  std::vector<std::unique_ptr<Process>> processes;
  std::vector<wire::Endpoint> seeds;
  for (const auto* name : {"a", "b", "c", "d"}) {
    processes.push_back(std::make_unique<Process>(io, name, seeds));
    seeds = {processes[0]->transport->endpoint()};
  }
  const auto all_see = [&](int n) {
    return std::all_of(processes.begin(), processes.end(),
                       [&](const auto& it) { return it->Present() == n; });
  };
  REQUIRE(RunUntil(io, [&] { return all_see(4); }));

  const auto publish = [&](Process& process, LogVersion version) {
    process.loop->Post([&process, version] {
      process.node->spreader().Publish(fakes::kConfigurationLog, version,
                                       {"change"});
    });
  };
  publish(*processes[1], 1);
  publish(*processes[2], 2);
  // Looks at each follower on its own loop.
  const auto look = [&] {
    std::atomic<int> complete{0};
    std::atomic<int> looked{0};
    for (const auto& it : processes) {
      it->loop->Post([&, process = it.get()] {
        complete += process->follower.entries().size() == 2 ? 1 : 0;
        ++looked;
      });
    }
    while (looked < 4) std::this_thread::yield();
    return complete == 4;
  };
  CHECK(RunUntil(io, look));
  for (const auto& it : processes) CHECK(it->follower.violations() == 0);

  // "d" dies, "c" says goodbye.
  processes.pop_back();
  processes[2]->loop->Post([&] { processes[2]->node->Leave(); });
  const auto rest_sees_two = [&] {
    return processes[0]->Present() == 2 && processes[1]->Present() == 2;
  };
  CHECK(RunUntil(io, rest_sees_two));
  const auto view = processes[0]->node->view();
  CHECK(view->Find(ProcessName("c"))->state == MemberState::kLeft);
  CHECK(view->Find(ProcessName("d"))->state == MemberState::kDead);
}

}  // namespace
}  // namespace lapishatch::membership
