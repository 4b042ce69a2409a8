#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fakes/fakes.h"
#include "matrix/internal/fault_injector.h"
#include "matrix/internal/runner_breaks.h"
#include "matrix/world.h"
#include "routing/routing.h"

namespace lapishatch::matrix {
namespace {

using internal::BrokenRunnerClient;
using internal::FaultInjector;

constexpr std::size_t kEntries = 3;
constexpr int kRunners = 3;
constexpr base::Duration kDeadline{3'000};
/// A caller that has heard nothing for so long asks another entry.
constexpr base::Duration kCallerPatience{4'000};
constexpr base::Duration kReplacedAfter{1'000};
constexpr base::Duration kKnownGoneAfter{3'000};
constexpr base::Duration kRunnerLeavesAt{2'000};
constexpr base::Duration kLeavingGrace{5'000};
constexpr base::Duration kWholeRun{240'000};
constexpr base::Duration kLastTryBefore{200'000};
constexpr int kUnknownsUntilCallerStops = 3;
/// The wall clock of all entries at the start of virtual time.
constexpr std::int64_t kUnixMsAtStart = 1'700'000'000'000;

const base::OrganisationName& Organisation() {
  static const base::OrganisationName kName("bertolini");
  return kName;
}

const base::ServiceName& Service() {
  static const base::ServiceName kName("plans");
  return kName;
}

http::Endpoint RunnerEndpoint(int i) {
  return {"10.0.0.1", static_cast<std::uint16_t>(8000 + i)};
}

class Organisations final : public routing::OrganisationDirectory {
 public:
  std::optional<routing::OrganisationRules> FindOrganisation(
      const base::OrganisationName& name) const override {
    if (name != Organisation()) return std::nullopt;
    return routing::OrganisationRules();
  }

  std::optional<routing::ServiceRules> FindService(
      const base::ServiceName& name) const override {
    if (name != Service()) return std::nullopt;
    return routing::ServiceRules();
  }
};

class RunnerList final : public routing::RunnerDirectory {
 public:
  std::vector<routing::RunnerEntry> Runners(
      const base::ServiceName& /*service*/) const override {
    std::vector<routing::RunnerEntry> out;
    out.reserve(kRunners);
    for (int i = 0; i < kRunners; ++i) {
      out.push_back({base::RunnerName("runner-" + std::to_string(i)),
                     RunnerEndpoint(i), base::DomainName("caxias-hall"),
                     i == 0 && first_leaves_});
    }
    return out;
  }

  void FirstLeaves() { first_leaves_ = true; }

 private:
  bool first_leaves_ = false;
};

class Entries final : public routing::EntryDirectory {
 public:
  bool IsGone(const base::Incarnation& entry) const override {
    return gone_.contains(entry);
  }

  int LiveEntries() const override { return kEntries; }

  void Gone(const base::Incarnation& entry) { gone_.emplace(entry, true); }

 private:
  std::unordered_map<base::Incarnation, bool> gone_;
};

/// A request that its caller repeats, at one entry after the other, until it
/// knows.
struct Caller {
  std::string body;
  /// Empty for an idempotent request.
  std::string key;
  std::size_t entry = 0;
  int tries = 0;
  int unknowns = 0;
  /// Sendings that were refused as not run.
  std::vector<base::RequestId> not_run = {};
  /// Some try ended without a word that the work was not run.
  bool not_run_is_not_certain = false;
  bool settled = false;
  bool answered = false;
};

/// One life of one entry.
struct Entry {
  Entry(fakes::VirtualTime& time, fakes::FakeTable& fake_table,
        fakes::FakeObjects& fake_objects, fakes::FakeRunners& fake_runners,
        Break broken)
      : incarnation(base::MakeUniqueText("entry-")),
        process(time),
        table(fake_table, process),
        objects(fake_objects, process),
        reached_runners(fake_runners, process),
        runners(reached_runners, broken) {}

  base::Incarnation incarnation;
  fakes::FakeProcess process;
  fakes::FakeTableView table;
  fakes::FakeObjectsView objects;
  fakes::FakeRunnersView reached_runners;
  BrokenRunnerClient runners;
  bool disturbed = false;
  std::unique_ptr<routing::RequestPath> path;
};

using EntryPtr = std::shared_ptr<Entry>;

/// Callers, three entries, three runners and the table.
class RequestWorld {
 public:
  RequestWorld(FaultPlan plan, WorldOptions options)
      : broken_(options.broken),
        trace_(options.trace),
        table_(time_),
        runners_(time_),
        injector_(time_, table_, std::move(plan)) {
    if (broken_ == Break::kTableIgnoresConditions) table_.IgnoreConditions();
    for (int i = 0; i < kRunners; ++i) runners_.Add(RunnerEndpoint(i));
    for (std::size_t i = 0; i < kEntries; ++i) StartEntry(i);
  }

  WorldResult Run() {
    time_.After(base::Duration(100), [this] { FirstRequests(); });
    time_.After(kRunnerLeavesAt, [this] { RunnerLeaves(); });
    time_.After(base::Duration(20'000), [this] { ReuseKey(); });
    time_.RunFor(kWholeRun);
    CheckAll();
    return {injector_.done(), std::move(violations_)};
  }

 private:
  void StartEntry(std::size_t i) {
    auto entry =
        std::make_shared<Entry>(time_, table_, objects_, runners_, broken_);
    entry->table.SetCommitFault(
        [this, i](const store::Transaction& it) { return OnCommit(i, it); });
    entry->reached_runners.SetFault(
        [this, i](const http::Endpoint& to, const backends::RunnerRequest& it) {
          return OnDispatch(i, to, it);
        });
    routing::RequestPathParts parts{{&entry->process},
                                    entry->table,
                                    entry->objects,
                                    entry->runners,
                                    organisations_,
                                    runner_directory_,
                                    entries_,
                                    metrics_,
                                    entry->incarnation,
                                    base::DomainName("caxias-hall"),
                                    [this] { return UnixMs(); },
                                    i + 1};
    entry->path = std::make_unique<routing::RequestPath>(
        parts, routing::RequestPathOptions());
    lives_[i] = std::move(entry);
  }

  std::int64_t UnixMs() const {
    return kUnixMsAtStart + time_.Now().time_since_epoch().count();
  }

  void KillEntry(std::size_t i) {
    auto entry = lives_[i];
    entry->disturbed = true;
    entry->process.Kill();
    // The object is destroyed outside of its own callback.
    time_.Post([entry] { entry->path.reset(); });
    time_.After(kKnownGoneAfter,
                [this, id = entry->incarnation] { entries_.Gone(id); });
    time_.After(kReplacedAfter, [this, i] { StartEntry(i); });
  }

  void PauseEntry(std::size_t i) {
    auto entry = lives_[i];
    entry->disturbed = true;
    entry->process.Pause();
    time_.After(FaultInjector::kPause, [entry] { entry->process.Resume(); });
  }

  fakes::TableFault OnCommit(std::size_t i,
                             const store::Transaction& transaction) {
    const auto step = StepOf(transaction);
    if (!step) return injector_.TableFaultNow();
    const auto fault = injector_.Reached(*step);
    if (!fault) return injector_.TableFaultNow();
    return injector_.OnTableStep(*fault, HooksOf(i));
  }

  fakes::RunnerFault OnDispatch(std::size_t i, const http::Endpoint& to,
                                const backends::RunnerRequest& request) {
    if (const auto it = silent_until_.find(to.port);
        it != silent_until_.end() && time_.Now() < it->second) {
      return fakes::RunnerFault::kLostBefore;
    }
    if (const auto it = dead_until_.find(to.port);
        it != dead_until_.end() && time_.Now() < it->second) {
      return fakes::RunnerFault::kNotReached;
    }
    // Faults of the other callers' dispatches are the matrix of theirs.
    if (request.body != callers_.front().body) return fakes::RunnerFault::kNone;
    const auto fault = injector_.Reached(Step::kDispatch);
    if (!fault) return fakes::RunnerFault::kNone;
    return Dispatch(i, to, *fault);
  }

  fakes::RunnerFault Dispatch(std::size_t i, const http::Endpoint& to,
                              Fault fault) {
    switch (fault) {
      case Fault::kDiesBefore:
        KillEntry(i);
        return fakes::RunnerFault::kLostBefore;
      case Fault::kDiesAfter:
        KillEntry(i);
        return fakes::RunnerFault::kLostAfter;
      case Fault::kPeerDies:
        dead_until_[to.port] = time_.Now() + FaultInjector::kSilence;
        return fakes::RunnerFault::kLostBefore;
      case Fault::kSilent:
        silent_until_[to.port] = time_.Now() + FaultInjector::kSilence;
        return fakes::RunnerFault::kLostBefore;
      case Fault::kMessageLost:
        return fakes::RunnerFault::kLostBefore;
      case Fault::kAnswerLost:
        return fakes::RunnerFault::kLostAfter;
      case Fault::kMessageLate:
        return fakes::RunnerFault::kLate;
      default:
        injector_.OnOtherStep(fault, HooksOf(i));
        return fakes::RunnerFault::kNone;
    }
  }

  FaultInjector::Hooks HooksOf(std::size_t i) {
    return {[this, i] { KillEntry(i); }, [this, i] { PauseEntry(i); },
            [this, i](bool cut) { lives_[i]->table.SetCut(cut); },
            [this] { Race(); }};
  }

  /// The same key at another entry, at this very moment.
  void Race() {
    const auto& first = callers_.front();
    auto twin = std::make_shared<Caller>(
        Caller{first.body, first.key, (first.entry + 1) % kEntries});
    twins_.push_back(twin);
    Try(*twin);
  }

  static std::optional<Step> StepOf(const store::Transaction& transaction) {
    for (const auto& write : transaction.writes) {
      if (!write.key.starts_with(routing::kClaimPrefix) || !write.value) {
        continue;
      }
      const auto has = [&write](std::string_view text) {
        return write.value->find(text) != std::string::npos;
      };
      if (has("\"state\":\"claimed\"")) return Step::kClaim;
      if (has("\"state\":\"released\"")) return Step::kReleaseClaim;
      return Step::kRecord;
    }
    return std::nullopt;
  }

  void FirstRequests() {
    callers_ = {{"dispatch plan 1", "order-1", 0},
                {"roof study", "", 0},
                {"arrears check 2", "claim-2", 0},
                {"arrears check 2", "claim-2", 1}};
    for (auto& caller : callers_) Try(caller);
  }

  void RunnerLeaves() {
    runner_directory_.FirstLeaves();
    time_.After(kLeavingGrace, [this] {
      runs_when_left_ = runners_.RunsAt(RunnerEndpoint(0));
    });
    if (broken_ == Break::kLeavingIsHidden) {
      runner_directory_ = RunnerList();
    }
  }

  /// Work goes on all the time, so that a runner that is not left alone shows.
  void ReuseKey() {
    other_content_ = std::make_unique<Caller>(
        Caller{"dispatch plan of somebody else", "order-1", 1});
    Try(*other_content_);
    for (int i = 0; i < 20; ++i) {
      time_.After(base::Duration(100 * i), [this, i] {
        routing::RoutedRequest request =
            RequestOf({"background " + std::to_string(i), "", 0});
        lives_[i % kEntries]->path->Handle(std::move(request), [](auto) {});
      });
    }
  }

  routing::RoutedRequest RequestOf(const Caller& caller) {
    routing::RoutedRequest request;
    request.id = base::RequestId("request-" + std::to_string(++last_request_));
    request.organisation = Organisation();
    request.service = Service();
    request.deadline = kDeadline;
    request.idempotent = caller.key.empty();
    request.key = base::IdempotencyKey(caller.key);
    request.content_type = "text/plain";
    request.body = caller.body;
    return request;
  }

  void Try(Caller& caller) {
    auto entry = lives_[caller.entry % kEntries];
    if (!entry->path || entry->process.killed()) {
      // Nobody listens there: the connection is refused.
      NextTry(caller, base::Duration(500));
      return;
    }
    const int number = ++caller.tries;
    auto request = RequestOf(caller);
    entry->path->Handle(
        request, [this, &caller, number, entry,
                  id = request.id](const routing::RequestOutcome& outcome) {
          if (entry->process.killed() || caller.tries != number) return;
          if (broken_ == Break::kAnswersSwallowed) return;
          OnOutcome(caller, id, outcome);
        });
    time_.After(kCallerPatience, [this, &caller, number, entry] {
      if (caller.tries != number || caller.settled) return;
      if (!entry->disturbed) {
        Note(Invariant::kNothingHangs, caller.body + ": no answer in time");
      }
      caller.not_run_is_not_certain = true;
      NextTry(caller, base::Duration(100));
    });
  }

  void NextTry(Caller& caller, base::Duration delay) {
    ++caller.tries;
    caller.entry = (caller.entry + 1) % kEntries;
    if (time_.Now() > end_of_tries_) return;
    time_.After(std::max(delay, base::Duration(100)),
                [this, &caller] { Try(caller); });
  }

  void OnOutcome(Caller& caller, const base::RequestId& id,
                 const routing::RequestOutcome& outcome) {
    if (const auto* answer = std::get_if<routing::RequestAnswered>(&outcome)) {
      caller.settled = true;
      caller.answered = true;
      if (answer->body != "ran " + caller.body) {
        Note(Invariant::kWholeAnswer,
             caller.body + " was answered with \"" + answer->body + '"');
      }
      return;
    }
    OnRefusal(caller, id, std::get<routing::RequestRefused>(outcome));
  }

  void OnRefusal(Caller& caller, const base::RequestId& id,
                 const routing::RequestRefused& refused) {
    if (refused.reason == routing::Refusal::kKeyReused) {
      caller.settled = true;
      return;
    }
    if (refused.work == base::WorkDone::kNotRun) {
      caller.not_run.push_back(id);
    } else {
      caller.not_run_is_not_certain = true;
      ++caller.unknowns;
    }
    if (caller.unknowns >= kUnknownsUntilCallerStops) {
      caller.settled = true;
      return;
    }
    NextTry(caller, refused.retry_after);
  }

  void CheckAll() {
    for (const auto& caller : callers_) Check(caller);
    for (const auto& twin : twins_) Check(*twin);
    if (other_content_ && runners_.RunsOf(other_content_->body) > 0 &&
        runners_.RunsOf(callers_.front().body) > 0) {
      Note(Invariant::kAtMostOnce, "one key ran for two contents");
    }
    if (runners_.RunsAt(RunnerEndpoint(0)) > runs_when_left_) {
      Note(Invariant::kLeavingGetsNoWork,
           "a runner got work long after it began to leave");
    }
  }

  void Check(const Caller& caller) {
    const int runs = runners_.RunsOf(caller.body);
    if (!caller.key.empty() && runs > 1) {
      Note(Invariant::kAtMostOnce,
           caller.body + " ran " + std::to_string(runs) + " times");
    }
    if (!caller.settled) {
      Note(Invariant::kNothingHangs, caller.body + " never came to an end");
    }
    for (const auto& id : caller.not_run) {
      if (runners_.RunsOf(id) == 0) continue;
      Note(Invariant::kTrueRefusal,
           caller.body + ": \"not run\" of a sending that ran");
    }
    if (runs > 0 && !caller.answered && !caller.not_run_is_not_certain) {
      Note(Invariant::kTrueRefusal, caller.body +
                                        " ran, and every try was told "
                                        "that it did not");
    }
  }

  void Trace(const std::string& text) {
    if (trace_ == nullptr) return;
    const auto since_start = time_.Now() - start_;
    *trace_ << since_start.count() << " ms " << text << '\n';
  }

  void Note(Invariant invariant, std::string detail) {
    Trace("VIOLATION " + std::string(base::NameOf(invariant)) + ": " + detail);
    violations_.push_back({invariant, std::move(detail)});
  }

  Break broken_;
  std::ostream* trace_;
  fakes::VirtualTime time_;
  fakes::FakeTable table_;
  fakes::FakeObjects objects_;
  fakes::FakeRunners runners_;
  FaultInjector injector_;
  Organisations organisations_;
  RunnerList runner_directory_;
  Entries entries_;
  base::MetricRegistry metrics_;
  std::array<EntryPtr, kEntries> lives_;
  std::vector<Caller> callers_;
  std::vector<std::shared_ptr<Caller>> twins_;
  std::unique_ptr<Caller> other_content_;
  std::unordered_map<std::uint16_t, base::TimePoint> silent_until_;
  std::unordered_map<std::uint16_t, base::TimePoint> dead_until_;
  int runs_when_left_ = 0;
  int last_request_ = 0;
  base::TimePoint end_of_tries_ = time_.Now() + kLastTryBefore;
  base::TimePoint start_ = time_.Now();
  std::vector<Violation> violations_;
};

}  // namespace

WorldResult RunRequestWorld(FaultPlan plan, WorldOptions options) {
  return RequestWorld(std::move(plan), options).Run();
}

}  // namespace lapishatch::matrix
