#include "dispatch/internal/waiting_count_writer.h"

#include <utility>

#include "dispatch/owner_lease.h"

namespace lapishatch::dispatch::internal {
namespace {

using store::RowsCommitted;
using store::RowsConflict;
using store::RowsResult;
using store::RowVersion;

/// Callers need a recent count, not an exact one.
constexpr base::Duration kWriteInterval{400};

}  // namespace

class WaitingCountWriter::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::RowStore& store, std::string partition,
       RowVersion fence, const JobTracker& tracker)
      : loop_(loop),
        store_(store),
        partition_(std::move(partition)),
        fence_(fence),
        tracker_(tracker) {}

  void WriteIfChanged() {
    const auto counts = jobs::EncodeWaitingCounts(tracker_.CountWaitingJobs());
    if (counts == written_) return ScheduleNext();
    const std::string table(jobs::kWaitingCountsTable);
    const std::string key(jobs::kWaitingCountsKey);
    store_.Commit({partition_,
                   {{std::string(kOwnerTable), std::string(kFenceKey), fence_},
                    {table, key, version_}},
                   {{table, key, counts}},
                   {}},
                  [weak = weak_from_this(), counts](const RowsResult& result) {
                    const auto self = weak.lock();
                    if (self) self->OnResult(result, counts);
                  });
  }

 private:
  void OnResult(const RowsResult& result, const std::string& counts) {
    if (const auto* committed = std::get_if<RowsCommitted>(&result)) {
      version_ = committed->version;
      written_ = counts;
    }
    if (const auto* conflict = std::get_if<RowsConflict>(&result)) {
      version_ = store::VersionIn(*conflict, jobs::kWaitingCountsTable,
                                  jobs::kWaitingCountsKey);
    }
    ScheduleNext();
  }

  void ScheduleNext() {
    loop_.After(kWriteInterval, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->WriteIfChanged();
    });
  }

  base::EventLoop& loop_;
  store::RowStore& store_;
  const std::string partition_;
  const RowVersion fence_;
  const JobTracker& tracker_;
  std::string written_;
  RowVersion version_ = store::kAbsent;
};

WaitingCountWriter::WaitingCountWriter(base::EventLoop& loop,
                                       store::RowStore& store,
                                       std::string partition, RowVersion fence,
                                       const JobTracker& tracker)
    : impl_(std::make_shared<Impl>(loop, store, std::move(partition), fence,
                                   tracker)) {}

WaitingCountWriter::~WaitingCountWriter() = default;

void WaitingCountWriter::Start() { impl_->WriteIfChanged(); }

}  // namespace lapishatch::dispatch::internal
