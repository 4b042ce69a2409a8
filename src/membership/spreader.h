#ifndef LAPISHATCH_MEMBERSHIP_SPREADER_H_
#define LAPISHATCH_MEMBERSHIP_SPREADER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "membership/group.h"
#include "wire/wire.h"

namespace lapishatch::membership {

using wire::LogName;
using wire::LogVersion;

/// What a process does with one change log. Called on the loop only.
class LogFollower {
 public:
  virtual ~LogFollower() = default;

  /// The next change; `version` is one above that of the last call.
  virtual void OnEntry(LogVersion version, const std::string& entry) = 0;

  /// The whole state as of `version`, which is above that of the last call.
  /// False when the bytes are of no use; the version then stays what it was.
  virtual bool OnSnapshot(LogVersion version, const std::string& bytes) = 0;

  /// The whole state as of the last call, for a process that has none; nothing
  /// when there is none here either.
  virtual std::optional<std::string> TakeSnapshot() const = 0;

  /// A peer or this process has spoken of a version that is not here yet.
  virtual void OnHeard(LogVersion /*version*/) {}
};

struct SpreaderOptions {
  /// Changes that become known within this time travel together.
  base::Duration spread_delay{20};
  /// Wait for the answer to a pull before another peer is asked.
  base::Duration pull_timeout{200};
  /// Wait for the receipt of a change that another failure domain is to pass
  /// on, before another member of it gets the change.
  base::Duration receipt_timeout{200};
  /// Members of a domain that get a change in turn until one has said so.
  int passers = 3;
  /// Recent changes kept for peers that are behind, per log.
  std::size_t keep_entries = 2'048;
  std::size_t keep_bytes = std::size_t{2} * 1024 * 1024;
  /// Changes kept while earlier ones are missing, per log.
  std::size_t max_pending = 1'024;
  /// Of the changes in one message.
  std::size_t max_message_bytes = std::size_t{64} * 1024;
  std::size_t snapshot_chunk_bytes = std::size_t{64} * 1024;
  std::size_t max_snapshot_bytes = std::size_t{16} * 1024 * 1024;
  /// Of the choice of peers.
  std::uint64_t random_seed = 1;
};

struct SpreaderCounts {
  std::uint64_t entries_applied = 0;
  /// Entries that had come before.
  std::uint64_t entries_repeated = 0;
  std::uint64_t pulls = 0;
  std::uint64_t snapshots_installed = 0;
};

/// Spreads change logs among processes. A change is pushed to the members of
/// the own domain and to one member of every other, which confirms it and
/// passes it on in its own; without a confirmation another member gets it.
/// Whoever misses a push finds out by the heads in the next message and pulls.
/// Every process sees every version once, in order, without a gap, and never
/// goes back. To be used on the loop only.
class Spreader {
 public:
  Spreader(base::EventLoop& loop, wire::Transport& transport, Group& group,
           wire::RequestChannel& requests, SpreaderOptions options);
  ~Spreader();
  Spreader(const Spreader&) = delete;
  Spreader& operator=(const Spreader&) = delete;

  /// Begins to follow `log`; `follower` has it up to `version` and must
  /// outlive the spreader. Without a version it has nothing yet: changes wait
  /// until SkipTo says from where on they are wanted.
  void Follow(const LogName& log, LogFollower& follower,
              std::optional<LogVersion> version);

  /// Consecutive changes, read from the table or written by this process; the
  /// first has `first_version`. Old ones are ignored; those after a gap wait
  /// until the missing ones come from here or from a peer. The follower is
  /// called from within.
  void Publish(const LogName& log, LogVersion first_version,
               const std::vector<std::string>& entries);

  /// The follower has loaded the whole state as of `version` by itself. Ignored
  /// unless it is above the present version.
  void SkipTo(const LogName& log, LogVersion version);

  /// Fetches the whole state from some peer, of the own failure domain most of
  /// the time, without handing it to the follower. Ends in exactly one call on
  /// the loop, with nothing when that peer has none or does not answer.
  void Fetch(const LogName& log,
             std::function<void(std::optional<std::string>)> done);

