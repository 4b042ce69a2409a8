#include "config/mirror.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include "config/log_loader.h"
#include "config/loop_table.h"
#include "config/row_reader.h"
#include "config/watch_hub.h"

namespace lapishatch::config {
namespace {

constexpr std::array kLogs = {LogId::kConfig, LogId::kJobs};

static_assert(kLogs.size() == base::kEnumSize<LogId>,
              "A_LOG_IS_NOT_FOLLOWED: name every LogId in kLogs");

constexpr std::size_t Index(LogId log) { return static_cast<std::size_t>(log); }

}  // namespace

class Mirror::Impl {
 public:
  Impl(MirrorOptions options, MirrorPorts ports)
      : options_(options),
        ports_(std::move(ports)),
        table_(ports_.loop, ports_.table),
        logs_{Log(LogId::kConfig, options.history),
              Log(LogId::kJobs, options.history)},
        hub_(options.max_watches),
        backoff_(options.retry_first, options.retry_limit),
        random_(options.seed) {}

  void Start() {
    Poll();
    ScheduleBookmarks();
  }

  const LogReplica& replica(LogId log) const {
    return logs_[Index(log)].replica;
  }
  bool IsLoaded(LogId log) const { return logs_[Index(log)].loaded; }
  bool is_table_reachable() const { return table_reachable_; }

  MirrorStatus Status(LogId log) const {
    const auto& it = logs_[Index(log)];
    const auto in_force = it.replica.version();
    return {it.loaded, in_force, std::max<LogVersion>(in_force, it.accepted)};
  }

  void Listen(Listener listener) { listeners_.push_back(std::move(listener)); }

  std::variant<WatchId, WatchEnd> Watch(ResourceKind kind, LogVersion since,
                                        WatchSink sink) {
    if (stopping_) return WatchEnd::kStopping;
    if (!IsLoaded(LogOf(kind))) return WatchEnd::kNotYet;
    return hub_.Open(replica(LogOf(kind)), kind, since, std::move(sink));
  }

  void Unwatch(WatchId id) { hub_.Close(id); }
  std::size_t watches() const { return hub_.size(); }

  void EndWatches() {
    stopping_ = true;
    for (const auto log : kLogs) {
      hub_.End(log, WatchEnd::kStopping, replica(log).version());
    }
  }

  void Offer(LogId log, LogVersion first,
             const std::vector<std::string>& texts) {
    std::vector<LogEntryPtr> entries;
    for (const auto& text : texts) {
      const auto entry = EntryOf(text, "a peer's entry");
      if (!entry || (*entry)->version != first + entries.size()) return;
      entries.push_back(*entry);
    }
    if (entries.empty()) return;
    NoteAccepted(log, entries.back()->version);
    if (!IsLoaded(log)) return;
    if (Take(log, entries)) return;
    if (ports_.source == nullptr) return;
    ports_.source->Pull(log, replica(log).version() + 1);
  }

  void OfferSnapshot(LogId log, const std::string& text) {
    const auto snapshot = SnapshotOf(text, "a peer's snapshot");
    if (snapshot && snapshot->log == log) Install(*snapshot, "peer");
  }

  void HeardOf(LogId log, LogVersion version) {
    NoteAccepted(log, version);
    if (!IsLoaded(log) || version <= replica(log).version()) return;
    if (ports_.source == nullptr) return;
    ports_.source->Pull(log, replica(log).version() + 1);
  }

  std::optional<std::vector<std::string>> EntriesFrom(LogId log,
                                                      LogVersion first,
                                                      std::size_t most) const {
    if (!IsLoaded(log) || first == 0) return std::nullopt;
    const auto entries = replica(log).After(first - 1);
    if (!entries) return std::nullopt;
    std::vector<std::string> texts;
    texts.reserve(std::min(most, entries->size()));
    for (const auto& it : *entries) {
      if (texts.size() == most) break;
      texts.push_back(ToText(*it));
    }
    return texts;
  }

