#include "config/change_writer.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <utility>

#include "config/change_batch.h"
#include "config/internal/writer_machine.h"
#include "config/log_compactor.h"
#include "config/loop_table.h"

namespace lapishatch::config {
namespace {

using internal::WriterActions;
using internal::WriterEvent;

constexpr std::size_t kLogCount = base::kEnumSize<LogId>;

/// The window under contention shrinks by an eighth with each commit.
constexpr int kShrinkNumerator = 7;
constexpr int kShrinkDenominator = 8;

std::int64_t SystemClockMs() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  using std::chrono::system_clock;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

std::size_t EntriesOf(const ChangeSet& set) { return set.changes.size(); }

}  // namespace

class ChangeWriter::Impl final
    : public WriterActions,
      public std::enable_shared_from_this<ChangeWriter::Impl> {
 public:
  Impl(WriterOptions options, WriterPorts ports)
      : options_(options),
        ports_(std::move(ports)),
        table_(ports_.loop, ports_.table),
        backoff_(options.retry_first, options.retry_limit),
        random_(options.seed),
        machine_(*this) {}

  void Submit(ChangeSet set, Done done) {
    ports_.loop.Post([weak = weak_from_this(), set = std::move(set),
                      done = std::move(done)]() mutable {
      if (const auto self = weak.lock()) {
        self->Enqueue(std::move(set), std::move(done));
      } else {
        done(ChangesNotAccepted{"the process is stopping"});
      }
    });
  }

  void Compact(LogId log, std::function<void(bool)> done) {
    LogCompactor::Compact(table_, log, {options_.keep_entries, options_.group},
                          std::move(done));
  }

  std::uint64_t committed() const { return committed_; }
  std::uint64_t conflicts() const { return conflicts_; }

  // WriterActions.

  void TakeWaiting() override {
    std::size_t entries = 0;
    for (const auto& it : sets_) entries += EntriesOf(it.set);
    while (!waiting_.empty()) {
      if (IsImpatient(waiting_.front())) {
        GiveUp(waiting_.front());
        waiting_.pop_front();
        continue;
      }
      entries += EntriesOf(waiting_.front().set);
      if (entries > options_.group && !sets_.empty()) break;
      sets_.push_back(std::move(waiting_.front()));
      waiting_.pop_front();
    }
  }

  void ReadHeads() override {
    heads_known_ = false;
    ports_.mirror.Refresh(
        [weak = weak_from_this()](const std::optional<LogHeads>& heads) {
          const auto self = weak.lock();
          if (self == nullptr) return;
          self->OnHeads(heads);
        });
  }

  /// Judging needs the mirror at exactly the versions of the heads that the
  /// transaction demands.
  void Prepare() override {
    if (sets_.empty()) {
      machine_.Process(WriterEvent::kNothingToWrite);
      return;
    }
    if (!IsMirrorAtHeads()) {
      heads_known_ = false;
      machine_.Process(WriterEvent::kHeadsNeeded);
      return;
    }
    batch_ = MakeBatch(sets_, ports_.mirror, heads_,
                       {ports_.capacity, WallClockMs()});
    if (batch_.writes()) {
      batch_sent_ = table_.Now();
      Send();
      return;
    }
    if (heads_are_fresh_) {
      machine_.Process(WriterEvent::kNothingToWrite);
    } else {
      machine_.Process(WriterEvent::kHeadsNeeded);
    }
  }

  void SendAgain() override { Send(); }

  void Pause() override {
    heads_known_ = false;
    DropStaleStatuses();
    DropImpatient();
    if (sets_.empty()) {
      machine_.Process(WriterEvent::kPatienceOver);
      return;
    }
    table_.After(backoff_.Next(random_),
                 [this] { machine_.Process(WriterEvent::kPauseOver); });
  }

  void Resolve() override {
    may_be_written_ = true;
    ports_.mirror.Refresh(
        [weak = weak_from_this()](const std::optional<LogHeads>& heads) {
          const auto self = weak.lock();
          if (self == nullptr) return;
          self->OnHeadsResolving(heads);
        });
  }

  void PauseResolving() override {
    if (table_.Now() - batch_sent_ >= options_.unknown_patience) {
      machine_.Process(WriterEvent::kPatienceOver);
      return;
    }
    table_.After(backoff_.Next(random_),
                 [this] { machine_.Process(WriterEvent::kPauseOver); });
  }

  void AnswerWritten() override {
    for (std::size_t i = 0; i < kLogCount; ++i) TakeOver(static_cast<LogId>(i));
    auto sets = std::exchange(sets_, {});
    auto outcomes = std::exchange(batch_.outcomes, {});
    EndBatch();
    for (std::size_t i = 0; i < sets.size(); ++i) {
      Answer(sets[i], std::move(outcomes[i]));
    }
    Continue();
  }

  /// Pause has answered every set already.
  void AnswerUnwritten() override {
    EndBatch();
    Continue();
  }

  void AnswerUnknown() override {
    auto sets = std::exchange(sets_, {});
    auto outcomes = std::exchange(batch_.outcomes, {});
    const auto attempt = batch_.attempt;
    heads_known_ = false;
    EndBatch();
    for (std::size_t i = 0; i < sets.size(); ++i) {
      Answer(sets[i], UnknownOf(sets[i], outcomes[i], attempt));
    }
    Continue();
  }

  bool knows_heads() const override { return heads_known_; }
  bool may_be_written() const override { return may_be_written_; }

 private:
  void Enqueue(ChangeSet set, Done done) {
    if (waiting_.size() >= options_.max_waiting) {
      done(ChangesNotAccepted{"too many changes wait"});
      return;
    }
    waiting_.push_back({std::move(set), std::move(done), table_.Now()});
    Continue();
  }

  /// Begins with the next sets, if the machine is idle, when this writer's turn
  /// has come.
  void Continue() {
    if (waiting_.empty() || std::exchange(is_waking_, true)) return;
    const auto delay = std::max(not_before_ - table_.Now(), base::Duration(0));
    table_.After(delay, [this] {
      is_waking_ = false;
      machine_.Process(WriterEvent::kSetsWait);
    });
  }

  /// A writer that has just won knows the heads and would win again, while the
  /// others still read them. So each gives way for a window after its commit,
  /// in which its sets gather: long enough for another's reading and writing,
  /// and longer while races are lost.
  void GiveWay() {
    const auto window = std::max(window_, options_.give_way);
    std::uniform_int_distribution<std::int64_t> range(window.count() / 2,
                                                      window.count());
    not_before_ = table_.Now() + base::Duration(range(random_));
    window_ = window_ * kShrinkNumerator / kShrinkDenominator;
    if (window_ < options_.retry_first) window_ = base::Duration(0);
  }

  void WidenWindow() {
    window_ = std::clamp(window_ * 2, options_.retry_first * 2,
                         options_.contention_window);
  }

  void EndBatch() {
    batch_ = {};
    may_be_written_ = false;
    moved_status_row_.clear();
    heads_are_fresh_ = false;
    backoff_.Reset();
  }

  void OnHeads(const std::optional<LogHeads>& heads) {
    if (!heads) {
      machine_.Process(WriterEvent::kReadingFailed);
      return;
    }
    heads_ = *heads;
    heads_known_ = true;
    heads_are_fresh_ = true;
    machine_.Process(WriterEvent::kHeadsRead);
  }

  bool IsMirrorAtHeads() const {
    for (std::size_t i = 0; i < kLogCount; ++i) {
      const auto log = static_cast<LogId>(i);
      if (ports_.mirror.version(log) != heads_[i].version) return false;
    }
    return true;
  }

  void Send() {
    table_.Commit(batch_.transaction, [this](const store::CommitResult& it) {
      std::visit(*this, it);
    });
  }

 public:
  // The results of a commit.

  void operator()(const store::Committed& result) {
    for (std::size_t i = 0; i < kLogCount; ++i) {
      if (!batch_.head_writes[i]) continue;
      batch_.heads[i].row_version = result.versions[*batch_.head_writes[i]];
    }
    heads_ = batch_.heads;
    heads_known_ = true;
    ++committed_;
    Count("committed");
    GiveWay();
    machine_.Process(WriterEvent::kCommitDone);
  }

  void operator()(const store::Conflict& conflict) {
    if (conflict.key.starts_with(StatusKey(""))) {
      moved_status_row_ = conflict.key;
    }
    if (!may_be_written_) {
      ++conflicts_;
      Count("conflict");
      WidenWindow();
    }
    machine_.Process(WriterEvent::kCommitConflict);
  }

  void operator()(const store::NotDone&) {
    Count("not_done");
    machine_.Process(WriterEvent::kCommitRefused);
  }

  void operator()(const store::UnknownOutcome&) {
    Count("unknown");
    may_be_written_ = true;
    machine_.Process(WriterEvent::kCommitUnknown);
  }

 private:
  /// A status whose row has moved on will not be accepted any more.
  void DropStaleStatuses() {
    if (moved_status_row_.empty()) return;
    std::vector<WaitingSet> kept;
    for (auto& it : sets_) {
      bool stale = false;
      for (const auto& change : it.set.changes) {
        const auto* status = std::get_if<PutStatus>(&change.action);
        stale |= status != nullptr && status->row_version &&
                 StatusKey(change.ref.name) == moved_status_row_;
      }
      if (stale) {
        ChangesRefused refused;
        refused.reason = RefusalReason::kStale;
        refused.ref = it.set.changes.front().ref;
        refused.problems.list.push_back(
            {"status", "the status row has moved on"});
        it.done(std::move(refused));
      } else {
        kept.push_back(std::move(it));
      }
    }
    sets_ = std::move(kept);
    moved_status_row_.clear();
  }

  bool IsImpatient(const WaitingSet& set) const {
    return table_.Now() - set.submitted >= options_.patience;
  }

  void GiveUp(const WaitingSet& set) {
    Answer(set, ChangesNotAccepted{"the platform's table cannot be had, or "
                                   "other changes were always faster"});
  }

  void DropImpatient() {
    std::vector<WaitingSet> kept;
    for (auto& it : sets_) {
      if (IsImpatient(it)) {
        GiveUp(it);
      } else {
        kept.push_back(std::move(it));
      }
    }
    sets_ = std::move(kept);
  }

  /// The log says whether the transaction took effect: the entry of its first
  /// version carries its attempt, or another's.
  void OnHeadsResolving(const std::optional<LogHeads>& heads) {
    if (!heads) {
      machine_.Process(WriterEvent::kReadingFailed);
      return;
    }
    for (std::size_t i = 0; i < kLogCount; ++i) {
      if (batch_.entries[i].empty()) continue;
      const auto log = static_cast<LogId>(i);
      const auto first = batch_.entries[i].front()->version;
      if (ports_.mirror.version(log) < first) continue;
      const auto entry = ports_.mirror.EntryAt(log, first);
      if (entry == nullptr) continue;
      const bool ours = entry->attempt == batch_.attempt;
      if (ours) {
        ++committed_;
        machine_.Process(WriterEvent::kFoundWritten);
      } else {
        ++conflicts_;
        may_be_written_ = false;
        machine_.Process(WriterEvent::kFoundUnwritten);
      }
      return;
    }
    // A status row never comes back to an earlier version, so a transaction
    // that demands one cannot take effect any more.
    if (!moved_status_row_.empty()) {
      may_be_written_ = false;
      machine_.Process(WriterEvent::kFoundUnwritten);
      return;
    }
    if (table_.Now() - batch_sent_ >= options_.unknown_patience) {
      machine_.Process(WriterEvent::kPatienceOver);
      return;
    }
    machine_.Process(WriterEvent::kNotThereYet);
  }

  /// Brings what was written into force here.
  void TakeOver(LogId log) {
    const auto& entries = batch_.entries[static_cast<std::size_t>(log)];
    if (entries.empty()) return;
    ports_.mirror.TakeCommitted(log, entries);
    for (const auto& it : entries) {
      base::Log(base::events::kChangeAccepted,
                {{"resource", TextOf(it->resource->ref)},
                 {"version", it->version},
                 {"by", it->resource->changed_by}});
    }
  }

  static ChangeOutcome UnknownOf(const WaitingSet& set, ChangeOutcome& outcome,
                                 const base::AttemptId& attempt) {
    // What was refused or only tried is not in the transaction.
    const bool in_transaction =
        std::holds_alternative<ChangesAccepted>(outcome) && !set.set.dry_run;
    if (!in_transaction) {
      return ChangesNotAccepted{"the platform's table cannot be had"};
    }
    base::Log(base::events::kChangeUnknown,
              {{"attempt", attempt}, {"by", set.set.changed_by}});
    return ChangesUnknown{
        "the platform's table did not say whether the change took effect; "
        "read the resource to see"};
  }

  void Answer(const WaitingSet& set, ChangeOutcome outcome) {
    if (ports_.metrics != nullptr) {
      static constexpr std::array<std::string_view, 4> kNames = {
          "accepted", "refused", "not-accepted", "unknown"};
      const base::MetricLabels labels{
          {"outcome", std::string(kNames[outcome.index()])}};
      const std::chrono::duration<double> took = table_.Now() - set.submitted;
      ports_.metrics->Observe("lapishatch_change_seconds", labels,
                              took.count());
    }
    set.done(std::move(outcome));
  }

  void Count(std::string_view result) {
    if (ports_.metrics == nullptr) return;
    ports_.metrics->Count("lapishatch_change_transactions_total",
                          {{"result", std::string(result)}});
  }

  std::int64_t WallClockMs() const {
    return ports_.wall_clock_ms ? ports_.wall_clock_ms() : SystemClockMs();
  }

  WriterOptions options_;
  WriterPorts ports_;
  LoopTable table_;
  base::Backoff backoff_;
  base::Random random_;
  std::deque<WaitingSet> waiting_;
  bool is_waking_ = false;
  base::TimePoint not_before_;
  base::Duration window_{0};
  /// Those of the present transaction.
  std::vector<WaitingSet> sets_;
  ChangeBatch batch_;
  base::TimePoint batch_sent_;
  LogHeads heads_;
  /// The heads are those that this process wrote or read last.
  bool heads_known_ = false;
  /// The heads were read after the present sets came.
  bool heads_are_fresh_ = false;
  /// The transaction, or an earlier sending of it, may have taken effect.
  bool may_be_written_ = false;
  /// The status row on whose version the transaction failed, if any.
  std::string moved_status_row_;
  std::uint64_t committed_ = 0;
  std::uint64_t conflicts_ = 0;
  internal::WriterMachine machine_;
};

ChangeWriter::ChangeWriter(WriterOptions options, WriterPorts ports)
    : impl_(std::make_shared<Impl>(options, std::move(ports))) {}

ChangeWriter::~ChangeWriter() = default;

void ChangeWriter::Submit(ChangeSet set, Done done) {
  impl_->Submit(std::move(set), std::move(done));
}

void ChangeWriter::Compact(LogId log, std::function<void(bool)> done) {
  impl_->Compact(log, std::move(done));
}

std::uint64_t ChangeWriter::committed() const { return impl_->committed(); }

std::uint64_t ChangeWriter::conflicts() const { return impl_->conflicts(); }

Section Describe(WriterOptions& options) {
  Section section("changes", "How operators' changes are written.");
  section.Integer("group", options.group, 1, 1'000,
                  "Most changes in one transaction of the table.");
  section.Integer("max_waiting", options.max_waiting, 1, 1'000'000,
                  "Changes that may wait; a further one gets 503.");
  section.Millis("patience_ms", options.patience, 10, 600'000,
                 "How long a change may be tried before it gets 503.");
  section.Millis("unknown_patience_ms", options.unknown_patience, 10, 600'000,
                 "How long an outcome that the table did not tell is looked "
                 "for before the operator hears that it is unknown.");
  section.Millis("retry_first_ms", options.retry_first, 1, 60'000,
                 "Pause after a lost race; doubled up to the limit.");
  section.Millis("retry_limit_ms", options.retry_limit, 1, 60'000,
                 "Longest pause after a lost race.");
  section.Millis("give_way_ms", options.give_way, 0, 10'000,
                 "How long a writer gives way to others after a commit.");
  section.Millis("contention_window_ms", options.contention_window, 1, 10'000,
                 "Longest time that a writer gives way to others after a "
                 "commit, while races are lost.");
  section.Integer("keep_entries", options.keep_entries, 100, 10'000'000,
                  "Entries of a log that stay in the table.");
  return section;
}

}  // namespace lapishatch::config
