#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fakes/fake_row_store.h"
#include "fakes/virtual_time.h"
#include "jobs/jobs.h"

namespace lapishatch::jobs {
namespace {

using base::Duration;
using base::JobName;
using base::ServiceName;
using fakes::StoreFault;

const ServiceName kHome("home-service");
const ServiceName kSecond("second");
const ServiceName kThird("third");

/// Two processes whose configurations send one queue to different services.
struct MovedQueueFixture {
  MovedQueueFixture() {
    for (auto* it : {&old_process, &new_process}) it->Prepare(kHome);
    RunFor(100);
  }

  void RunFor(int ms) { time.RunFor(Duration(ms)); }

  static Job MakeJob(const ServiceName& service) {
    Job out;
    out.name = JobName("0123456789abcdef");
    out.spec = "spec";
    out.queue = QueueName("plans");
    out.service = service;
    out.steps.resize(1);
    return out;
  }

  SubmitResult Submit(JobService& process, const ServiceName& service) {
    // The answer may come after this call.
    const auto out = std::make_shared<std::optional<SubmitResult>>();
    process.Submit(MakeJob(service),
                   [out](const SubmitResult& it) { *out = it; });
    RunFor(4'000);
    return out->value_or(JobNotAccepted{"no answer"});
  }

  StateResult ReadState(JobService& process, const ServiceName& service) {
    // The answer may come after this call.
    const auto out = std::make_shared<std::optional<StateResult>>();
    process.ReadState(service, MakeJob(service).name,
                      [out](const StateResult& it) { *out = it; });
    RunFor(100);
    return out->value_or(JobStoreUnavailable{"no answer"});
  }

  CancelResult Cancel(JobService& process, const ServiceName& service) {
    // The answer may come after this call.
    const auto out = std::make_shared<std::optional<CancelResult>>();
    process.Cancel(service, MakeJob(service).name,
                   [out](const CancelResult& it) { *out = it; });
    RunFor(100);
    return out->value_or(JobStoreUnavailable{"no answer"});
  }

  /// Writes the job's state as the owner of `service` does.
  void Record(const ServiceName& service, JobState state) {
    const auto name = MakeJob(service).name;
    store.Put(std::string(kProgressTable), ProgressPartition(service, name),
              name.str(), EncodeProgress({state, {}}));
  }

  /// The services that have the job's request.
  std::vector<ServiceName> ServicesWithRequest() const {
    std::vector<ServiceName> out;
    for (const auto& it : {kHome, kSecond, kThird}) {
      const auto name = MakeJob(it).name;
      const auto value = store.ValueOf(std::string(kRequestTable),
                                       RequestPartition(it, name), name.str());
      if (value.empty()) continue;
      const auto job = DecodeJob(value);
      REQUIRE(job);
      CHECK(job->service == it);
      out.push_back(it);
    }
    return out;
  }

  fakes::VirtualTime time;
  fakes::FakeRowStore store{time};
  JobService old_process{store.For("old")};
  JobService new_process{store.For("new")};
};

bool IsAccepted(const SubmitResult& it) {
  return std::holds_alternative<JobAccepted>(it);
}

/// Guards against a 410 for an accepted job whose queue was sent elsewhere.
TEST_CASE("a job is not lost when its queue is sent to another service") {
  const auto [from, to] =
      GENERATE(std::pair(kHome, kSecond), std::pair(kSecond, kHome),
               std::pair(kSecond, kThird));
  const auto state = GENERATE(JobState::kQueued, JobState::kRunning,
                              JobState::kCompleted, JobState::kFailed);
  MovedQueueFixture fixture;
  REQUIRE(IsAccepted(fixture.Submit(fixture.old_process, from)));
  if (state != JobState::kQueued) fixture.Record(from, state);
  for (const auto& service : {to, from, to}) {
    for (auto* process : {&fixture.old_process, &fixture.new_process}) {
      const auto result = fixture.ReadState(*process, service);
      REQUIRE(std::holds_alternative<JobState>(result));
      CHECK(std::get<JobState>(result) == state);
    }
  }
}

/// Guards against a cancellation that is answered 410 while the job runs on.
TEST_CASE("a job is cancelled after its queue is sent to another service") {
  const auto [from, to] =
      GENERATE(std::pair(kHome, kSecond), std::pair(kSecond, kHome),
               std::pair(kSecond, kThird));
  MovedQueueFixture fixture;
  REQUIRE(IsAccepted(fixture.Submit(fixture.old_process, from)));
  const auto result = fixture.Cancel(fixture.new_process, to);
  CHECK(std::holds_alternative<JobCancelled>(result));
  const auto name = MovedQueueFixture::MakeJob(from).name;
  CHECK(fixture.store.ValueOf(std::string(kRequestTable),
                              RequestPartition(from, name),
                              name.str() + std::string(kCancelSuffix)) == "{}");
}

TEST_CASE("an unknown job is not found under any service") {
  MovedQueueFixture fixture;
  for (const auto& it : {kHome, kSecond}) {
    CHECK(std::holds_alternative<NoSuchJob>(
        fixture.ReadState(fixture.new_process, it)));
    CHECK(std::holds_alternative<NoSuchJob>(
        fixture.Cancel(fixture.new_process, it)));
  }
}

/// Guards against a repeated request that runs as a second job elsewhere.
TEST_CASE("a request repeated after its queue was moved stays one job") {
  const auto [from, to] =
      GENERATE(std::pair(kHome, kSecond), std::pair(kSecond, kHome),
               std::pair(kSecond, kThird));
  MovedQueueFixture fixture;
  for (const auto& service : {from, to, from, kThird}) {
    for (auto* process : {&fixture.old_process, &fixture.new_process}) {
      CHECK(IsAccepted(fixture.Submit(*process, service)));
    }
  }
  CHECK(fixture.ServicesWithRequest() == std::vector{from});
}

/// Guards against two services that accept one name at the same time.
TEST_CASE("processes with different configurations accept a name once") {
  const auto [from, to] =
      GENERATE(std::pair(kHome, kSecond), std::pair(kSecond, kHome),
               std::pair(kSecond, kThird));
  const int head_start_ms = GENERATE(range(-24, 25, 2));
  const auto fault =
      GENERATE(StoreFault::kNone, StoreFault::kAnswersLost, StoreFault::kLate);
  MovedQueueFixture fixture;
  fixture.store.SetFault("old", fault);
  int accepted = 0;
  const auto count = [&](const SubmitResult& it) {
    if (IsAccepted(it)) ++accepted;
  };
  const auto submit_old = [&, service = from] {
    fixture.old_process.Submit(MovedQueueFixture::MakeJob(service), count);
  };
  const auto submit_new = [&, service = to] {
    fixture.new_process.Submit(MovedQueueFixture::MakeJob(service), count);
  };
  if (head_start_ms >= 0) {
    submit_old();
    fixture.RunFor(head_start_ms);
    submit_new();
  } else {
    submit_new();
    fixture.RunFor(-head_start_ms);
    submit_old();
  }
  fixture.RunFor(12'000);
  CHECK(accepted >= 1);
  CHECK(fixture.ServicesWithRequest().size() == 1);
  // The repeat that follows a lost answer does not change the decision.
  const auto decided = fixture.ServicesWithRequest();
  fixture.store.SetFault("old", StoreFault::kNone);
  CHECK(IsAccepted(fixture.Submit(fixture.old_process, kThird)));
  CHECK(fixture.ServicesWithRequest() == decided);
}

/// Guards against a reservation that blocks its name after a failure.
TEST_CASE("a repeated request completes a reservation without a request") {
  const auto service = GENERATE(kHome, kSecond, kThird);
  MovedQueueFixture fixture;
  const auto name = MovedQueueFixture::MakeJob(kSecond).name;
  fixture.store.Put(std::string(kIndexTable), RequestPartition(kHome, name),
                    name.str(), EncodeIndexEntry(kSecond));
  CHECK(std::holds_alternative<NoSuchJob>(
      fixture.ReadState(fixture.new_process, service)));
  CHECK(IsAccepted(fixture.Submit(fixture.new_process, service)));
  CHECK(fixture.ServicesWithRequest() == std::vector{kSecond});
  CHECK(std::holds_alternative<JobState>(
      fixture.ReadState(fixture.new_process, service)));
}

/// Guards against an answer that accepts a job whose service is unknown.
TEST_CASE("a job is not accepted while the index cannot be read or decoded") {
  MovedQueueFixture fixture;
  const auto name = MovedQueueFixture::MakeJob(kSecond).name;
  fixture.store.Put(std::string(kIndexTable), RequestPartition(kHome, name),
                    name.str(), "malformed");
  for (const auto& it : {kHome, kSecond}) {
    CHECK(std::holds_alternative<JobNotAccepted>(
        fixture.Submit(fixture.new_process, it)));
    CHECK(std::holds_alternative<JobStoreUnavailable>(
        fixture.ReadState(fixture.new_process, it)));
  }
  CHECK(fixture.ServicesWithRequest().empty());
}

/// Guards against processes that disagree on the home service of a new store.
TEST_CASE("processes that start at the same time agree on the home service") {
  fakes::VirtualTime time;
  fakes::FakeRowStore store(time);
  JobIndex one(store.For("one"));
  JobIndex two(store.For("two"));
  std::vector<ServiceName> homes;
  const auto add = [&homes](const JobIndex::HomeResult& it) {
    if (const auto* home = std::get_if<ServiceName>(&it)) {
      homes.push_back(*home);
    }
  };
  one.FindHome(kHome, add);
  two.FindHome(kSecond, add);
  time.RunFor(Duration(200));
  REQUIRE(homes.size() == 2);
  CHECK(homes[0] == homes[1]);
}

/// Guards against higher prices: with one service, nothing is looked up twice.
TEST_CASE("the calls to the store that a request costs are bounded") {
  struct Cost {
    int transactions = 0;
    int reads = 0;
    bool operator==(const Cost&) const = default;
  };
  MovedQueueFixture fixture;
  const auto cost_of = [&fixture](auto call) {
    const int transactions = fixture.store.transactions();
    const int reads = fixture.store.reads();
    call();
    return Cost{fixture.store.transactions() - transactions,
                fixture.store.reads() - reads};
  };
  auto& process = fixture.new_process;
  const auto from = GENERATE(kHome, kSecond);
  const auto read = [&](const ServiceName& service) {
    return cost_of([&] { fixture.ReadState(process, service); });
  };
  CHECK(cost_of([&] { fixture.Submit(process, from); }) ==
        Cost{from == kHome ? 1 : 2, 0});
  CHECK(read(from) == Cost{0, 2});
  CHECK(read(kThird) == Cost{0, 5});
  CHECK(cost_of([&] { fixture.Submit(process, from); }) ==
        Cost{from == kHome ? 1 : 2, 0});
  CHECK(cost_of([&] { fixture.Cancel(process, from); }) == Cost{1, 1});
  CHECK(cost_of([&] { fixture.Cancel(process, kThird); }) == Cost{1, 3});
  fixture.Record(from, JobState::kRunning);
  CHECK(read(from) == Cost{0, 1});
  CHECK(read(kThird) == Cost{0, 4});
}

/// Guards against a cancelled name that another service accepts afterwards.
TEST_CASE("a name that was cancelled in advance is kept by the home service") {
  MovedQueueFixture fixture;
  const auto cancelled_at = GENERATE(kHome, kSecond, kThird);
  const auto reads = fixture.store.reads();
  const auto transactions = fixture.store.transactions();
  CHECK(std::holds_alternative<NoSuchJob>(
      fixture.Cancel(fixture.old_process, cancelled_at)));
  CHECK(fixture.store.reads() - reads == (cancelled_at == kHome ? 2 : 4));
  CHECK(fixture.store.transactions() - transactions == 1);
  CHECK(std::holds_alternative<JobAccepted>(
      fixture.Submit(fixture.new_process, kSecond)));
  const auto name = MovedQueueFixture::MakeJob(kSecond).name;
  CHECK_FALSE(fixture.store
                  .ValueOf(std::string(kRequestTable),
                           RequestPartition(kHome, name), name.str())
                  .empty());
  CHECK_FALSE(fixture.store
                  .ValueOf(std::string(kRequestTable),
                           RequestPartition(kHome, name), CancelKey(name))
                  .empty());
  CHECK(fixture.store.rows_in(std::string(kRequestTable)) == 2);
}

/// Guards against a reservation whose request is stored after its cancelling.
TEST_CASE("a reserved name is cancelled at the service that accepts it") {
  MovedQueueFixture fixture;
  const auto name = MovedQueueFixture::MakeJob(kSecond).name;
  fixture.store.Put(std::string(kIndexTable), RequestPartition(kHome, name),
                    name.str(), EncodeIndexEntry(kSecond));
  CHECK(std::holds_alternative<NoSuchJob>(
      fixture.Cancel(fixture.old_process, kHome)));
  CHECK_FALSE(fixture.store
                  .ValueOf(std::string(kRequestTable),
                           RequestPartition(kSecond, name), CancelKey(name))
                  .empty());
}

/// Guards against an answer 410 that the store has not confirmed.
TEST_CASE("a cancelling that is not stored is not answered as absent") {
  MovedQueueFixture fixture;
  for (const auto fault : {StoreFault::kBusy, StoreFault::kSilent}) {
    fixture.store.SetFaultForTransactions(fault);
    CHECK(std::holds_alternative<JobStoreUnavailable>(
        fixture.Cancel(fixture.old_process, kHome)));
    fixture.store.SetFaultForTransactions(StoreFault::kNone);
    fixture.RunFor(3'000);
  }
}

/// Guards against jobs that are missing from the count of their queue.
TEST_CASE("waiting jobs are counted over all services of a queue") {
  MovedQueueFixture fixture;
  const QueueName queue("plans");
  const auto put = [&fixture](const ServiceName& service,
                              const WaitingJobCounts& counts) {
    fixture.store.Put(
        std::string(kWaitingCountsTable), WaitingCountsPartition(service),
        std::string(kWaitingCountsKey), EncodeWaitingCounts(counts));
  };
  put(kHome, {{queue, 3}, {QueueName("other"), 7}});
  put(kSecond, {{queue, 2}});
  std::optional<WaitingCountResult> result;
  const auto count = [&] {
    result.reset();
    fixture.new_process.ReadWaitingCount(
        {kHome, kSecond, kThird}, queue,
        [&result](const WaitingCountResult& it) { result = it; });
    fixture.RunFor(2'000);
    REQUIRE(result);
  };
  count();
  CHECK(std::get<int>(*result) == 5);
  fixture.store.Put(std::string(kWaitingCountsTable),
                    WaitingCountsPartition(kThird),
                    std::string(kWaitingCountsKey), "malformed");
  count();
  CHECK(std::holds_alternative<JobStoreUnavailable>(*result));
}

TEST_CASE("the service of a request partition is read from its name") {
  for (const auto& it : {kHome, ServiceName("a.r7"), ServiceName(".r")}) {
    for (const auto& partition : RequestPartitions(it)) {
      CHECK(ServiceOfRequestPartition(partition) == it);
    }
  }
  for (const auto* it : {"", "home", "a.", "a.r", "a.rx", ".r1", "a.5"}) {
    CHECK_FALSE(ServiceOfRequestPartition(it));
  }
}

}  // namespace
}  // namespace lapishatch::jobs