  std::optional<std::string> SnapshotText(LogId log) const {
    if (!IsLoaded(log)) return std::nullopt;
    return ToText(replica(log).Snapshot(options_.snapshot_recent));
  }

  void Refresh(std::function<void(std::optional<LogHeads>)> done) {
    table_.Scan(
        std::string(kHeadPrefix), "", kLogs.size(),
        [this, done = std::move(done)](const store::ScanResult& result) {
          OnHeads(result, done);
        });
  }

  void TakeCommitted(LogId log, const std::vector<LogEntryPtr>& entries) {
    NoteAccepted(log, entries.back()->version);
    Take(log, entries);
    if (ports_.source == nullptr) return;
    std::vector<std::string> texts;
    texts.reserve(entries.size());
    for (const auto& it : entries) texts.push_back(ToText(*it));
    ports_.source->Announce(log, entries.front()->version, std::move(texts));
  }

 private:
  using HeadsDone = std::function<void(std::optional<LogHeads>)>;

  /// One log as this process follows it.
  struct Log {
    Log(LogId id, std::size_t history) : replica(id, history) {}

    LogReplica replica;
    std::atomic<bool> loaded{false};
    std::atomic<LogVersion> accepted{0};
    bool asking_peers = false;
  };

  /// One refresh under way: counts the logs that are not up to date yet.
  struct Chase {
    LogHeads heads;
    std::size_t open = 0;
    bool failed = false;
    HeadsDone done;
  };
  using ChasePtr = std::shared_ptr<Chase>;

  // Following the table.

  void Poll() {
    Refresh([this](const std::optional<LogHeads>& heads) {
      if (heads) {
        backoff_.Reset();
        table_.After(Jittered(PollPause()), [this] { Poll(); });
        return;
      }
      AskPeersForUnloaded();
      table_.After(backoff_.Next(random_), [this] { Poll(); });
    });
  }

  base::Duration PollPause() const {
    const bool reads = !ports_.reads_for_domain || ports_.reads_for_domain();
    return reads ? options_.poll : options_.poll_when_led;
  }

  /// Within a fifth either way, so that processes do not read in step.
  base::Duration Jittered(base::Duration pause) {
    const auto fifth = pause.count() / 5;
    std::uniform_int_distribution<std::int64_t> range(-fifth, fifth);
    return pause + base::Duration(range(random_));
  }

  void OnHeads(const store::ScanResult& result, const HeadsDone& done) {
    const auto* page = std::get_if<store::RowPage>(&result);
    SetTableReachable(page != nullptr);
    if (page == nullptr) {
      done(std::nullopt);
      return;
    }
    auto chase = std::make_shared<Chase>();
    chase->done = done;
    for (const auto& row : page->rows) {
      const auto head = HeadOf(row);
      chase->failed |= !head;
      if (!head) continue;
      for (const auto log : kLogs) {
        if (row.key == HeadKey(log)) chase->heads[Index(log)] = *head;
      }
    }
    chase->open = kLogs.size();
    for (const auto log : kLogs) CatchUp(chase, log);
  }

  void CatchUp(const ChasePtr& chase, LogId log) {
    const auto& head = chase->heads[Index(log)];
    const auto version = replica(log).version();
    NoteAccepted(log, head.version);
    if (!IsLoaded(log)) {
      Load(chase, log);
      return;
    }
    // An older head is a lagging read, or peers were faster: what is in force
    // stays.
    if (head.version <= version) {
      Settle(chase, true);
      return;
    }
    if (head.first_kept > version + 1) {
      Load(chase, log);
      return;
    }
    ReadEntries(chase, log, EntryKey(log, version));
  }

  void ReadEntries(const ChasePtr& chase, LogId log, std::string after) {
    table_.Scan(EntryPrefix(log), std::move(after), options_.page,
                [this, chase, log](const store::ScanResult& result) {
                  OnEntries(chase, log, result);
                });
  }

