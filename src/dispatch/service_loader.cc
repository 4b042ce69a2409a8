#include "dispatch/internal/service_loader.h"

#include <absl/strings/numbers.h>

#include <deque>
#include <utility>

#include "dispatch/owner_lease.h"
#include "store/read_window.h"

namespace lapishatch::dispatch::internal {
namespace {

using store::RowsCommitted;
using store::RowsConflict;
using store::RowsRead;
using store::RowsReadResult;
using store::RowsResult;
using store::RowVersion;

constexpr base::Duration kRetryDelay{100};
constexpr std::size_t kRowsPerPage = 500;

/// The epoch in a fence row; 0 if another writer has put something else there.
/// An epoch is the version of an earlier row.
Epoch FenceEpochIn(const store::StoredRow& row) {
  Epoch out = 0;
  const bool is_epoch = absl::SimpleAtoi(row.value, &out) && out < row.version;
  return is_epoch ? out : 0;
}

}  // namespace

class ServiceLoader::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::RowStore& store,
       const base::ServiceName& service, Epoch epoch,
       std::function<void(LoadedService)> on_loaded,
       std::function<void(const std::string&)> on_lost)
      : loop_(loop),
        store_(store),
        partitions_(jobs::ProgressPartitions(service)),
        epoch_(epoch),
        on_loaded_(std::move(on_loaded)),
        on_lost_(std::move(on_lost)),
        unread_partitions_(partitions_.size()) {
    loaded_.fence_versions.resize(partitions_.size());
  }

  void Start() {
    for (std::size_t i = 0; i < partitions_.size(); ++i) {
      Fence(i, store::kAbsent);
    }
  }

 private:
  void Fence(std::size_t partition, RowVersion present) {
    const std::string table(kOwnerTable);
    const std::string key(kFenceKey);
    store_.Commit({partitions_[partition],
                   {{table, key, present}},
                   {{table, key, std::to_string(epoch_)}},
                   {}},
                  [weak = weak_from_this(), partition,
                   present](const RowsResult& result) {
                    const auto self = weak.lock();
                    if (self) self->OnFenced(partition, present, result);
                  });
  }

  void OnFenced(std::size_t partition, RowVersion present,
                const RowsResult& result) {
    if (const auto* committed = std::get_if<RowsCommitted>(&result)) {
      loaded_.fence_versions[partition] = committed->version;
      return EnqueueRead(partition);
    }
    const auto* conflict = std::get_if<RowsConflict>(&result);
    if (conflict == nullptr) {
      return RetryLater(
          [partition, present](Impl& self) { self.Fence(partition, present); });
    }
    if (conflict->present.empty()) return Fence(partition, store::kAbsent);
    const auto& row = conflict->present.front();
    const auto other = FenceEpochIn(row);
    if (other > epoch_) return on_lost_("a later owner has fenced a partition");
    if (other < epoch_) return Fence(partition, row.version);
    // An earlier attempt was committed although its answer was lost.
    loaded_.fence_versions[partition] = row.version;
    EnqueueRead(partition);
  }

  /// Queues a fenced partition for reading.
  void EnqueueRead(std::size_t partition) {
    fenced_partitions_.push_back(partition);
    ReadNext();
  }

  void ReadNext() {
    while (!fenced_partitions_.empty() &&
           partitions_being_read_ < window_.size()) {
      ++partitions_being_read_;
      const auto partition = fenced_partitions_.front();
      fenced_partitions_.pop_front();
      Read(partition, "");
    }
  }

  void Read(std::size_t partition, const std::string& from) {
    store_.Read({std::string(jobs::kProgressTable), partitions_[partition],
                 from, "", kRowsPerPage},
                [weak = weak_from_this(), partition, from,
                 sent = loop_.Now()](RowsReadResult result) {
                  const auto self = weak.lock();
                  if (self) {
                    self->OnPage(partition, from, sent, std::move(result));
                  }
                });
  }

  void OnPage(std::size_t partition, const std::string& from,
              base::TimePoint sent, RowsReadResult result) {
    auto* page = std::get_if<RowsRead>(&result);
    if (page == nullptr) {
      return RetryLater(
          [partition, from](Impl& self) { self.Read(partition, from); });
    }
    window_.OnRead(loop_.Now() - sent);
    std::string last;
    for (auto& it : page->rows) {
      last = it.address.key;
      loaded_.progress_rows[base::JobName(last)] = std::move(it);
    }
    if (page->has_more) return Read(partition, store::KeyAfter(last));
    --partitions_being_read_;
    if (--unread_partitions_ == 0) return on_loaded_(std::move(loaded_));
    ReadNext();
  }

  template <typename Step>
  void RetryLater(Step step) {
    loop_.After(kRetryDelay, [weak = weak_from_this(), step] {
      if (const auto self = weak.lock()) step(*self);
    });
  }

  base::EventLoop& loop_;
  store::RowStore& store_;
  const std::vector<std::string> partitions_;
  const Epoch epoch_;
  const std::function<void(LoadedService)> on_loaded_;
  const std::function<void(const std::string&)> on_lost_;
  std::size_t unread_partitions_;
  /// Fenced partitions that wait to be read.
  std::deque<std::size_t> fenced_partitions_;
  int partitions_being_read_ = 0;
  store::ReadWindow window_;
  LoadedService loaded_;
};

ServiceLoader::ServiceLoader(base::EventLoop& loop, store::RowStore& store,
                             const base::ServiceName& service, Epoch epoch,
                             std::function<void(LoadedService)> on_loaded,
                             std::function<void(const std::string&)> on_lost)
    : impl_(std::make_shared<Impl>(loop, store, service, epoch,
                                   std::move(on_loaded), std::move(on_lost))) {}

ServiceLoader::~ServiceLoader() = default;

void ServiceLoader::Start() { impl_->Start(); }

}  // namespace lapishatch::dispatch::internal
