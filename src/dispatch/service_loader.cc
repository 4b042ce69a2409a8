#include "dispatch/internal/service_loader.h"

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

constexpr base::Duration kAgain{100};
constexpr std::size_t kPageRows = 500;

}  // namespace

class ServiceLoader::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::RowStore& store,
       const base::ServiceName& service, Epoch epoch,
       std::function<void(LoadedService)> on_loaded,
       std::function<void(const std::string&)> on_lost)
      : loop_(loop),
        store_(store),
        parts_(jobs::ProgressPartitions(service)),
        epoch_(epoch),
        on_loaded_(std::move(on_loaded)),
        on_lost_(std::move(on_lost)),
        parts_left_(parts_.size()) {
    loaded_.fences.resize(parts_.size());
  }

  void Start() {
    for (std::size_t i = 0; i < parts_.size(); ++i) Fence(i, store::kAbsent);
  }

 private:
  void Fence(std::size_t part, RowVersion present) {
    const std::string table(kOwnerTable);
    const std::string key(kFenceKey);
    store_.Commit(
        {parts_[part],
         {{table, key, present}},
         {{table, key, std::to_string(epoch_)}},
         {}},
        [weak = weak_from_this(), part, present](const RowsResult& result) {
          const auto self = weak.lock();
          if (self) self->OnFenced(part, present, result);
        });
  }

  void OnFenced(std::size_t part, RowVersion present,
                const RowsResult& result) {
    if (const auto* committed = std::get_if<RowsCommitted>(&result)) {
      loaded_.fences[part] = committed->version;
      return Enqueue(part);
    }
    const auto* conflict = std::get_if<RowsConflict>(&result);
    if (conflict == nullptr) {
      return Later([part, present](Impl& self) { self.Fence(part, present); });
    }
    if (conflict->present.empty()) return Fence(part, store::kAbsent);
    const auto& row = conflict->present.front();
    const auto other = std::strtoull(row.value.c_str(), nullptr, 10);
    if (other > epoch_) return on_lost_("a later owner has fenced a part");
    if (other < epoch_) return Fence(part, row.version);
    // An earlier try without an answer was done after all.
    loaded_.fences[part] = row.version;
    Enqueue(part);
  }

  /// A part that is fenced is read when its turn comes.
  void Enqueue(std::size_t part) {
    fenced_.push_back(part);
    ReadNext();
  }

  void ReadNext() {
    while (!fenced_.empty() && reading_ < window_.size()) {
      ++reading_;
      const auto part = fenced_.front();
      fenced_.pop_front();
      Read(part, "");
    }
  }

  void Read(std::size_t part, const std::string& from) {
    store_.Read(
        {std::string(jobs::kProgressTable), parts_[part], from, "", kPageRows},
        [weak = weak_from_this(), part, from,
         sent = loop_.Now()](RowsReadResult result) {
          const auto self = weak.lock();
          if (self) self->OnPage(part, from, sent, std::move(result));
        });
  }

  void OnPage(std::size_t part, const std::string& from, base::TimePoint sent,
              RowsReadResult result) {
    auto* page = std::get_if<RowsRead>(&result);
    if (page == nullptr) {
      return Later([part, from](Impl& self) { self.Read(part, from); });
    }
    window_.OnRead(loop_.Now() - sent);
    std::string last;
    for (auto& it : page->rows) {
      last = it.address.key;
      loaded_.progress[base::JobName(last)] = std::move(it);
    }
    if (page->has_more) return Read(part, store::KeyAfter(last));
    --reading_;
    if (--parts_left_ == 0) return on_loaded_(std::move(loaded_));
    ReadNext();
  }

  template <typename Step>
  void Later(Step step) {
    loop_.After(kAgain, [weak = weak_from_this(), step] {
      if (const auto self = weak.lock()) step(*self);
    });
  }

  base::EventLoop& loop_;
  store::RowStore& store_;
  const std::vector<std::string> parts_;
  const Epoch epoch_;
  const std::function<void(LoadedService)> on_loaded_;
  const std::function<void(const std::string&)> on_lost_;
  std::size_t parts_left_;
  /// Parts that are fenced and wait to be read.
  std::deque<std::size_t> fenced_;
  int reading_ = 0;
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