  void OnEntries(const ChasePtr& chase, LogId log,
                 const store::ScanResult& result) {
    const auto* page = std::get_if<store::RowPage>(&result);
    if (page == nullptr) {
      SetTableReachable(false);
      Settle(chase, false);
      return;
    }
    for (const auto& row : page->rows) {
      const auto batch = BatchOf(row);
      if (!batch) {
        Settle(chase, false);
        return;
      }
      if (!Take(log, *batch)) {
        Load(chase, log);
        return;
      }
    }
    if (page->more) {
      ReadEntries(chase, log, page->rows.back().key);
      return;
    }
    const auto wanted = chase->heads[Index(log)].version;
    Settle(chase, replica(log).version() >= wanted);
  }

  void Load(const ChasePtr& chase, LogId log) {
    LogLoader::Load(table_, log, {options_.page, options_.history},
                    [this, chase](const std::optional<LogSnapshot>& snapshot) {
                      if (snapshot) Install(*snapshot, "table");
                      Settle(chase, snapshot.has_value());
                    });
  }

  void Settle(const ChasePtr& chase, bool good) {
    chase->failed |= !good;
    if (--chase->open > 0) return;
    if (chase->failed) {
      chase->done(std::nullopt);
    } else {
      chase->done(chase->heads);
    }
  }

  void SetTableReachable(bool reachable) {
    if (table_reachable_.exchange(reachable) == reachable) return;
    base::Log(reachable ? base::events::kMirrorBack
                        : base::events::kMirrorCutOff);
  }

  // Peers.

  void AskPeersForUnloaded() {
    if (ports_.source == nullptr) return;
    for (const auto log : kLogs) {
      auto& it = logs_[Index(log)];
      if (it.loaded || it.asking_peers) continue;
      it.asking_peers = true;
      ports_.source->FetchSnapshot(
          log, [this, log](const std::optional<std::string>& text) {
            logs_[Index(log)].asking_peers = false;
            if (text) OfferSnapshot(log, *text);
          });
    }
  }

  // Coming into force.

  /// False when entries are missing before these.
  bool Take(LogId log, const std::vector<LogEntryPtr>& entries) {
    auto& it = logs_[Index(log)];
    const auto taken = it.replica.Take(entries);
    if (!taken.entries.empty()) Tell(log, taken.entries);
    return !taken.gap;
  }

  void Install(const LogSnapshot& snapshot, std::string_view from) {
    auto& it = logs_[Index(snapshot.log)];
    if (it.loaded && snapshot.version <= it.replica.version()) return;
    const auto differences = it.replica.Install(snapshot);
    NoteAccepted(snapshot.log, snapshot.version);
    hub_.End(snapshot.log, WatchEnd::kTooOld, snapshot.version);
    it.loaded = true;
    base::Log(base::events::kMirrorLoaded, {{"log", base::NameOf(snapshot.log)},
                                            {"version", snapshot.version},
                                            {"from", from}});
    for (const auto& listener : listeners_) {
      listener(snapshot.log, differences);
    }
    ShowVersions(snapshot.log);
  }

  void Tell(LogId log, const std::vector<LogEntryPtr>& entries) {
    for (const auto& listener : listeners_) listener(log, entries);
    hub_.Tell(log, entries);
    ShowVersions(log);
  }

  void NoteAccepted(LogId log, LogVersion version) {
    auto& accepted = logs_[Index(log)].accepted;
    if (version > accepted) accepted = version;
  }

  void ShowVersions(LogId log) {
    if (ports_.metrics == nullptr) return;
    const base::MetricLabels labels{{"log", std::string(base::NameOf(log))}};
    const auto status = Status(log);
    ports_.metrics->Set("lapishatch_configuration_in_force", labels,
                        static_cast<double>(status.in_force));
    ports_.metrics->Set("lapishatch_configuration_accepted", labels,
                        static_cast<double>(status.accepted));
  }

  void ScheduleBookmarks() {
    table_.After(options_.bookmark, [this] {
      for (const auto log : kLogs) {
        hub_.Bookmark(log, replica(log).version());
      }
      ScheduleBookmarks();
    });
  }

