#include "entry/status_page.h"

#include <catch2/catch.hpp>

#include "api_world.h"

namespace lapishatch::entry {
namespace {

namespace json = boost::json;

/// Three processes that run and one that has died.
class FourProcesses final : public SystemView {
 public:
  std::vector<SeenResource> List(SeenKind) const override { return {}; }
  json::array Processes() const override {
    return {One("a", "alive"), One("b", "alive"), One("c", "suspect"),
            One("d", "dead")};
  }

 private:
  static json::object One(const std::string& name, const std::string& state) {
    return {{"name", name}, {"incarnation", "i-" + name}, {"state", state}};
  }
};

wire::ProcessStatus Answer(const std::string& name, std::uint64_t accepted,
                           std::uint64_t in_force) {
  wire::ProcessStatus out;
  out.name = wire::ProcessName(name);
  out.incarnation = base::Incarnation("i-" + name);
  out.table_reachable = name == "a";
  out.logs = {{wire::LogName("config"), accepted, in_force}};
  return out;
}

TEST_CASE("the status says how far each process is, and who was silent") {
  fakes::VirtualTime time;
  fakes::FakeTable table(time);
  const Api api(time, table, 1);
  const FourProcesses system;
  auto old = Answer("b", 40, 40);
  old.events = {{703, 9'000, "member=\"c\""}, {600, 9'500, ""}};
  auto newest = Answer("a", 41, 41);
  newest.events = {{704, 4'000, ""}};
  newest.cells = {{base::CellName("hall"), "owning", 7, 4, 3, 2, 1}};
  config::ProcessSettings process;
  const base::Incarnation self("i-a");
  const auto page =
      BodyOf(StatusPage({process, self, api.mirror, system, {newest, old}}));
  const auto& config = page.at("configuration").at("config");
  CHECK(config.at("accepted") == 41);
  CHECK(config.at("in_force_in") == 1);
  CHECK(config.at("processes") == 3);
  CHECK(page.at("store").at("reachable_in") == 1);
  CHECK(page.at("silent") == json::array{"c"});
  const auto& processes = page.at("processes");
  CHECK(processes.at(0).at("cells").at(0).at("phase") == "owning");
  CHECK(processes.at(1).at("configuration").at("config").at("in_force") == 40);
  CHECK_FALSE(processes.at(3).at("answered").as_bool());
  const auto& events = page.at("events");
  CHECK(events.at(0).at("name") == "member_dead");
  CHECK(events.at(1).at("process") == "b");
  CHECK(events.at(2).at("number") == 600);
}

}  // namespace
}  // namespace lapishatch::entry
