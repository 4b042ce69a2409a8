#ifndef LAPISHATCH_TEST_CONFIG_CONFIG_WORLD_H_
#define LAPISHATCH_TEST_CONFIG_CONFIG_WORLD_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "fakes/fakes.h"

namespace lapishatch::config {

/// Processes that follow and write one table in virtual time, and tell each
/// other of changes.
class ConfigWorld {
 public:
  class Process;

  explicit ConfigWorld(fakes::FakeTable::Options options = {})
      : table(time, options) {}

  Process& Add(MirrorOptions mirror = {}, WriterOptions writer = {});
  void Kill(Process& process);

  template <typename Done>
  bool RunUntil(Done done, base::Duration limit = base::Duration(60'000)) {
    return time.RunUntil(done, limit);
  }

  fakes::VirtualTime time;
  fakes::FakeTable table;
  /// Whether processes tell each other.
  bool peers_talk = false;
  /// What processes that are added from now on know of the hardware.
  const Capacity* capacity = nullptr;
  std::vector<std::unique_ptr<Process>> processes;
};

/// One process: loop, way to the table, mirror, writer, peers.
class ConfigWorld::Process final : public ChangeSource {
 public:
  Process(ConfigWorld& world, MirrorOptions mirror_options,
          WriterOptions writer_options)
      : loop(world.time),
        table(world.table, loop),
        mirror(mirror_options, {loop, table, this}),
        writer(writer_options, {loop, table, mirror, world.capacity, nullptr,
                                [] { return std::int64_t{1'000}; }}),
        world_(world) {
    mirror.Listen([this](LogId log, const std::vector<LogEntryPtr>& entries) {
      for (const auto& it : entries) {
        history[static_cast<std::size_t>(log)].push_back(it);
      }
    });
    mirror.Start();
  }

  bool IsUp() const { return !loop.killed(); }

  bool IsLoaded() const {
    return mirror.IsLoaded(LogId::kConfig) && mirror.IsLoaded(LogId::kJobs);
  }

  /// Submits and runs until the outcome is there.
  ChangeOutcome Change(ChangeSet set) {
    auto outcome = std::make_shared<std::optional<ChangeOutcome>>();
    writer.Submit(std::move(set),
                  [outcome](ChangeOutcome it) { *outcome = std::move(it); });
    world_.RunUntil([&] { return outcome->has_value(); });
    return outcome->value_or(ChangesNotAccepted{"no outcome"});
  }

  void Announce(LogId log, LogVersion first,
                std::vector<std::string> entries) override {
    ForPeers([=](Process& it) { it.mirror.Offer(log, first, entries); });
  }

  void Pull(LogId log, LogVersion first) override {
    ForPeers([this, log, first](Process& it) {
      const auto entries = it.mirror.EntriesFrom(log, first, 1'000);
      if (entries) mirror.Offer(log, first, *entries);
    });
  }

  void FetchSnapshot(
      LogId log,
      std::function<void(std::optional<std::string>)> done) override {
    loop.After(base::Duration(2), [this, log, done = std::move(done)] {
      for (const auto& it : world_.processes) {
        if (!world_.peers_talk || it.get() == this || !it->IsUp()) continue;
        if (auto text = it->mirror.SnapshotText(log)) {
          done(std::move(text));
          return;
        }
      }
      done(std::nullopt);
    });
  }

  fakes::FakeProcess loop;
  fakes::FakeTableView table;
  Mirror mirror;
  ChangeWriter writer;
  /// What came into force, per log.
  std::array<std::vector<LogEntryPtr>, base::kEnumSize<LogId>> history;

 private:
  template <typename Tell>
  void ForPeers(Tell tell) {
    if (!world_.peers_talk) return;
    for (const auto& it : world_.processes) {
      if (it.get() == this || !it->IsUp()) continue;
      auto* peer = it.get();
      peer->loop.After(base::Duration(2), [peer, tell] { tell(*peer); });
    }
  }

  ConfigWorld& world_;
};

inline ConfigWorld::Process& ConfigWorld::Add(MirrorOptions mirror,
                                              WriterOptions writer) {
  mirror.seed = processes.size() + 1;
  writer.seed = processes.size() + 101;
  processes.push_back(std::make_unique<Process>(*this, mirror, writer));
  return *processes.back();
}

inline void ConfigWorld::Kill(Process& process) { process.loop.Kill(); }

// Short ways to write changes.

inline ResourceRef Organisation(std::string name) {
  return {ResourceKind::kOrganisation, std::move(name)};
}

inline ResourceRef Job(std::string name) {
  return {ResourceKind::kJob, std::move(name)};
}

inline Spec Weight(double weight) {
  OrganisationSpec spec;
  spec.weight = weight;
  return spec;
}

inline Spec JobOf(const std::string& organisation) {
  JobSpec spec;
  spec.organisation = base::OrganisationName(organisation);
  spec.needs.accelerators = 8;
  return spec;
}

inline ChangeSet Put(ResourceRef ref, LogVersion version, Spec spec) {
  ChangeSet set;
  set.changes.push_back(
      {std::move(ref), MustHaveVersion{version}, PutSpec{std::move(spec)}});
  return set;
}

inline ChangeSet Delete(ResourceRef ref, LogVersion version) {
  ChangeSet set;
  set.changes.push_back({std::move(ref), MustHaveVersion{version}, Remove{}});
  return set;
}

inline bool IsAccepted(const ChangeOutcome& outcome) {
  return std::holds_alternative<ChangesAccepted>(outcome);
}

inline std::optional<RefusalReason> RefusalOf(const ChangeOutcome& outcome) {
  const auto* refused = std::get_if<ChangesRefused>(&outcome);
  if (refused == nullptr) return std::nullopt;
  return refused->reason;
}

}  // namespace lapishatch::config

#endif  // LAPISHATCH_TEST_CONFIG_CONFIG_WORLD_H_
