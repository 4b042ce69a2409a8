#ifndef LAPISHATCH_SCHEDULER_INTERNAL_RECORDER_H_
#define LAPISHATCH_SCHEDULER_INTERNAL_RECORDER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "scheduler/internal/callback_scope.h"
#include "scheduler/owner_options.h"
#include "scheduler/rows.h"
#include "store/store.h"

namespace lapishatch::scheduler::internal {

/// Leaves the job's intent as it is.
struct KeepIntent {};
struct PutIntent {
  Intent intent;
};
struct DropIntent {};

using IntentChange = std::variant<KeepIntent, PutIntent, DropIntent>;

/// What is to stand in the table about one job.
struct JobRecord {
  base::JobName job;
  config::JobStatus status;
  IntentChange intent;
};

enum class RecordResult : std::uint8_t {
  /// It stands in the table.
  kRecorded,
  /// A later record of the job took its place before it was sent.
  kSuperseded,
  /// The table holds an intent of another attempt that this owner did not know
  /// of.
  kForeignIntent,
};

/// The versions of a job's rows as last read or written.
struct JobVersions {
  store::RowVersion status = store::kAbsent;
  store::RowVersion intent = store::kAbsent;
};

/// Writes what an owner records: grouped, one transaction at a time, each
/// conditional on the owner's fence and on the versions of the rows it writes.
/// An unknown outcome is read back; a transaction that had no effect is sent
/// again unchanged, which the conditions make safe even when the first copy
/// arrives late.
class Recorder {
 public:
  using Done = std::function<void(RecordResult)>;

  struct Hooks {
    /// Whether the owner may still act; asked before each send.
    std::function<bool()> may_act;
    /// The fence has moved: another process owns the cell.
    std::function<void()> deposed;
    /// The table does not answer.
    std::function<void()> table_lost;
    /// The table answers again after it was out.
    std::function<void()> table_back;
  };

  Recorder(const OwnerOptions& options, base::EventLoop& loop,
           store::Table& table, store::RowVersion fence_version, Hooks hooks);
  ~Recorder();
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  /// What a read found; needed before the first record of a job.
  void SetVersions(const base::JobName& job, JobVersions versions);

  /// Forgets a job that nothing more will be recorded of.
  void Forget(const base::JobName& job);

  void Record(JobRecord record, Done done);

  bool idle() const { return !batch_ && pending_.empty(); }
  /// The last answer of the table was a failure.
  bool table_out() const { return table_out_; }
  std::uint64_t commits() const { return commits_; }

 private:
  struct Entry {
    JobRecord record;
    base::AttemptId write;
    std::vector<Done> done;
  };
  /// Entries that are one transaction.
  struct Batch {
    std::vector<Entry> entries;
    store::Transaction transaction;
  };

  /// Adds an entry, or merges it into the waiting one of its job.
  void Enqueue(Entry entry);
  void Arm(base::Duration delay);
  void Flush();
  void TakeBatch();
  store::Transaction TransactionOf(const std::vector<Entry>& entries) const;
  void Send();

  void OnCommit(const store::CommitResult& result);
  void On(const store::Committed& result);
  void On(const store::Conflict& result);
  void On(const store::NotDone& result);
  void On(const store::UnknownOutcome& result);

  /// Reads back whether the batch took effect, by its first row.
  void ReadBack();
  void OnReadBack(const store::ReadResult& result);
  /// Reads the versions of the rows of entry `index`, then of the next.
  void ReadVersions(std::size_t index, bool took_effect);
  void OnStatusVersion(std::size_t index, bool took_effect,
                       const store::ReadResult& result);
  void OnIntentVersion(std::size_t index, bool took_effect,
                       const store::ReadResult& result);
  void FinishBatch();
  /// Ends the entries that met a foreign intent, and keeps the others.
  void RefuseForeign();

  /// Puts the batch's entries back before later ones of the same jobs.
  void Dissolve();
  void Retry(void (Recorder::*step)());
  void NoteTable(bool out);
  bool ForeignIntentAt(const Entry& entry,
                       const std::optional<store::Row>& row) const;

  const OwnerOptions& options_;
  base::EventLoop& loop_;
  store::Table& table_;
  const store::RowVersion fence_version_;
  Hooks hooks_;
  base::Random random_;
  base::Backoff backoff_;

  std::unordered_map<base::JobName, JobVersions> versions_;
  /// Jobs in the order of their first waiting record.
  std::map<std::uint64_t, Entry> pending_;
  std::unordered_map<base::JobName, std::uint64_t> place_of_;
  std::uint64_t last_place_ = 0;
  std::optional<Batch> batch_;
  std::vector<base::JobName> foreign_;
  bool table_out_ = false;
  bool armed_ = false;
  std::uint64_t commits_ = 0;
  CallbackScope scope_;
};

}  // namespace lapishatch::scheduler::internal

#endif  // LAPISHATCH_SCHEDULER_INTERNAL_RECORDER_H_
