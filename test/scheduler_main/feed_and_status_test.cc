#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "fakes/fakes.h"
#include "scheduler_main/home_domain.h"
#include "scheduler_main/log_job_feed.h"
#include "scheduler_main/scheduler_settings.h"
#include "scheduler_main/status_publisher.h"
#include "scheduler_main/status_tap.h"
#include "scheduler_main/vm_poller.h"

namespace lapishatch::scheduler_main {
namespace {

using base::Duration;
using config::JobPhase;
using config::ResourceKind;
using config::ResourceRef;

const base::DomainName kMixco("mixco");
const base::DomainName kZona("zona-10");

config::JobSpec JobIn(const base::DomainName& domain) {
  config::JobSpec spec;
  spec.organisation = base::OrganisationName("fianza");
  spec.needs = {1, 1, 1};
  spec.may_be_lost = true;
  spec.failure_domain = domain;
  spec.payload = "{}";
  return spec;
}

store::Vm WorkerVm(const std::string& name, const base::DomainName& domain) {
  store::Vm vm;
  vm.name = name;
  vm.kind = store::VmKind::kWorker;
  vm.domain = domain;
  vm.endpoint = {"127.0.0.1", 7};
  vm.rack = base::RackName("r");
  return vm;
}

/// One scheduler process of mixco in virtual time, without its cell owners.
struct World {
  explicit World(config::MirrorOptions mirror_options = {})
      : mirror(mirror_options, {process, table}) {
    mirror.Start();
    Change({ResourceKind::kOrganisation, "fianza"},
           config::PutSpec{config::OrganisationSpec{}});
  }

