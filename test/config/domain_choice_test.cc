#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "config_world.h"

namespace lapishatch::config {
namespace {

const base::DomainName kMixco("mixco");
const base::DomainName kNueva("villa-nueva");
const base::DomainName kZona("zona-10");
const base::JobName kJob("j");

/// Four workers of eight accelerators in each of three domains.
struct Hardware {
  Hardware() {
    for (const auto& domain : {kMixco, kNueva, kZona}) {
      std::vector<placement::WorkerSpec> list;
      list.reserve(4);
      for (int i = 0; i < 4; ++i) {
        list.push_back({base::WorkerName(domain.str() + std::to_string(i)),
                        base::RackName("r"), 8, 64, 262'144});
      }
      capacity.SetWorkers(domain, list);
    }
  }

  WorkerCapacity capacity;
};

Spec Guaranteed(const std::map<base::DomainName, int>& blocks) {
  OrganisationSpec spec;
  for (const auto& [domain, count] : blocks) {
    spec.guarantees.push_back(
        {domain, {8, placement::Adjacency::kWorker}, count});
  }
  return spec;
}

/// Runs only within its organisation's guarantee.
Spec OnceIn(const std::string& organisation, const base::DomainName& domain) {
  auto spec = std::get<JobSpec>(JobOf(organisation));
  spec.borrow = false;
  spec.failure_domain = domain;
  return spec;
}

base::DomainName PinOf(const ChangeOutcome& outcome) {
  const auto* accepted = std::get_if<ChangesAccepted>(&outcome);
  REQUIRE(accepted != nullptr);
  return accepted->changes.back().resource->pinned_domain;
}

TEST_CASE("a guarantee with room goes before a domain that has less to do") {
  const DomainOffer idle{kZona, 100, 0, false, 0, 0};
  CHECK(ChooseDomain(kJob, 8, {idle, {kMixco, 100, 16, true, 8, 90}}) ==
        kMixco);
  // The least used guarantee, by share and not by number.
  CHECK(ChooseDomain(kJob, 8,
                     {{kMixco, 100, 16, true, 8, 8},
                      {kNueva, 100, 64, true, 16, 90},
                      idle}) == kNueva);
  // Used up, or of another shape: the least demand per accelerator.
  CHECK(ChooseDomain(kJob, 8, {idle, {kMixco, 100, 16, true, 16, 16}}) ==
        kZona);
  CHECK(ChooseDomain(kJob, 8,
                     {{kZona, 100, 0, false, 0, 20},
                      {kMixco, 400, 64, false, 0, 40}}) == kMixco);
  // Only there at all, so used up or not.
  CHECK(ChooseDomain(kJob, 8, {{kMixco, 100, 8, true, 800, 900}}) == kMixco);
  CHECK(ChooseDomain(kJob, 8, {}).empty());
}

TEST_CASE("equal domains share jobs by name, whatever their order") {
  std::set<base::DomainName> chosen;
  for (int i = 0; i < 100; ++i) {
    const base::JobName job("j" + std::to_string(i));
    const DomainOffer a{kMixco, 100, 0, false, 0, 10};
    const DomainOffer b{kZona, 50, 0, false, 0, 5};
    const auto domain = ChooseDomain(job, 8, {a, b});
    CHECK(domain == ChooseDomain(job, 8, {b, a}));
    chosen.insert(domain);
  }
  CHECK(chosen.size() == 2);
}

TEST_CASE("the pin stands in the record, and every process reads the same") {
  const Hardware hardware;
  ConfigWorld world;
  world.capacity = &hardware.capacity;
  auto& a = world.Add();
  auto& b = world.Add();
  REQUIRE(IsAccepted(
      a.Change(Put(Organisation("o"), 0, Guaranteed({{kMixco, 1}})))));
  const auto submitted = a.Change(Put(Job("j"), 0, OnceIn("o", {})));
  CHECK(PinOf(submitted) == kMixco);
  CHECK(
      std::get<JobSpec>(a.mirror.Find(Job("j"))->spec).failure_domain.empty());
  REQUIRE(world.RunUntil([&] { return b.mirror.Find(Job("j")) != nullptr; }));
  CHECK(*b.mirror.Find(Job("j")) == *a.mirror.Find(Job("j")));
  auto& late = world.Add();
  REQUIRE(world.RunUntil([&] { return late.IsLoaded(); }));
  CHECK(late.mirror.Find(Job("j"))->pinned_domain == kMixco);

  // Where the guarantee is now does not matter to a job that was accepted.
  REQUIRE(IsAccepted(
      b.Change(Put(Organisation("o"), 1, Guaranteed({{kZona, 1}})))));
  ChangeSet again;
  again.changes.push_back(
      {Job("j"), MustBeNewOrSame{}, PutSpec{OnceIn("o", {})}});
  CHECK(PinOf(b.Change(again)) == kMixco);
  REQUIRE(IsAccepted(b.Change(Delete(Job("j"), 1))));
  CHECK(b.mirror.Find(Job("j"))->pinned_domain == kMixco);
  CHECK(PinOf(b.Change(Put(Job("k"), 0, OnceIn("o", {})))) == kZona);
  CHECK(PinOf(b.Change(Put(Job("l"), 0, OnceIn("o", kZona)))).empty());
}

TEST_CASE("entries that race fill guarantees evenly, and never twice") {
  const Hardware hardware;
  ConfigWorld world;
  world.capacity = &hardware.capacity;
  std::vector<ConfigWorld::Process*> entries;
  entries.reserve(4);
  for (int i = 0; i < 4; ++i) entries.push_back(&world.Add());
  REQUIRE(IsAccepted(entries[0]->Change(
      Put(Organisation("o"), 0, Guaranteed({{kMixco, 2}, {kNueva, 4}})))));
  std::map<base::DomainName, int> pinned;
  for (int i = 0; i < 6; ++i) {
    entries[i % 4]->writer.Submit(
        Put(Job("j" + std::to_string(i)), 0, JobOf("o")),
        [&](const ChangeOutcome& it) { ++pinned[PinOf(it)]; });
  }
  REQUIRE(world.RunUntil(
      [&] { return pinned[kMixco] + pinned[kNueva] + pinned[kZona] == 6; }));
  CHECK(pinned[kMixco] == 2);
  CHECK(pinned[kNueva] == 4);
  // What ends makes room again.
  JobStatus ended;
  ended.phase = JobPhase::kFinished;
  const auto jobs = [&] {
    return entries[0]->mirror.List(ResourceKind::kJob).resources;
  };
  REQUIRE(world.RunUntil([&] { return jobs().size() == 6; }));
  for (const auto& it : jobs()) {
    if (it->pinned_domain != kMixco) continue;
    ChangeSet set;
    set.changes.push_back({it->ref, Anyway{}, PutStatus{ended, std::nullopt}});
    REQUIRE(IsAccepted(entries[1]->Change(set)));
  }
  CHECK(PinOf(entries[2]->Change(Put(Job("next"), 0, JobOf("o")))) == kMixco);
}

TEST_CASE("jobs of one apply are pinned one after the other") {
  const Hardware hardware;
  ConfigWorld world;
  world.capacity = &hardware.capacity;
  auto& a = world.Add();
  ChangeSet set;
  for (const auto* name : {"j1", "j2"}) {
    set.changes.push_back(
        {Job(name), MustBeNewOrSame{}, PutSpec{OnceIn("o", {})}});
  }
  set.changes.push_back({Organisation("o"), MustBeNewOrSame{},
                         PutSpec{Guaranteed({{kMixco, 1}, {kZona, 1}})}});
  REQUIRE(IsAccepted(a.Change(set)));
  const auto first = a.mirror.Find(Job("j1"))->pinned_domain;
  const auto second = a.mirror.Find(Job("j2"))->pinned_domain;
  CHECK(std::set{first, second} == std::set{kMixco, kZona});
}

TEST_CASE("a job that no domain could hold is refused with each reason") {
  const Hardware hardware;
  ConfigWorld world;
  world.capacity = &hardware.capacity;
  auto& a = world.Add();
  REQUIRE(IsAccepted(a.Change(Put(Organisation("o"), 0, Weight(1)))));
  const auto outcome = a.Change(Put(Job("j"), 0, OnceIn("o", {})));
  REQUIRE(RefusalOf(outcome) == RefusalReason::kInvalid);
  const auto& problem = std::get<ChangesRefused>(outcome).problems.list.front();
  CHECK(problem.path == "spec.gang");
  for (const auto& domain : {kMixco, kNueva, kZona}) {
    CHECK(problem.detail.find(domain.str()) != std::string::npos);
  }
  CHECK(a.mirror.Find(Job("j")) == nullptr);
}

TEST_CASE("a record from before there were pins reads as it did") {
  Resource job;
  job.ref = Job("j");
  job.spec = JobOf("o");
  const auto text = boost::json::serialize(ToStored(job));
  CHECK(text.find("pinned_domain") == std::string::npos);
  CHECK(ParseStored(text).value() == job);
  CHECK(DomainOf(job).empty());
  job.pinned_domain = kZona;
  CHECK(ParseStored(boost::json::serialize(ToStored(job))).value() == job);
  CHECK(ToJson(job).at("status").at("domain") == "zona-10");
}

}  // namespace
}  // namespace lapishatch::config