  MirrorOptions options_;
  MirrorPorts ports_;
  LoopTable table_;
  std::array<Log, kLogs.size()> logs_;
  WatchHub hub_;
  std::vector<Listener> listeners_;
  base::Backoff backoff_;
  base::Random random_;
  std::atomic<bool> table_reachable_{true};
  bool stopping_ = false;
};

Mirror::Mirror(MirrorOptions options, MirrorPorts ports)
    : impl_(std::make_unique<Impl>(options, std::move(ports))) {}

Mirror::~Mirror() = default;

void Mirror::Start() { impl_->Start(); }

bool Mirror::IsLoaded(LogId log) const { return impl_->IsLoaded(log); }

LogVersion Mirror::version(LogId log) const {
  return impl_->replica(log).version();
}

ResourcePtr Mirror::Find(const ResourceRef& ref) const {
  return impl_->replica(LogOf(ref.kind)).Find(ref);
}

Listing Mirror::List(ResourceKind kind) const {
  return impl_->replica(LogOf(kind)).List(kind);
}

MirrorStatus Mirror::Status(LogId log) const { return impl_->Status(log); }

bool Mirror::is_table_reachable() const { return impl_->is_table_reachable(); }

void Mirror::Listen(Listener listener) { impl_->Listen(std::move(listener)); }

std::variant<WatchId, WatchEnd> Mirror::Watch(ResourceKind kind,
                                              LogVersion since,
                                              WatchSink sink) {
  return impl_->Watch(kind, since, std::move(sink));
}

void Mirror::Unwatch(WatchId id) { impl_->Unwatch(id); }

std::size_t Mirror::watches() const { return impl_->watches(); }

void Mirror::EndWatches() { impl_->EndWatches(); }

void Mirror::Offer(LogId log, LogVersion first,
                   const std::vector<std::string>& entries) {
  impl_->Offer(log, first, entries);
}

void Mirror::OfferSnapshot(LogId log, const std::string& text) {
  impl_->OfferSnapshot(log, text);
}

void Mirror::HeardOf(LogId log, LogVersion version) {
  impl_->HeardOf(log, version);
}

std::optional<std::vector<std::string>> Mirror::EntriesFrom(
    LogId log, LogVersion first, std::size_t most) const {
  return impl_->EntriesFrom(log, first, most);
}

std::optional<std::string> Mirror::SnapshotText(LogId log) const {
  return impl_->SnapshotText(log);
}

void Mirror::Refresh(std::function<void(std::optional<LogHeads>)> done) {
  impl_->Refresh(std::move(done));
}

void Mirror::TakeCommitted(LogId log, const std::vector<LogEntryPtr>& entries) {
  impl_->TakeCommitted(log, entries);
}

LogEntryPtr Mirror::EntryAt(LogId log, LogVersion version) const {
  return impl_->replica(log).EntryAt(version);
}

Section Describe(MirrorOptions& options) {
  Section section("configuration",
                  "How the process follows the operators' configuration.");
  section.Millis("poll_ms", options.poll, 50, 60'000,
                 "Between two readings of the log heads in the table.");
  section.Millis("poll_when_led_ms", options.poll_when_led, 50, 60'000,
                 "The same while another process of the failure domain reads "
                 "for all.");
  section.Millis("retry_first_ms", options.retry_first, 10, 60'000,
                 "Pause after a failed reading; doubled up to the limit.");
  section.Millis("retry_limit_ms", options.retry_limit, 10, 60'000,
                 "Longest pause after a failed reading.");
  section.Integer("history", options.history, 16, 1'000'000,
                  "Entries per log from which watches can resume.");
  section.Integer("max_watches", options.max_watches, 0, 1'000'000,
                  "Watches open at once; a further one gets 503.");
  section.Millis("bookmark_ms", options.bookmark, 100, 3'600'000,
                 "Between two bookmarks of a watch.");
  section.Integer("page", options.page, 1, 10'000,
                  "Rows per reading of the table.");
  section.Integer("snapshot_recent", options.snapshot_recent, 0, 1'000'000,
                  "Entries that a snapshot for a peer brings along.");
  return section;
}

}  // namespace lapishatch::config
