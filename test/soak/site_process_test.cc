#include "soak/site_process.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <csignal>

#include "platform/standin/site_standin.h"
#include "platform/standin/standin_codec.h"
#include "scenario/port_range.h"
#include "temporary_folder.h"

namespace lapishatch::soak {
namespace {

using base::Duration;

/// One process that owns the only service of the stand-in.
struct SiteProcessFixture {
  boost::asio::io_context io{1};
  const std::unique_ptr<base::EventLoop> loop = base::MakeAsioEventLoop(io);
  fakes::FakeRowStore rows{*loop};
  fakes::FakeTaskWorkers workers{*loop};
  platform::standin::SiteStandin standin{io, rows, workers};
  scenario::PortRange ports{io};
  const TemporaryFolder folder;
  SiteProcess process{{"site", kSiteProgram, folder.path(), ports.Next(),
                       ports.Next(), standin.ServeStore("site")}};

  SiteProcessFixture() {
    jobs::QueueConfiguration configuration;
    configuration.version = 1;
    jobs::Queue queue;
    queue.name = jobs::QueueName("queue");
    queue.host = "127.0.0.1";
    queue.path_prefix = "/";
    queue.service = base::ServiceName("survey");
    configuration.queues.push_back(queue);
    rows.Put("op", "", "config",
             platform::standin::EncodeConfiguration(configuration));
    process.EnsureRunning();
    RunUntil([this] { return !LeaseHolder().empty(); }, Duration(5'000));
  }

  std::string LeaseHolder() const {
    return rows.ValueOf("owners", "survey", "lease");
  }

  /// Runs until the condition holds and returns whether it did within `limit`.
  template <typename Condition>
  bool RunUntil(Condition condition, Duration limit) {
    const auto end = loop->Now() + limit;
    while (!condition() && loop->Now() < end) io.run_for(Duration(20));
    return condition();
  }
};

TEST_CASE(
    "a process that receives SIGTERM releases its lease before it exits") {
  SiteProcessFixture it;
  REQUIRE(it.LeaseHolder().starts_with("site/"));
  it.process.Signal(SIGTERM, it.loop->Now(), Duration(0));
  REQUIRE(it.RunUntil([&] { return it.process.ExitCode().has_value(); },
                      Duration(2'500)));
  CHECK(it.process.ExitCode() == 0);
  CHECK(it.LeaseHolder() == "-");
}

TEST_CASE(
    "a process that cannot release its lease exits within its grace of 3 s") {
  SiteProcessFixture it;
  it.rows.SetFaultForAll(fakes::StoreFault::kSilent);
  it.process.Signal(SIGTERM, it.loop->Now(), Duration(0));
  REQUIRE(it.RunUntil([&] { return it.process.ExitCode().has_value(); },
                      Duration(2'500)));
  CHECK(it.process.ExitCode() == 0);
  CHECK(it.LeaseHolder().starts_with("site/"));
}

}  // namespace
}  // namespace lapishatch::soak
