#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "fakes/fakes.h"
#include "matrix/internal/fault_injector.h"
#include "matrix/world.h"

namespace lapishatch::matrix {
namespace {

using config::LogId;
using config::LogVersion;
using internal::FaultInjector;

constexpr std::size_t kProcesses = 3;
constexpr base::Duration kReplacedAfter{2'000};
constexpr base::Duration kSampleEvery{50};
constexpr base::Duration kInForceWithin{7'000};
/// What one fault may add: its own length and a reload.
constexpr base::Duration kDelayPerFault{45'000};
/// Longest time until an operator is answered: the writer's patience, its
/// patience with unknown outcomes, and one call.
constexpr base::Duration kAnsweredWithin{12'000};
constexpr base::Duration kWholeRun{240'000};
constexpr int kSeriesLength = 10;
constexpr base::Duration kSeriesEvery{2'000};

/// An operator's change and what became of it.
struct SeenChange {
  std::string name;
  base::Duration value{0};
  std::optional<config::ChangeOutcome> outcome;
  base::TimePoint submitted{};
  base::TimePoint accepted_at{};
  bool disturbed = false;
};

class ConfigurationWorld;

/// What one process tells the others, as the inner protocol would.
class PeerSource final : public config::ChangeSource {
 public:
  PeerSource(ConfigurationWorld& world, std::size_t self)
      : world_(world), self_(self) {}

  void Announce(LogId log, LogVersion first,
                std::vector<std::string> entries) override;
  void Pull(LogId log, LogVersion first) override;
  void FetchSnapshot(
      LogId log, std::function<void(std::optional<std::string>)> done) override;

 private:
  ConfigurationWorld& world_;
  std::size_t self_;
};

/// One life of one process.
struct Process {
  Process(fakes::VirtualTime& time, fakes::FakeTable& fake_table,
          ConfigurationWorld& world, std::size_t self)
      : loop(time), table(fake_table, loop), source(world, self) {}

  fakes::FakeProcess loop;
  fakes::FakeTableView table;
  PeerSource source;
  bool disturbed = false;
  LogVersion highest_seen = 0;
  std::unique_ptr<config::Mirror> mirror;
  std::unique_ptr<config::ChangeWriter> writer;
};

using ProcessPtr = std::shared_ptr<Process>;

/// Three processes with their mirrors and writers, and operators at two of
/// them.
class ConfigurationWorld {
 public:
  ConfigurationWorld(FaultPlan plan, WorldOptions options)
      : broken_(options.broken),
        trace_(options.trace),
        faults_(plan.faults().size()),
        table_(time_),
        injector_(time_, table_, std::move(plan)) {
    if (broken_ == Break::kTableIgnoresConditions) table_.IgnoreConditions();
    for (std::size_t i = 0; i < kProcesses; ++i) StartProcess(i);
  }

  WorldResult Run() {
    time_.After(base::Duration(3'000), [this] {
      Submit(0, "plans", base::Duration(100));
      Submit(1, "plans", base::Duration(200));
    });
    for (int i = 0; i < kSeriesLength; ++i) {
      time_.After(base::Duration(5'000) + i * kSeriesEvery, [this, i] {
        Submit(static_cast<std::size_t>(i) % 2, "service-" + std::to_string(i),
               base::Duration(1'000 + i));
      });
    }
    Sample();
    time_.RunFor(kWholeRun);
    CheckEnd();
    return {injector_.done(), std::move(violations_)};
  }

  // Called by PeerSource.

  void Announce(std::size_t from, LogId log, LogVersion first,
                const std::vector<std::string>& entries) {
    const auto fault = injector_.Reached(Step::kSpread);
    if (fault && !Spread(from, *fault, log, first, entries)) return;
    Tell(from, log, first, entries, kMessageTime);
  }

  void Pull(std::size_t from, LogId log, LogVersion first) {
    const auto peer = AnyPeer(from);
    if (!peer) return;
    static constexpr std::size_t kMost = 256;
    const auto entries = peer->mirror->EntriesFrom(log, first, kMost);
    if (!entries) return;
    Deliver(processes_[from], log, first, *entries, 2 * kMessageTime);
  }

  void FetchSnapshot(std::size_t from, LogId log,
                     std::function<void(std::optional<std::string>)> done) {
    std::optional<std::string> text;
    if (const auto peer = AnyPeer(from)) text = peer->mirror->SnapshotText(log);
    processes_[from]->loop.After(
        2 * kMessageTime,
        [done = std::move(done), text = std::move(text)] { done(text); });
  }

 private:
  static constexpr base::Duration kMessageTime{2};
  static constexpr base::Duration kLate{9'000};

  void StartProcess(std::size_t i) {
    auto process = std::make_shared<Process>(time_, table_, *this, i);
    process->table.SetCommitFault(
        [this, i](const store::Transaction& it) { return OnCommit(i, it); });
    processes_[i] = process;
    config::MirrorOptions mirror_options;
    mirror_options.seed = i + 1;
    config::MirrorPorts mirror_ports{process->loop, process->table};
    mirror_ports.source = &process->source;
    process->mirror =
        std::make_unique<config::Mirror>(mirror_options, mirror_ports);
    config::WriterOptions writer_options;
    writer_options.seed = i + 1;
    config::WriterPorts writer_ports{process->loop, process->table,
                                     *process->mirror};
    writer_ports.wall_clock_ms = [] { return std::int64_t{1}; };
    process->writer =
        std::make_unique<config::ChangeWriter>(writer_options, writer_ports);
    process->mirror->Start();
  }

  void KillProcess(std::size_t i) {
    auto process = processes_[i];
    process->disturbed = true;
    process->loop.Kill();
    time_.Post([process] {
      process->writer.reset();
      process->mirror.reset();
    });
    time_.After(kReplacedAfter, [this, i] { StartProcess(i); });
  }

  void PauseProcess(std::size_t i) {
    auto process = processes_[i];
    process->disturbed = true;
    process->loop.Pause();
    time_.After(FaultInjector::kPause, [process] { process->loop.Resume(); });
  }

  FaultInjector::Hooks HooksOf(std::size_t i) {
    const auto process = processes_[i];
    return {[this, i] { KillProcess(i); }, [this, i] { PauseProcess(i); },
            [process](bool cut) { process->table.SetCut(cut); },
            [this, i] {
              Submit((i + 1) % kProcesses, "plans", base::Duration(300));
            }};
  }

  fakes::TableFault OnCommit(std::size_t i,
                             const store::Transaction& transaction) {
    bool accepts = false;
    for (const auto& write : transaction.writes) {
      if (write.key.starts_with(config::kHeadPrefix)) accepts = true;
    }
    if (!accepts) return injector_.TableFaultNow();
    const auto fault = injector_.Reached(Step::kAccept);
    if (!fault) return injector_.TableFaultNow();
    return injector_.OnTableStep(*fault, HooksOf(i));
  }

  /// Whether the message is still to be sent as it is.
  bool Spread(std::size_t from, Fault fault, LogId log, LogVersion first,
              const std::vector<std::string>& entries) {
    switch (fault) {
      case Fault::kDiesBefore:
        KillProcess(from);
        return false;
      case Fault::kDiesAfter:
        KillProcess(from);
        return true;
      case Fault::kPeerDies:
        KillProcess((from + 1) % kProcesses);
        return true;
      case Fault::kMessageLost:
      case Fault::kAnswerLost:
      case Fault::kSilent:
        return false;
      case Fault::kMessageDoubled:
        Tell(from, log, first, entries, kMessageTime);
        return true;
      case Fault::kMessageLate:
        Tell(from, log, first, entries, kLate);
        return false;
      default:
        injector_.OnOtherStep(fault, HooksOf(from));
        return true;
    }
  }

  void Tell(std::size_t from, LogId log, LogVersion first,
            const std::vector<std::string>& entries, base::Duration delay) {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      if (i == from) continue;
      Deliver(processes_[i], log, first, entries, delay);
    }
  }

  void Deliver(const ProcessPtr& to, LogId log, LogVersion first,
               const std::vector<std::string>& entries, base::Duration delay) {
    to->loop.After(delay, [to, log, first, entries] {
      if (to->mirror) to->mirror->Offer(log, first, entries);
    });
  }

  ProcessPtr AnyPeer(std::size_t of) const {
    for (std::size_t i = 1; i < kProcesses; ++i) {
      const auto& peer = processes_[(of + i) % kProcesses];
      if (!peer || peer->loop.killed() || !peer->mirror) continue;
      if (peer->mirror->IsLoaded(LogId::kConfig)) return peer;
    }
    return nullptr;
  }

  void Submit(std::size_t at, const std::string& name, base::Duration value) {
    auto process = processes_[at];
    if (process->loop.killed() || !process->writer) return;
    auto seen = std::make_shared<SeenChange>();
    seen->name = name;
    seen->value = value;
    seen->submitted = time_.Now();
    changes_.push_back(seen);
    config::ChangeSet set;
    set.changed_by = "operator";
    set.changes.push_back({{config::ResourceKind::kService, name},
                           config::MustHaveVersion{0},
                           config::PutSpec{config::ServiceSpec{value}}});
    process->writer->Submit(
        std::move(set), [this, seen, process](config::ChangeOutcome outcome) {
          if (process->loop.killed()) return;
          if (broken_ == Break::kAnswersSwallowed) return;
          seen->outcome = std::move(outcome);
          seen->accepted_at = time_.Now();
        });
    time_.After(kAnsweredWithin, [this, seen, process] {
      seen->disturbed = process->disturbed;
      if (seen->outcome || process->disturbed) return;
      Note(Invariant::kNothingHangs, seen->name + ": no answer in time");
    });
  }

  // --- checks ---

  void Sample() {
    for (std::size_t i = 0; i < kProcesses; ++i) SampleVersion(i);
    for (const auto& change : changes_) SampleInForce(*change);
    time_.After(kSampleEvery, [this] { Sample(); });
  }

  void SampleVersion(std::size_t i) {
    auto& process = *processes_[i];
    if (!process.mirror) return;
    auto version = process.mirror->version(LogId::kConfig);
    if (broken_ == Break::kMirrorGoesBack && version == 5) version = 3;
    if (version < process.highest_seen) {
      Note(Invariant::kConfigurationInForce,
           "a process went back from version " +
               std::to_string(process.highest_seen) + " to " +
               std::to_string(version));
    }
    process.highest_seen = std::max(process.highest_seen, version);
  }

  /// Once, when a change should be in force everywhere.
  void SampleInForce(const SeenChange& change) {
    if (!change.outcome) return;
    if (!std::holds_alternative<config::ChangesAccepted>(*change.outcome)) {
      return;
    }
    const auto due = change.accepted_at + kInForceWithin +
                     kDelayPerFault * static_cast<int>(faults_);
    if (time_.Now() < due || time_.Now() >= due + kSampleEvery) return;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      if (IsInForce(change, i)) continue;
      Note(Invariant::kConfigurationInForce,
           change.name + " is not in force at process " + std::to_string(i));
    }
  }

  bool IsInForce(const SeenChange& change, std::size_t i) const {
    const auto& process = *processes_[i];
    if (!process.mirror) return false;
    const auto resource =
        process.mirror->Find({config::ResourceKind::kService, change.name});
    return resource && ValueOf(*resource) == change.value;
  }

  static base::Duration ValueOf(const config::Resource& resource) {
    return std::get<config::ServiceSpec>(resource.spec).max_deadline;
  }

  void CheckEnd() {
    for (const auto& change : changes_) CheckChange(*change);
    const auto first = TextOfAll(0);
    for (std::size_t i = 1; i < kProcesses; ++i) {
      if (TextOfAll(i) == first) continue;
      Note(Invariant::kConfigurationInForce,
           "processes disagree: " + first + " and " + TextOfAll(i));
    }
    const auto head = table_.Peek(config::HeadKey(LogId::kConfig));
    const auto parsed = head ? config::ParseHead(*head)
                             : boost::leaf::result<config::LogHead>();
    if (parsed && parsed->version != processes_[0]->highest_seen) {
      Note(Invariant::kConfigurationInForce,
           "the newest accepted version is not in force");
    }
  }

  std::string TextOfAll(std::size_t i) const {
    if (!processes_[i]->mirror) return "nothing";
    std::string out;
    const auto listing =
        processes_[i]->mirror->List(config::ResourceKind::kService);
    for (const auto& it : listing.resources) {
      out += it->ref.name + '=' + std::to_string(ValueOf(*it).count()) + '@' +
             std::to_string(it->version) + ' ';
    }
    return out;
  }

  void CheckChange(const SeenChange& change) {
    const auto resource = processes_[0]->mirror->Find(
        {config::ResourceKind::kService, change.name});
    const bool exists = resource && ValueOf(*resource) == change.value;
    if (!change.outcome) return;
    const bool accepted =
        std::holds_alternative<config::ChangesAccepted>(*change.outcome);
    const bool unknown =
        std::holds_alternative<config::ChangesUnknown>(*change.outcome);
    if (accepted && !exists) {
      Note(Invariant::kConfigurationInForce,
           change.name + " was accepted and does not exist");
    }
    if (!accepted && !unknown && exists) {
      Note(Invariant::kTrueRefusal, change.name + " was refused and exists");
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
  std::size_t faults_;
  fakes::VirtualTime time_;
  fakes::FakeTable table_;
  FaultInjector injector_;
  std::array<ProcessPtr, kProcesses> processes_;
  std::vector<std::shared_ptr<SeenChange>> changes_;
  base::TimePoint start_ = time_.Now();
  std::vector<Violation> violations_;
};

void PeerSource::Announce(LogId log, LogVersion first,
                          std::vector<std::string> entries) {
  world_.Announce(self_, log, first, entries);
}

void PeerSource::Pull(LogId log, LogVersion first) {
  world_.Pull(self_, log, first);
}

void PeerSource::FetchSnapshot(
    LogId log, std::function<void(std::optional<std::string>)> done) {
  world_.FetchSnapshot(self_, log, std::move(done));
}

}  // namespace

WorldResult RunConfigurationWorld(FaultPlan plan, WorldOptions options) {
  return ConfigurationWorld(std::move(plan), options).Run();
}

}  // namespace lapishatch::matrix
