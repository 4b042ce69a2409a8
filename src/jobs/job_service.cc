#include "jobs/job_service.h"

#include <utility>

#include "jobs/job_rows.h"

namespace lapishatch::jobs {
namespace {

using store::NotDone;
using store::ReadFailed;
using store::RowsCommitted;
using store::RowsConflict;
using store::RowsRead;
using store::RowsReadResult;
using store::RowsResult;
using store::UnknownOutcome;

store::RowRange OneRow(std::string_view table, const std::string& partition,
                       const std::string& key) {
  return {std::string(table), partition, key, store::KeyAfter(key), 1};
}

std::string CancelKey(const base::JobName& name) {
  return name.str() + std::string(kCancelSuffix);
}

}  // namespace

void JobService::Submit(const Job& job,
                        std::function<void(SubmitResult)> done) {
  const auto partition = RequestPartition(job.service, job.name);
  const std::string table(kRequestTable);
  const auto key = job.name.str();
  store_.Commit(
      {partition,
       {{table, key, store::kAbsent}},
       {{table, key, EncodeJob(job)}},
       {}},
      [this, partition, key, done = std::move(done)](RowsResult result) {
        if (auto* not_done = std::get_if<NotDone>(&result)) {
          return done(JobNotAccepted{std::move(not_done->detail)});
        }
        auto* unknown = std::get_if<UnknownOutcome>(&result);
        // A conflict means that an earlier request stored a job
        // of this name.
        if (unknown == nullptr) return done(JobAccepted{});
        store_.Read(OneRow(kRequestTable, partition, key),
                    [done, detail = std::move(unknown->detail)](
                        const RowsReadResult& read) {
                      const auto* rows = std::get_if<RowsRead>(&read);
                      if (rows != nullptr && !rows->rows.empty()) {
                        return done(JobAccepted{});
                      }
                      // The row is absent, but the write may still
                      // take effect.
                      done(JobOutcomeUnknown{detail});
                    });
      });
}

void JobService::ReadState(const base::ServiceName& service,
                           const base::JobName& name,
                           const std::function<void(StateResult)>& done) {
  const auto read_request = [this, service, name, done] {
    store_.Read(
        OneRow(kRequestTable, RequestPartition(service, name), name.str()),
        [done](const RowsReadResult& result) {
          if (const auto* failed = std::get_if<ReadFailed>(&result)) {
            return done(JobStoreUnavailable{failed->detail});
          }
          if (std::get<RowsRead>(result).rows.empty()) {
            return done(NoSuchJob{});
          }
          done(JobState::kQueued);
        });
  };
  store_.Read(
      OneRow(kProgressTable, ProgressPartition(service, name), name.str()),
      [done, read_request](const RowsReadResult& result) {
        if (const auto* failed = std::get_if<ReadFailed>(&result)) {
          return done(JobStoreUnavailable{failed->detail});
        }
        const auto& rows = std::get<RowsRead>(result).rows;
        if (rows.empty()) return read_request();
        const auto progress = DecodeProgress(rows.front().value);
        if (progress) return done(progress->state);
        done(JobStoreUnavailable{"the progress row cannot be decoded"});
      });
}

void JobService::Cancel(const base::ServiceName& service,
                        const base::JobName& name,
                        std::function<void(CancelResult)> done) {
  const auto partition = RequestPartition(service, name);
  store_.Read(
      OneRow(kRequestTable, partition, name.str()),
      [this, partition, name, done = std::move(done)](RowsReadResult result) {
        if (const auto* failed = std::get_if<ReadFailed>(&result)) {
          return done(JobStoreUnavailable{failed->detail});
        }
        const auto& rows = std::get<RowsRead>(result).rows;
        if (rows.empty()) return done(NoSuchJob{});
        const std::string table(kRequestTable);
        // Only the existence of the cancellation row matters, so writing it
        // twice is harmless and needs no condition on the row itself.
        store_.Commit({partition,
                       {{table, name.str(), rows.front().version}},
                       {{table, CancelKey(name), "{}"}},
                       {}},
                      [done](const RowsResult& committed) {
                        if (std::holds_alternative<RowsCommitted>(committed)) {
                          return done(JobCancelled{});
                        }
                        if (std::holds_alternative<RowsConflict>(committed)) {
                          return done(NoSuchJob{});
                        }
                        done(JobStoreUnavailable{
                            "the store did not confirm the cancellation"});
                      });
      });
}

void JobService::ReadWaitingCount(
    const base::ServiceName& service, const QueueName& queue,
    std::function<void(WaitingCountResult)> done) {
  store_.Read(OneRow(kWaitingCountsTable, WaitingCountsPartition(service),
                     std::string(kWaitingCountsKey)),
              [queue, done = std::move(done)](const RowsReadResult& result) {
                if (const auto* failed = std::get_if<ReadFailed>(&result)) {
                  return done(JobStoreUnavailable{failed->detail});
                }
                const auto& rows = std::get<RowsRead>(result).rows;
                // The owner has not written the row yet, so no job has been
                // waiting for long.
                if (rows.empty()) return done(0);
                const auto waiting = DecodeWaitingCounts(rows.front().value);
                if (!waiting) {
                  return done(JobStoreUnavailable{
                      "the waiting counts row cannot be decoded"});
                }
                const auto it = waiting->find(queue);
                done(it == waiting->end() ? 0 : it->second);
              });
}

}  // namespace lapishatch::jobs
