#include "jobs/job_service.h"

#include <memory>
#include <utility>

#include "jobs/job_rows.h"

namespace lapishatch::jobs {
namespace {

using store::NotDone;
using store::OneRow;
using store::ReadFailed;
using store::RowsCommitted;
using store::RowsConflict;
using store::RowsRead;
using store::RowsReadResult;
using store::RowsResult;
using store::UnknownOutcome;

/// Attempts to cancel a name whose rows change meanwhile.
constexpr int kMaxCancelAttempts = 3;

}  // namespace

void JobService::Prepare(const base::ServiceName& first) {
  // After a failure, the first submission reads it.
  index_.FindHome(first, [](const JobIndex::HomeResult&) {});
}

void JobService::Submit(const Job& job,
                        std::function<void(SubmitResult)> done) {
  index_.FindHome(job.service, [this, job, done = std::move(done)](
                                   const JobIndex::HomeResult& result) {
    if (const auto* failed = std::get_if<IndexUnavailable>(&result)) {
      return done(JobNotAccepted{failed->detail});
    }
    if (std::get<base::ServiceName>(result) == job.service) {
      return StoreAtHome(job, done);
    }
    Reserve(job, done);
  });
}

void JobService::StoreAtHome(const Job& job,
                             std::function<void(SubmitResult)> done) {
  const auto partition = index_.DecidingPartition(job.name);
  const std::string table(kRequestTable);
  const auto key = job.name.str();
  store_.Commit(
      {partition,
       {{table, key, store::kAbsent}, JobIndex::NoEntryCondition(job.name)},
       {{table, key, EncodeJob(job)}},
       {}},
      [this, partition, job, done = std::move(done)](RowsResult result) {
        if (auto* not_done = std::get_if<NotDone>(&result)) {
          return done(JobNotAccepted{std::move(not_done->detail)});
        }
        if (const auto* unknown = std::get_if<UnknownOutcome>(&result)) {
          return ConfirmUnknown(partition, job.name, unknown->detail, done);
        }
        const auto* conflict = std::get_if<RowsConflict>(&result);
        if (conflict == nullptr) return done(JobAccepted{});
        OnDecided(index_.DecidedService(conflict->present, job.name), job,
                  done);
      });
}

void JobService::Reserve(const Job& job,
                         std::function<void(SubmitResult)> done) {
  index_.Reserve(job.name, job.service,
                 [this, job, done = std::move(done)](
                     const JobIndex::ReserveResult& result) {
                   OnDecided(result, job, done);
                 });
}

void JobService::OnDecided(const JobIndex::ReserveResult& result,
                           const Job& job,
                           const std::function<void(SubmitResult)>& done) {
  // Without a known decision, no request was stored.
  if (const auto* failed = std::get_if<IndexUnavailable>(&result)) {
    return done(JobNotAccepted{failed->detail});
  }
  if (std::holds_alternative<CancelledInAdvance>(result)) {
    // It never runs, so any service may keep it.
    auto cancelled = job;
    cancelled.service = index_.home();
    return StoreAtHome(cancelled, done);
  }
  const auto& service = std::get<base::ServiceName>(result);
  // The home service's request is what decided.
  if (service == index_.home()) return done(JobAccepted{});
  StoreFor(service, job, done);
}

void JobService::StoreFor(const base::ServiceName& service, Job job,
                          const std::function<void(SubmitResult)>& done) {
  job.service = service;
  job.is_indexed = true;
  const auto partition = RequestPartition(service, job.name);
  const std::string table(kRequestTable);
  const auto key = job.name.str();
  store_.Commit(
      {partition,
       {{table, key, store::kAbsent}},
       {{table, key, EncodeJob(job)}},
       {}},
      [this, partition, name = job.name, done](RowsResult result) {
        if (auto* not_done = std::get_if<NotDone>(&result)) {
          return done(JobNotAccepted{std::move(not_done->detail)});
        }
        if (const auto* unknown = std::get_if<UnknownOutcome>(&result)) {
          return ConfirmUnknown(partition, name, unknown->detail, done);
        }
        // A conflict means that an earlier request stored the job.
        done(JobAccepted{});
      });
}

void JobService::ConfirmUnknown(const std::string& partition,
                                const base::JobName& name,
                                const std::string& detail,
                                const std::function<void(SubmitResult)>& done) {
  store_.Read(OneRow(kRequestTable, partition, name.str()),
              [done, detail](const RowsReadResult& read) {
                const auto* rows = std::get_if<RowsRead>(&read);
                if (rows != nullptr && !rows->rows.empty()) {
                  return done(JobAccepted{});
                }
                // The row is absent, but the write may still take effect.
                done(JobOutcomeUnknown{detail});
              });
}

void JobService::ReadState(const base::ServiceName& service,
                           const base::JobName& name,
                           const std::function<void(StateResult)>& done) {
  ReadStateIn(
      service, name, [this, service, name, done](const StateResult& result) {
        const bool is_absent = std::holds_alternative<NoSuchJob>(result);
        if (!is_absent) return done(result);
        ReadStateElsewhere(service, name, done);
      });
}

void JobService::ReadStateElsewhere(
    const base::ServiceName& service, const base::JobName& name,
    const std::function<void(StateResult)>& done) {
  index_.Locate(
      name, [this, service, name, done](const JobIndex::LocateResult& located) {
        if (const auto* failed = std::get_if<IndexUnavailable>(&located)) {
          return done(JobStoreUnavailable{failed->detail});
        }
        const auto* accepted_by = std::get_if<base::ServiceName>(&located);
        if (accepted_by == nullptr || *accepted_by == service) {
          return done(NoSuchJob{});
        }
        ReadStateIn(*accepted_by, name, done);
      });
}

void JobService::Cancel(const base::ServiceName& service,
                        const base::JobName& name,
                        const std::function<void(CancelResult)>& done) {
  TryCancel(service, name, kMaxCancelAttempts, done);
}

void JobService::TryCancel(const base::ServiceName& service,
                           const base::JobName& name, int attempts,
                           const std::function<void(CancelResult)>& done) {
  if (attempts == 0) {
    return done(JobStoreUnavailable{"the job's rows keep changing"});
  }
  CancelIn(service, name,
           [this, service, name, attempts, done](const CancelResult& result) {
             const bool is_absent = std::holds_alternative<NoSuchJob>(result);
             if (!is_absent) return done(result);
             CancelAbsent(service, name, attempts - 1, done);
           });
}

void JobService::CancelAbsent(const base::ServiceName& service,
                              const base::JobName& name, int attempts,
                              const std::function<void(CancelResult)>& done) {
  const auto on_located = [this, service, name, attempts,
                           done](const JobIndex::LocateResult& located) {
    const auto* accepted_by = std::get_if<base::ServiceName>(&located);
    if (accepted_by == nullptr) {
      return done(JobStoreUnavailable{"the index cannot be read"});
    }
    if (*accepted_by != service) {
      return TryCancel(*accepted_by, name, attempts, done);
    }
    CancelInAdvance(service, name, attempts, done);
  };
  index_.FindHome(service, [this, name, done,
                            on_located](const JobIndex::HomeResult& home) {
    if (const auto* failed = std::get_if<IndexUnavailable>(&home)) {
      return done(JobStoreUnavailable{failed->detail});
    }
    index_.Locate(name, on_located);
  });
}

void JobService::CancelInAdvance(
    const base::ServiceName& service, const base::JobName& name, int attempts,
    const std::function<void(CancelResult)>& done) {
  const std::string table(kRequestTable);
  store::RowTransaction out;
  out.part = RequestPartition(service, name);
  out.conditions = {{table, name.str(), store::kAbsent}};
  if (service == index_.home()) {
    out.conditions.push_back(JobIndex::NoEntryCondition(name));
  }
  out.puts = {{table, CancelKey(name), "{}"}};
  store_.Commit(std::move(out), [this, service, name, attempts,
                                 done](const RowsResult& result) {
    if (std::holds_alternative<RowsCommitted>(result)) {
      return done(NoSuchJob{});
    }
    if (std::holds_alternative<RowsConflict>(result)) {
      return TryCancel(service, name, attempts, done);
    }
    done(JobStoreUnavailable{"the store did not confirm the cancellation"});
  });
}

void JobService::ReadStateIn(const base::ServiceName& service,
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

void JobService::CancelIn(const base::ServiceName& service,
                          const base::JobName& name,
                          const std::function<void(CancelResult)>& done) {
  const auto partition = RequestPartition(service, name);
  store_.Read(OneRow(kRequestTable, partition, name.str()),
              [this, partition, name, done](const RowsReadResult& result) {
                if (const auto* failed = std::get_if<ReadFailed>(&result)) {
                  return done(JobStoreUnavailable{failed->detail});
                }
                const auto& rows = std::get<RowsRead>(result).rows;
                if (rows.empty()) return done(NoSuchJob{});
                const std::string table(kRequestTable);
                // Only the existence of the cancellation row matters, so
                // writing it twice is harmless and needs no condition on the
                // row itself.
                store_.Commit(
                    {partition,
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
    const std::vector<base::ServiceName>& services, const QueueName& queue,
    const std::function<void(WaitingCountResult)>& done) {
  struct Sum {
    std::size_t unread = 0;
    WaitingCountResult result = 0;
  };
  const auto sum = std::make_shared<Sum>();
  sum->unread = services.size();
  if (services.empty()) return done(0);
  for (const auto& service : services) {
    ReadWaitingCountOf(service, queue,
                       [sum, done](const WaitingCountResult& n) {
                         auto* total = std::get_if<int>(&sum->result);
                         const auto* count = std::get_if<int>(&n);
                         if (total != nullptr && count != nullptr) {
                           *total += *count;
                         } else if (total != nullptr) {
                           sum->result = n;
                         }
                         if (--sum->unread == 0) done(sum->result);
                       });
  }
}

void JobService::ReadWaitingCountOf(
    const base::ServiceName& service, const QueueName& queue,
    const std::function<void(WaitingCountResult)>& done) {
  store_.Read(OneRow(kWaitingCountsTable, WaitingCountsPartition(service),
                     std::string(kWaitingCountsKey)),
              [queue, done](const RowsReadResult& result) {
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
