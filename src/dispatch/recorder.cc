#include "dispatch/internal/recorder.h"

#include <algorithm>
#include <map>
#include <utility>

#include "dispatch/owner_lease.h"

namespace lapishatch::dispatch::internal {
namespace {

using store::NotDone;
using store::RowsCommitted;
using store::RowsConflict;
using store::RowsResult;
using store::RowVersion;
using store::UnknownOutcome;

/// Jobs in one transaction: two entries each, beside the fence.
constexpr std::size_t kMostJobs = (store::kMaxTransactionEntries - 1) / 2;

/// Values are sent in base64, four bytes for three.
constexpr std::size_t kMostValueBytes = store::kMaxTransactionBytes / 2;

}  // namespace

class Recorder::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::RowStore& store, std::string part,
       int index, RowVersion fence, JobBook& book, RecorderOptions options,
       std::function<void(const std::string&)> on_lost)
      : loop_(loop),
        store_(store),
        part_(std::move(part)),
        fence_(fence),
        book_(book),
        dirty_(book.dirty(index)),
        options_(options),
        on_lost_(std::move(on_lost)),
        random_(fence),
        backoff_(options.retry_first, options.retry_limit) {}

  void Flush(std::function<void()> done) {
    if (!done) return Kick();
    if (dirty_.empty() && writing_.empty()) {
      return loop_.Post(std::move(done));
    }
    waiting_.push_back({dirty_.empty() ? batch_ : batch_ + 1, std::move(done)});
    Kick();
  }

  RowVersion fence() const { return fence_; }

  bool is_idle() const { return dirty_.empty() && writing_.empty(); }

 private:
  struct Waiter {
    /// The batch after which it is called, if nothing was left over then.
    std::uint64_t batch = 0;
    std::function<void()> done;
  };

  void Kick() {
    if (is_armed_ || !writing_.empty() || is_sending_) return;
    is_armed_ = true;
    const auto earliest = last_sent_ + options_.spacing;
    const auto delay = std::max(earliest - loop_.Now(), base::Duration(0));
    loop_.After(delay, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) return;
      self->is_armed_ = false;
      self->Write();
    });
  }

  void Write() {
    if (dirty_.empty()) return CallWaiters();
    const std::string table(jobs::kProgressTable);
    store::RowTransaction out;
    out.part = part_;
    out.conditions.push_back(
        {std::string(kOwnerTable), std::string(kFenceKey), fence_});
    std::size_t bytes = 0;
    while (!dirty_.empty() && writing_.size() < kMostJobs &&
           bytes < kMostValueBytes) {
      auto* job = *dirty_.begin();
      dirty_.erase(dirty_.begin());
      const auto& key = job->job->name.str();
      auto value = EncodeProgress(book_.ProgressOf(*job));
      bytes += value.size();
      out.conditions.push_back({table, key, job->row_version});
      out.puts.push_back({table, key, std::move(value)});
      writing_.insert(job->job->name);
    }
    ++batch_;
    if (!dirty_.empty()) DeferWaiters();
    Send(std::move(out));
  }

  void Send(store::RowTransaction transaction) {
    is_sending_ = true;
    last_sent_ = loop_.Now();
    store_.Commit(std::move(transaction),
                  [weak = weak_from_this()](const RowsResult& result) {
                    if (const auto self = weak.lock()) self->OnResult(result);
                  });
  }

  void OnResult(const RowsResult& result) {
    is_sending_ = false;
    if (const auto* committed = std::get_if<RowsCommitted>(&result)) {
      return OnCommitted(committed->version);
    }
    if (const auto* conflict = std::get_if<RowsConflict>(&result)) {
      return OnConflict(conflict->present);
    }
    if (const auto* failed = std::get_if<NotDone>(&result)) {
      return Again(failed->detail);
    }
    Again(std::get<UnknownOutcome>(result).detail);
  }

  void OnCommitted(RowVersion version) {
    backoff_.Reset();
    for (const auto& name : writing_) {
      if (auto* job = book_.Find(name)) job->row_version = version;
    }
    writing_.clear();
    CallWaiters();
    if (!dirty_.empty()) Kick();
  }

  /// The present batch does not write everything that was dirty: who waits for
  /// it waits for the next.
  void DeferWaiters() {
    for (auto& it : waiting_) it.batch = std::max(it.batch, batch_ + 1);
  }

  /// Calls those whose changes are all written.
  void CallWaiters() {
    std::vector<std::function<void()>> due;
    std::vector<Waiter> later;
    for (auto& it : waiting_) {
      if (it.batch <= batch_) {
        due.push_back(std::move(it.done));
      } else {
        later.push_back(std::move(it));
      }
    }
    waiting_ = std::move(later);
    const auto weak = weak_from_this();
    for (const auto& it : due) {
      it();
      if (weak.expired()) return;
    }
  }

  /// The rows are only written by the owner. When the fence is still this one,
  /// an earlier transaction without an answer was done after all: its versions
  /// are taken over and the present values written again.
  void OnConflict(const std::vector<store::StoredRow>& present) {
    RowVersion fence = store::kAbsent;
    std::map<std::string, RowVersion> versions;
    for (const auto& it : present) {
      if (it.address.table == kOwnerTable) fence = it.version;
      if (it.address.table == jobs::kProgressTable) {
        versions[it.address.key] = it.version;
      }
    }
    if (fence != fence_) {
      return on_lost_("the store's fence row shows another owner");
    }
    for (const auto& name : writing_) {
      auto* job = book_.Find(name);
      if (job == nullptr) continue;
      const auto it = versions.find(name.str());
      job->row_version = it == versions.end() ? store::kAbsent : it->second;
    }
    Again("rows were written before");
  }

  void Again(const std::string& detail) {
    base::Log(base::events::kRecordDelayed,
              {{"part", part_}, {"detail", detail}});
    for (const auto& name : writing_) {
      if (auto* job = book_.Find(name)) dirty_.insert(job);
    }
    writing_.clear();
    DeferWaiters();
    is_armed_ = true;
    loop_.After(backoff_.Next(random_), [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) return;
      self->is_armed_ = false;
      self->Write();
    });
  }

  base::EventLoop& loop_;
  store::RowStore& store_;
  const std::string part_;
  const RowVersion fence_;
  JobBook& book_;
  std::set<JobEntry*>& dirty_;
  const RecorderOptions options_;
  const std::function<void(const std::string&)> on_lost_;
  base::Random random_;
  base::Backoff backoff_;

  /// Jobs of the transaction under way.
  std::set<base::JobName> writing_;
  bool is_sending_ = false;
  bool is_armed_ = false;
  base::TimePoint last_sent_{};
  std::uint64_t batch_ = 0;
  std::vector<Waiter> waiting_;
};

Recorder::Recorder(base::EventLoop& loop, store::RowStore& store,
                   std::string part, int index, store::RowVersion fence,
                   JobBook& book, RecorderOptions options,
                   std::function<void(const std::string&)> on_lost)
    : impl_(std::make_shared<Impl>(loop, store, std::move(part), index, fence,
                                   book, options, std::move(on_lost))) {}

Recorder::~Recorder() = default;

void Recorder::Flush(std::function<void()> done) {
  impl_->Flush(std::move(done));
}

bool Recorder::is_idle() const { return impl_->is_idle(); }

store::RowVersion Recorder::fence() const { return impl_->fence(); }

}  // namespace lapishatch::dispatch::internal
