#include "membership/seeds.h"

#include <catch2/catch.hpp>

#include "fakes/fake_group.h"

namespace lapishatch::membership {
namespace {

using base::Duration;

/// Gives what a test has put in, or fails.
class ListedVms final : public store::VmList {
 public:
  void List(std::function<void(store::VmListResult)> done) override {
    ++reads;
    done(result);
  }
  store::VmListResult result = store::ReadFailed{"out"};
  int reads = 0;
};

store::Vm MakeVm(store::VmKind kind, const wire::Endpoint& at) {
  store::Vm vm;
  vm.kind = kind;
  vm.endpoint = http::Endpoint{at.address, at.port};
  return vm;
}

TEST_CASE("processes that no settings name are found by the VM list") {
  fakes::FakeGroup group(1);
  group.AddMany(2, 1);
  // No seed: it neither knows the others nor do they know it.
  NodeOptions options;
  options.group.self = wire::Identity{
      ProcessName("alone"), wire::Role::kScheduler, base::DomainName("d0"),
      base::Incarnation("x"), wire::Endpoint{"10.0.0.1", 9'000}};
  options.group.generation = 1;
  fakes::FakeMember alone(group.time(), group.network(), options);
  ListedVms vms;
  VmSeeds seeds(alone.process, vms, alone.node.group(),
                {.ports = {}, .interval = Duration(10'000)});
  seeds.Start();
  group.time().RunFor(Duration(15'000));
  CHECK(alone.node.group().table().Present().size() == 1);
  CHECK(vms.reads == 2);

  vms.result = std::vector<store::Vm>{
      MakeVm(store::VmKind::kRunner, {"10.0.0.1", 1}),
      MakeVm(store::VmKind::kEntry, group[1].identity.endpoint)};
  CHECK(group.time().RunUntil(
      [&] {
        return alone.node.group().table().Present().size() == 3 &&
               group[0].StateOf(alone) == MemberState::kAlive;
      },
      Duration(20'000)));
}

TEST_CASE("each entry VM is tried at the ports of its programs") {
  fakes::FakeGroup group(2);
  group.AddMany(1, 1);
  ListedVms vms;
  vms.result =
      std::vector<store::Vm>{MakeVm(store::VmKind::kEntry, {"10.0.0.7", 80})};
  VmSeeds seeds(group[0].process, vms, group[0].node.group(),
                {.ports = {7'100, 7'200}});
  NodeOptions options;
  options.group.self = wire::Identity{
      ProcessName("listed"), wire::Role::kScheduler, base::DomainName("d0"),
      base::Incarnation("x"), wire::Endpoint{"10.0.0.7", 7'200}};
  fakes::FakeMember listed(group.time(), group.network(), options);
  seeds.Start();
  CHECK(group.time().RunUntil(
      [&] { return group[0].StateOf(listed) == MemberState::kAlive; },
      Duration(10'000)));
}

}  // namespace
}  // namespace lapishatch::membership