  /// The changes from `first` on that are kept here; empty when there are none
  /// or the first is not kept.
  std::vector<std::string> Kept(const LogName& log, LogVersion first) const;

  /// Whether the follower has a state that changes can follow.
  bool HasBase(const LogName& log) const;

  /// Version of `log` up to which the follower was called.
  LogVersion version(const LogName& log) const;

  /// The highest version that a peer or this process has spoken of.
  LogVersion heard(const LogName& log) const;

  std::vector<wire::LogHead> Heads() const;
  const SpreaderCounts& counts() const { return counts_; }

  // What the node hands over.
  void OnHeads(const wire::Identity& from,
               const std::vector<wire::LogHead>& heads);
  void OnEntries(const wire::Identity& from, wire::LogEntries message);
  void OnPull(const wire::Identity& from, const wire::PullEntries& pull);
  void OnReceived(const wire::Identity& from,
                  const wire::EntriesReceived& receipt);
  wire::Answer AnswerSnapshot(const wire::SnapshotQuery& query);

 private:
  /// A whole state on its way here, chunk by chunk.
  struct Transfer {
    wire::Peer peer;
    LogVersion version = 0;
    std::uint64_t total_bytes = 0;
    std::string bytes;
    int failures = 0;
    /// Who wants the state instead of the follower; may be empty.
    std::function<void(std::optional<std::string>)> done;
  };
  struct Snapshot {
    LogVersion version = 0;
    std::string bytes;
  };
  struct Log {
    LogName name;
    LogFollower* follower = nullptr;
    /// Whether the follower has a state that changes can follow.
    bool has_base = false;
    LogVersion version = 0;
    LogVersion heard = 0;
    /// The changes up to `version`, as far back as they are kept.
    std::deque<std::string> recent;
    std::size_t recent_bytes = 0;
    std::map<LogVersion, std::string> pending;
    /// Changes published here that are to be pushed soon; some may come after
    /// a gap that somebody else will close.
    std::map<LogVersion, std::string> to_push;
    bool push_due = false;
    /// Changes that this process has passed on in its domain, the newest.
    std::set<LogVersion> passed_on;
    base::TimePoint pull_until;
    std::optional<Transfer> transfer;
    std::optional<Snapshot> served;
  };

  /// A change that another failure domain has not confirmed yet.
  struct Unconfirmed {
    base::DomainName domain;
    LogName log;
    LogVersion first = 0;

    friend auto operator<=>(const Unconfirmed&, const Unconfirmed&) = default;
  };

  Log* Find(const LogName& name);
  const Log* Find(const LogName& name) const;
  static bool IsNew(const Log& log, LogVersion version);
  void Accept(Log& log, LogVersion first,
              const std::vector<std::string>& items);
  void ApplyPending(Log& log);
  void Apply(Log& log, std::string entry);
  void Trim(Log& log);
  void SchedulePush(Log& log);
  void Push(Log& log);
  void PushMessage(wire::LogEntries message);
  void PushTo(const base::DomainName& domain,
              const std::shared_ptr<const wire::LogEntries>& message, int turn);
  void PassOn(Log& log, wire::LogEntries message, const ProcessName& sender);
  void SendInDomain(const wire::LogEntries& message, const ProcessName& except);
  bool Fits(const wire::LogEntries& message, LogVersion version,
            std::size_t bytes, const std::string& entry) const;
  void Pull(Log& log, const wire::Peer& peer, int tries = 1);
  void OnPullDue(Log& log, const wire::Peer& peer, int tries);
  void Hear(Log& log, LogVersion version);
  std::optional<wire::Peer> SomePeer();
  void StartTransfer(Log& log, const wire::Peer& peer);
  void AskChunk(Log& log);
  void OnChunk(const LogName& name, wire::AskResult result);
  void FinishTransfer(Log& log);
  void GiveUpTransfer(Log& log);

  base::EventLoop& loop_;
  wire::Transport& transport_;
  Group& group_;
  wire::RequestChannel& requests_;
  SpreaderOptions options_;
  std::map<LogName, Log> logs_;
  std::set<Unconfirmed> unconfirmed_;
  base::Random random_;
  SpreaderCounts counts_;
  /// Lets tasks that run later find out that the spreader is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_SPREADER_H_
