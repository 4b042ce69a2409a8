#include "soak/site_process.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <csignal>

#include "folder.h"
#include "platform/standin/site_standin.h"
#include "platform/standin/standin_codec.h"
#include "scenario/port_range.h"

namespace lapishatch::soak {
namespace {

using base::Duration;

/// One process against the stand-in, which it owns the only service of.
struct OneProcess {
  boost::asio::io_context io{1};
  const std::unique_ptr<base::EventLoop> loop = base::MakeAsioEventLoop(io);
  fakes::FakeRowStore rows{*loop};
  fakes::FakeTaskWorkers workers{*loop};
  platform::standin::SiteStandin standin{io, rows, workers};
  scenario::PortRange ports{io};
  const Folder folder;
  SiteProcess process{{"site", kSiteProgram, folder.path(), ports.Next(),
                       ports.Next(), standin.ServeStore("site")}};

  OneProcess() {
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
    process.Keep();
    RunUntil([this] { return !Holder().empty(); }, Duration(5'000));
  }

  std::string Holder() const {
    return rows.ValueOf("owners", "survey", "lease");
  }

  /// Whether it came true, within the limit.
  template <typename Condition>
  bool RunUntil(Condition condition, Duration limit) {
    const auto end = loop->Now() + limit;
    while (!condition() && loop->Now() < end) io.run_for(Duration(20));
    return condition();
  }
};

TEST_CASE("a process that stops hands over before it ends") {
  OneProcess it;
  REQUIRE(it.Holder().starts_with("site/"));
  it.process.Signal(SIGTERM, it.loop->Now(), Duration(0));
  REQUIRE(it.RunUntil([&] { return it.process.Ended().has_value(); },
                      Duration(2'500)));
  CHECK(it.process.Ended() == 0);
  CHECK(it.Holder() == "-");
}

TEST_CASE("a process that cannot hand over ends within its grace of 3 s") {
  OneProcess it;
  it.rows.SetFaultForAll(fakes::StoreFault::kSilent);
  it.process.Signal(SIGTERM, it.loop->Now(), Duration(0));
  REQUIRE(it.RunUntil([&] { return it.process.Ended().has_value(); },
                      Duration(2'500)));
  CHECK(it.process.Ended() == 0);
  CHECK(it.Holder().starts_with("site/"));
}

}  // namespace
}  // namespace lapishatch::soak
