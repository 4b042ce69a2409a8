#ifndef LAPISHATCH_CONFIG_MIRROR_H_
#define LAPISHATCH_CONFIG_MIRROR_H_

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "config/change_source.h"
#include "config/log_replica.h"
#include "config/settings.h"
#include "config/watch.h"
#include "store/store.h"

namespace lapishatch::config {

/// Settings of a mirror.
struct MirrorOptions {
  /// Between two readings of the heads in the table.
  base::Duration poll{1'000};
  /// The same while another process of the failure domain reads for all.
  base::Duration poll_when_led{4'000};
  /// Pause after a failed reading: first and longest.
  base::Duration retry_first{200};
  base::Duration retry_limit{3'000};
  /// Entries per log from which watches can resume.
  std::size_t history = 2'048;
  /// Watches open at once.
  std::size_t max_watches = 512;
  /// Between two bookmarks of a watch.
  base::Duration bookmark{10'000};
  /// Rows per reading of the table.
  std::size_t page = 128;
  /// Entries that a snapshot for a peer brings along.
  std::size_t snapshot_recent = 512;
  std::uint64_t seed = 1;
};

/// The section [configuration].
Section Describe(MirrorOptions& options);

/// What a mirror works with. All must outlive it.
struct MirrorPorts {
  base::EventLoop& loop;
  store::Table& table;
  /// May be null: then the table alone is followed.
  ChangeSource* source = nullptr;
  /// May be null.
  base::MetricRegistry* metrics = nullptr;
  /// Whether this process reads the table for its failure domain. Empty: it
  /// does.
  std::function<bool()> reads_for_domain = nullptr;
};

/// The head rows of all logs, as read together.
using LogHeads = std::array<LogHead, base::kEnumSize<LogId>>;

/// For /v1/status.
struct MirrorStatus {
  bool loaded = false;
  LogVersion in_force = 0;
  /// The newest version that is known to have been accepted anywhere.
  LogVersion accepted = 0;
};

/// One process's view of the configuration in force. It follows the table and
/// what peers tell, and serves lists and watches.
class Mirror {
 public:
  /// Called on the loop with what came into force, in order; after a reload
  /// with the differences.
  using Listener =
      std::function<void(LogId, const std::vector<LogEntryPtr>& entries)>;

  Mirror(MirrorOptions options, MirrorPorts ports);
  ~Mirror();
  Mirror(const Mirror&) = delete;
  Mirror& operator=(const Mirror&) = delete;

  /// Begins to load and follow. On the loop.
  void Start();

  // Any thread.
  bool IsLoaded(LogId log) const;
  LogVersion version(LogId log) const;
  ResourcePtr Find(const ResourceRef& ref) const;
  Listing List(ResourceKind kind) const;
  MirrorStatus Status(LogId log) const;
  /// Whether the table answered last time.
  bool is_table_reachable() const;

  // On the loop only.
  void Listen(Listener listener);

  /// Opens a watch: what came into force after `since` at once, a bookmark,
  /// then what follows. Returns why it cannot begin.
  std::variant<WatchId, WatchEnd> Watch(ResourceKind kind, LogVersion since,
                                        WatchSink sink);
  void Unwatch(WatchId id);
  std::size_t watches() const;

  /// Planned stop: ends every watch with the version to continue from, and
  /// opens no more.
  void EndWatches();

  /// Peers tell of entries; the first has version `first`.
  void Offer(LogId log, LogVersion first,
             const std::vector<std::string>& entries);

  /// A peer gives everything; ignored unless it is newer than what is in
  /// force.
  void OfferSnapshot(LogId log, const std::string& text);

  /// A peer has this version.
  void HeardOf(LogId log, LogVersion version);

  /// Entries for a peer, at most `most`; nothing when they are no longer
  /// remembered.
  std::optional<std::vector<std::string>> EntriesFrom(LogId log,
                                                      LogVersion first,
                                                      std::size_t most) const;

  /// A snapshot for a peer; nothing before the log is loaded.
  std::optional<std::string> SnapshotText(LogId log) const;

  /// Reads the heads and what is missing up to them. Calls `done` once with
  /// what the heads were; nothing when the table could not be read or the log
  /// is not loaded.
  void Refresh(std::function<void(std::optional<LogHeads>)> done);

  /// Entries that this process has just committed.
  void TakeCommitted(LogId log, const std::vector<LogEntryPtr>& entries);

  /// The entry of a version, if it is remembered.
  LogEntryPtr EntryAt(LogId log, LogVersion version) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_MIRROR_H_