  void Change(const ResourceRef& ref, config::ChangeAction action) {
    std::optional<config::ChangeOutcome> outcome;
    writer.Submit({{{ref, config::Anyway{}, std::move(action)}}, false, "t"},
                  [&](config::ChangeOutcome it) { outcome = std::move(it); });
    REQUIRE(
        time.RunUntil([&] { return outcome.has_value(); }, Duration(60'000)));
    INFO("outcome " << outcome->index());
    REQUIRE(std::holds_alternative<config::ChangesAccepted>(*outcome));
  }

  void Submit(const std::string& job, const base::DomainName& domain) {
    Change({ResourceKind::kJob, job}, config::PutSpec{JobIn(domain)});
  }

  scheduler::FeedId Follow() {
    return feed.Follow(
        base::CellName("mixco"),
        [this](scheduler::FeedEvent it) { events.push_back(std::move(it)); });
  }

  /// Runs until `n` events were told and nothing more follows for a while.
  void Settle(std::size_t n) {
    CHECK(time.RunUntil([&] { return events.size() >= n; }, Duration(60'000)));
    time.RunFor(Duration(3'000));
    REQUIRE(events.size() == n);
  }

  template <typename Event>
  const Event& EventAt(std::size_t i) {
    REQUIRE(i < events.size());
    const auto* event = std::get_if<Event>(&events[i]);
    REQUIRE(event != nullptr);
    return *event;
  }

  JobPhase Phase(const std::string& job) {
    const auto found = mirror.Find({ResourceKind::kJob, job});
    REQUIRE(found != nullptr);
    return PhaseOf(*found);
  }

  /// Writes a status row through the tap, as an owner does.
  void Record(const std::string& job, JobPhase phase,
              store::RowVersion version) {
    const auto key = scheduler::StatusKey(base::JobName(job));
    config::JobStatus status;
    status.phase = phase;
    store::Transaction transaction;
    transaction.conditions.push_back({key, version});
    transaction.writes.push_back(
        {key, scheduler::EncodeStatusRow(
                  {base::AttemptId("w" + std::to_string(version)), status})});
    tap.Commit(transaction, [](const store::CommitResult&) {});
  }

  fakes::VirtualTime time;
  fakes::FakeTable store{time};
  fakes::FakeProcess process{time};
  fakes::FakeTableView table{store, process};
  config::Mirror mirror;
  config::ChangeWriter writer{{}, {process, table, mirror}};
  StatusPublisher publisher{{process, table, mirror, writer}, {}};
  StatusTap tap{table, [this](base::JobName job, config::JobStatus status,
                              store::RowVersion version) {
                  publisher.Offer(std::move(job), std::move(status), version);
                }};
  LogJobFeed feed{process, mirror, {kMixco, {kMixco, kZona}}};
  std::vector<scheduler::FeedEvent> events;
};

config::Resource Record(const std::string& name,
                        const base::DomainName& named) {
  config::Resource job;
  job.ref = {ResourceKind::kJob, name};
  job.spec = JobIn(named);
  return job;
}

TEST_CASE("a record without domain or pin has one home, and all get some") {
  const std::vector<base::DomainName> domains = {kMixco, kZona};
  std::set<base::DomainName> homes;
  for (int i = 0; i < 100; ++i) {
    auto job = Record("job-" + std::to_string(i), {});
    const auto home = HomeDomainOf(job, domains);
    CHECK(home == HomeDomainOf(job, {kZona, kMixco}));
    homes.insert(home);
    // A pin goes before the hash.
    job.pinned_domain = home == kZona ? kMixco : kZona;
    CHECK(HomeDomainOf(job, domains) == job.pinned_domain);
  }
  CHECK(homes.size() == 2);
  CHECK(HomeDomainOf(Record("j", kZona), domains) == kZona);
  CHECK(HomeDomainOf(Record("j", {}), {}).empty());
}

TEST_CASE("the list of failure domains is read without blanks and repeats") {
  const auto domains = ParseDomains(" mixco, zona-10,mixco,,Not A Name");
  CHECK(domains == std::vector{kMixco, kZona});
}

TEST_CASE(
    "a follower gets everything of its domain, once the workers are known") {
  World it;
  it.Submit("ours", kMixco);
  it.Submit("theirs", kZona);
  it.Follow();
  it.time.RunFor(Duration(5'000));
  CHECK(it.events.empty());
  it.feed.SetVms(
      {WorkerVm("w2", kMixco), WorkerVm("w1", kMixco), WorkerVm("w3", kZona)});
  it.Settle(1);
  const auto& snapshot = it.EventAt<scheduler::FeedSnapshot>(0);
  REQUIRE(snapshot.jobs.size() == 1);
  CHECK(snapshot.jobs[0].name.str() == "ours");
  REQUIRE(snapshot.workers.size() == 2);
  CHECK(snapshot.workers[0].name.str() == "w1");
  CHECK(snapshot.configuration.shares.size() == 1);
}

TEST_CASE("what is accepted, cancelled, drained and moved is told in order") {
  World it;
  it.feed.SetVms({WorkerVm("w1", kMixco)});
  it.Follow();
  it.Settle(1);
  it.Submit("plan", kMixco);
  it.Submit("other", kZona);
  it.Settle(2);
  CHECK(it.EventAt<scheduler::JobAccepted>(1).job.name.str() == "plan");
  it.Change({ResourceKind::kJob, "plan"}, config::Remove{});
  it.Settle(4);
  CHECK(it.EventAt<scheduler::JobCancelled>(3).job.str() == "plan");
  it.Change({ResourceKind::kDrain, "w1"}, config::PutSpec{config::DrainSpec{}});
  it.Settle(5);
  CHECK(it.EventAt<scheduler::WorkersChanged>(4).workers.at(0).leaving);
  config::OrganisationSpec spec;
  spec.weight = 3;
  it.Change({ResourceKind::kOrganisation, "fianza"}, config::PutSpec{spec});
  it.Settle(6);
  const auto& changed = it.EventAt<scheduler::ConfigurationChanged>(5);
  CHECK(changed.configuration.shares.at(0).weight == 3);
  // The same list in another order, and a worker elsewhere, are no news.
  it.feed.SetVms({WorkerVm("w9", kZona), WorkerVm("w1", kMixco)});
  it.Settle(6);
}

/// Writes a job and the guarantee that it needs in another process, and hands
/// over only the job, as a peer may.
void HearOfJobOnly(World& it) {
  fakes::FakeProcess process{it.time};
  fakes::FakeTableView table{it.store, process};
  config::Mirror mirror{{}, {process, table}};
  config::ChangeWriter writer{{}, {process, table, mirror}};
  mirror.Start();
  it.time.RunFor(Duration(3'000));
  int accepted = 0;
  const auto submit = [&](const ResourceRef& ref, config::Spec spec) {
    writer.Submit({{{ref, config::Anyway{}, config::PutSpec{std::move(spec)}}},
                   false,
                   "t"},
                  [&](const config::ChangeOutcome&) { ++accepted; });
    const int wanted = accepted + 1;
    REQUIRE(
        it.time.RunUntil([&] { return accepted == wanted; }, Duration(60'000)));
  };
  config::OrganisationSpec organisation;
  organisation.weight = 3;
  submit({ResourceKind::kOrganisation, "fianza"}, organisation);
  submit({ResourceKind::kJob, "plan"}, JobIn(kMixco));
  const auto entry = mirror.EntryAt(config::LogId::kJobs, 1);
  REQUIRE(entry != nullptr);
  it.mirror.TakeCommitted(config::LogId::kJobs, {entry});
}

TEST_CASE("a job is told after the configuration that it was accepted with") {
  World it({.poll = Duration(60'000)});
  it.feed.SetVms({WorkerVm("w1", kMixco)});
  it.Follow();
  it.Settle(1);
  HearOfJobOnly(it);
  it.Settle(3);
  const auto& changed = it.EventAt<scheduler::ConfigurationChanged>(1);
  CHECK(changed.configuration.shares.at(0).weight == 3);
  CHECK(it.EventAt<scheduler::JobAccepted>(2).job.name.str() == "plan");
}

TEST_CASE("a job that is heard of in an outage of the table is told in it") {
  World it({.poll = Duration(60'000)});
  it.feed.SetVms({WorkerVm("w1", kMixco)});
  it.Follow();
  it.Settle(1);
  HearOfJobOnly(it);
  it.store.SetDown(true);
  it.Settle(2);
  CHECK(it.EventAt<scheduler::JobAccepted>(1).job.name.str() == "plan");
}

TEST_CASE(
    "a job whose end was asked for before is told with its cancellation") {
  World it;
  it.feed.SetVms({});
  it.Submit("plan", kMixco);
  it.Change({ResourceKind::kJob, "plan"}, config::Remove{});
  it.Follow();
  it.Settle(2);
  CHECK(it.EventAt<scheduler::FeedSnapshot>(0).jobs.size() == 1);
  CHECK(it.EventAt<scheduler::JobCancelled>(1).job.str() == "plan");
}

TEST_CASE("nothing is told after Unfollow, nor before the table answers") {
  World it;
  it.feed.SetVms({});
  it.store.SetDown(true);
  const auto id = it.Follow();
  it.time.RunFor(Duration(10'000));
  CHECK(it.events.empty());
  it.store.SetDown(false);
  it.Settle(1);
  it.feed.Unfollow(id);
  it.Submit("plan", kMixco);
  it.Settle(1);
}

TEST_CASE("what an owner records reaches the log, in the end the newest") {
  World it;
  it.Submit("plan", kMixco);
  it.Record("plan", JobPhase::kStarting, 0);
  it.time.RunFor(Duration(10));
  it.Record("plan", JobPhase::kRunning, 1);
  CHECK(it.time.RunUntil([&] { return it.Phase("plan") == JobPhase::kRunning; },
                         Duration(10'000)));
  it.time.RunFor(Duration(10'000));
  CHECK(it.Phase("plan") == JobPhase::kRunning);
  CHECK(it.publisher.waiting() == 0);
}

TEST_CASE("a status recorded before an outage is told after it") {
  World it;
  it.Submit("plan", kMixco);
  it.Record("plan", JobPhase::kFinished, 0);
  it.time.RunFor(Duration(12));
  it.store.SetDown(true);
  it.time.RunFor(Duration(30'000));
  it.store.SetDown(false);
  CHECK(
      it.time.RunUntil([&] { return it.Phase("plan") == JobPhase::kFinished; },
                       Duration(20'000)));
}

TEST_CASE("what a predecessor recorded and did not tell is told on reading") {
  World it;
  it.Submit("plan", kMixco);
  const auto key = scheduler::StatusKey(base::JobName("plan"));
  config::JobStatus status;
  status.phase = JobPhase::kFinished;
  it.store.Apply(
      {{{key, 0}},
       {{key, scheduler::EncodeStatusRow({base::AttemptId("w"), status})}}});
  it.tap.Read(key, [](const store::ReadResult&) {});
  CHECK(
      it.time.RunUntil([&] { return it.Phase("plan") == JobPhase::kFinished; },
                       Duration(10'000)));
}

TEST_CASE("an older status offered late does not undo a newer one") {
  World it;
  it.Submit("plan", kMixco);
  it.Record("plan", JobPhase::kStarting, 0);
  it.time.RunFor(Duration(20));
  it.Record("plan", JobPhase::kFinished, 1);
  it.time.RunFor(Duration(5'000));
  REQUIRE(it.Phase("plan") == JobPhase::kFinished);
  config::JobStatus old;
  old.phase = JobPhase::kStarting;
  it.publisher.Offer(base::JobName("plan"), old, 1);
  it.time.RunFor(Duration(20'000));
  CHECK(it.Phase("plan") == JobPhase::kFinished);
  CHECK(it.publisher.waiting() == 0);
}

/// A VM list that a test answers.
class ScriptedVmList final : public store::VmList {
 public:
  void List(std::function<void(store::VmListResult)> done) override {
    ++asked;
    done(result);
  }

  int asked = 0;
  store::VmListResult result = store::ReadFailed{"down"};
};

TEST_CASE("a VM list that cannot be read changes nothing and is asked again") {
  fakes::VirtualTime time;
  ScriptedVmList list;
  std::vector<std::size_t> sizes;
  VmPoller poller(time, list, Duration(100),
                  [&](const auto& vms) { sizes.push_back(vms.size()); });
  poller.Start();
  time.RunFor(Duration(350));
  CHECK(list.asked == 4);
  CHECK(sizes.empty());
  list.result = std::vector<store::Vm>(2);
  time.RunFor(Duration(100));
  CHECK(sizes == std::vector<std::size_t>{2});
}

}  // namespace
}  // namespace lapishatch::scheduler_main
