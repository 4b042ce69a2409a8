#include "jobs/job_index.h"

#include <optional>
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
using store::StoredRow;

std::string DetailOf(const RowsResult& result) {
  if (const auto* it = std::get_if<NotDone>(&result)) return it->detail;
  if (const auto* it = std::get_if<store::UnknownOutcome>(&result)) {
    return it->detail;
  }
  return "conflict";
}

}  // namespace

class JobIndex::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(store::RowStore& store) : store_(store) {}

  void FindHome(const base::ServiceName& candidate,
                const std::function<void(HomeResult)>& done) {
    if (home_) return done(*home_);
    ReadHome([self = shared_from_this(), candidate,
              done](const LocateResult& result) {
      if (const auto* failed = std::get_if<IndexUnavailable>(&result)) {
        return done(*failed);
      }
      if (self->home_) return done(*self->home_);
      self->RecordHome(candidate, done);
    });
  }

  void Locate(const base::JobName& name,
              const std::function<void(LocateResult)>& done) {
    if (home_) return ReadEntry(name, done);
    ReadHome(
        [self = shared_from_this(), name, done](const LocateResult& result) {
          if (!self->home_) return done(result);
          self->ReadEntry(name, done);
        });
  }

  void Reserve(const base::JobName& name, const base::ServiceName& service,
               std::function<void(ReserveResult)> done) {
    const std::string requests(kRequestTable);
    store_.Commit(
        {RequestPartition(*home_, name),
         {{requests, name.str(), store::kAbsent},
          NoEntryCondition(name),
          {requests, CancelKey(name), store::kAbsent}},
         {{std::string(kIndexTable), name.str(), EncodeIndexEntry(service)}},
         {}},
        [self = shared_from_this(), name, service,
         done = std::move(done)](const RowsResult& result) {
          if (std::holds_alternative<RowsCommitted>(result)) {
            return done(service);
          }
          const auto* conflict = std::get_if<RowsConflict>(&result);
          if (conflict == nullptr) {
            return done(IndexUnavailable{DetailOf(result)});
          }
          done(self->DecidedService(conflict->present, name));
        });
  }

  void Remove(const base::JobName& name, const base::ServiceName& service,
              std::function<void(bool)> done) {
    ReadEntryRow(name, [self = shared_from_this(), name, service,
                        done = std::move(done)](const RowsReadResult& result) {
      const auto* read = std::get_if<RowsRead>(&result);
      if (read == nullptr) return done(false);
      if (read->rows.empty()) return done(true);
      const auto& row = read->rows.front();
      if (DecodeIndexEntry(row.value) != service) return done(true);
      self->RemoveEntry(name, row.version, done);
    });
  }

  const base::ServiceName& home() const { return *home_; }

  ReserveResult DecidedService(const std::vector<StoredRow>& present,
                               const base::JobName& name) const {
    bool is_cancelled = false;
    for (const auto& it : present) {
      if (it.address.key == CancelKey(name)) is_cancelled = true;
      if (it.address.key != name.str()) continue;
      if (it.address.table == kRequestTable) return *home_;
      if (it.address.table != kIndexTable) continue;
      if (auto service = DecodeIndexEntry(it.value)) return *std::move(service);
    }
    if (is_cancelled) return CancelledInAdvance{};
    return IndexUnavailable{"the entry cannot be decoded"};
  }

 private:
  /// Reads the home service into `home_`.
  void ReadHome(const std::function<void(LocateResult)>& done) {
    store_.Read(
        {std::string(kIndexTable), std::string(kHomePartition), "", "", 1},
        [self = shared_from_this(), done](const RowsReadResult& result) {
          if (const auto* failed = std::get_if<ReadFailed>(&result)) {
            return done(IndexUnavailable{failed->detail});
          }
          const auto& rows = std::get<RowsRead>(result).rows;
          if (rows.empty()) return done(NotIndexed{});
          self->AdoptHome(rows.front(), done);
        });
  }

  void AdoptHome(const StoredRow& row,
                 const std::function<void(LocateResult)>& done) {
    auto service = DecodeIndexEntry(row.value);
    if (!service) {
      // Each submission reads the row until it is right.
      if (unreadable_log_.Open(base::SteadyClock().Now())) {
        base::Log(base::events::kRowUnreadable,
                  {{"table", kIndexTable}, {"key", row.address.key}});
      }
      return done(IndexUnavailable{"the home service cannot be decoded"});
    }
    home_ = std::move(service);
    done(*home_);
  }

  void RecordHome(const base::ServiceName& candidate,
                  const std::function<void(HomeResult)>& done) {
    const std::string table(kIndexTable);
    const std::string key(kHomeKey);
    store_.Commit(
        {std::string(kHomePartition),
         {{table, key, store::kAbsent}},
         {{table, key, EncodeIndexEntry(candidate)}},
         {}},
        [self = shared_from_this(), candidate, done](const RowsResult& result) {
          if (std::holds_alternative<RowsCommitted>(result)) {
            self->home_ = candidate;
            return done(candidate);
          }
          const auto* conflict = std::get_if<RowsConflict>(&result);
          if (conflict == nullptr || conflict->present.empty()) {
            return done(IndexUnavailable{DetailOf(result)});
          }
          self->AdoptHome(conflict->present.front(),
                          [self, done](const LocateResult& adopted) {
                            if (self->home_) {
                              return done(*self->home_);
                            }
                            done(std::get<IndexUnavailable>(adopted));
                          });
        });
  }

  void ReadEntry(const base::JobName& name,
                 const std::function<void(LocateResult)>& done) {
    ReadEntryRow(
        name, [self = shared_from_this(), done](const RowsReadResult& result) {
          if (const auto* failed = std::get_if<ReadFailed>(&result)) {
            return done(IndexUnavailable{failed->detail});
          }
          const auto& rows = std::get<RowsRead>(result).rows;
          if (rows.empty()) return done(*self->home_);
          auto service = DecodeIndexEntry(rows.front().value);
          if (!service) {
            return done(IndexUnavailable{"the entry cannot be decoded"});
          }
          done(*std::move(service));
        });
  }

  void ReadEntryRow(const base::JobName& name,
                    std::function<void(RowsReadResult)> done) {
    store_.Read(
        store::OneRow(kIndexTable, RequestPartition(*home_, name), name.str()),
        std::move(done));
  }

  void RemoveEntry(const base::JobName& name, store::RowVersion version,
                   const std::function<void(bool)>& done) {
    const std::string table(kIndexTable);
    store_.Commit({RequestPartition(*home_, name),
                   {{table, name.str(), version}},
                   {},
                   {{table, name.str()}}},
                  [done](const RowsResult& result) {
                    done(std::holds_alternative<RowsCommitted>(result) ||
                         std::holds_alternative<RowsConflict>(result));
                  });
  }

  store::RowStore& store_;
  /// Empty until it is known; it never changes in the store.
  std::optional<base::ServiceName> home_;
  base::LogGate unreadable_log_{base::Duration(10'000)};
};

JobIndex::JobIndex(store::RowStore& store)
    : impl_(std::make_shared<Impl>(store)) {}

void JobIndex::FindHome(const base::ServiceName& candidate,
                        const std::function<void(HomeResult)>& done) {
  impl_->FindHome(candidate, done);
}

void JobIndex::Locate(const base::JobName& name,
                      const std::function<void(LocateResult)>& done) {
  impl_->Locate(name, done);
}

void JobIndex::Reserve(const base::JobName& name,
                       const base::ServiceName& service,
                       std::function<void(ReserveResult)> done) {
  impl_->Reserve(name, service, std::move(done));
}

void JobIndex::Remove(const base::JobName& name,
                      const base::ServiceName& service,
                      std::function<void(bool)> done) {
  impl_->Remove(name, service, std::move(done));
}

const base::ServiceName& JobIndex::home() const { return impl_->home(); }

std::string JobIndex::DecidingPartition(const base::JobName& name) const {
  return RequestPartition(impl_->home(), name);
}

store::RowCondition JobIndex::NoEntryCondition(const base::JobName& name) {
  return {std::string(kIndexTable), name.str(), store::kAbsent};
}

JobIndex::ReserveResult JobIndex::DecidedService(
    const std::vector<StoredRow>& present, const base::JobName& name) const {
  return impl_->DecidedService(present, name);
}

}  // namespace lapishatch::jobs
