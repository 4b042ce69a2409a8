#include "scheduler/cell_owner.h"

#include <utility>

#include "scheduler/internal/callback_scope.h"
#include "scheduler/internal/cell_run.h"
#include "scheduler/internal/lease_keeper.h"

namespace lapishatch::scheduler {

class CellOwner::Impl {
 public:
  Impl(OwnerOptions options, OwnerPorts ports)
      : options_(std::move(options)),
        ports_(std::move(ports)),
        keeper_(options_, ports_.loop, ports_.table, ports_.probe, ports_.group,
                KeeperHooks()),
        scope_(ports_.loop) {}

  void Start() { keeper_.Begin(); }

  void Stop(std::function<void()> done) {
    stopped_ = std::move(done);
    stopping_ = true;
    if (!run_) return Release();
    ports_.loop.After(options_.lease.duration,
                      scope_.Guard([this] { Release(); }));
    run_->HandOver([this] { Release(); });
  }

  void CheckNow() { keeper_.Tell(lifecycle::ReadRequested{}); }

  ProbeAnswer AnswerProbe(const base::Incarnation& holder) const {
    ProbeAnswer answer;
    if (holder != options_.incarnation) return answer;
    answer.state = keeper_.lease().state(ports_.loop.Now());
    answer.epoch = keeper_.lease().epoch();
    return answer;
  }

  OwnerStatus Status() const {
    OwnerStatus status;
    if (run_) run_->Describe(status);
    status.holder = keeper_.lease().holder();
    status.epoch = run_ ? keeper_.lease().epoch() : 0;
    if (run_) status.taken = taken_;
    if (run_) status.taken_from = taken_from_;
    if (stopping_) status.phase = OwnerPhase::kHandingOver;
    if (is_stopped_) status.phase = OwnerPhase::kStopped;
    return status;
  }

  placement::Explanation Explain(const base::JobName& job) const {
    if (!run_) return {"unknown job", "this process does not own the cell", 0};
    return run_->Explain(job);
  }

 private:
  internal::LeaseKeeper::Hooks KeeperHooks() {
    internal::LeaseKeeper::Hooks hooks;
    hooks.granted = [this](const lifecycle::LeaseGranted& it) {
      OnGranted(it);
    };
    hooks.lost = [this](const lifecycle::LeaseLost& it) { OnLost(it); };
    hooks.released = [this] { OnReleased(); };
    return hooks;
  }

  void OnGranted(const lifecycle::LeaseGranted& grant) {
    base::Log(base::events::kCellTaken,
              {{"cell", options_.cell}, {"epoch", grant.epoch}});
    if (lifecycle::IsEarlyAcquire(grant.reason)) LogHint(grant);
    taken_ = grant.reason;
    taken_from_ = grant.previous_holder;
    internal::CellRun::Hooks hooks;
    hooks.may_act = [this] { return keeper_.MayAct(); };
    hooks.deposed = [this](lifecycle::Epoch seen) {
      keeper_.Tell(lifecycle::EpochRejected{seen});
    };
    hooks.without_table = [this] {
      return keeper_.lease().HoldsWithoutTable(ports_.loop.Now());
    };
    run_ = std::make_unique<internal::CellRun>(options_, ports_, grant,
                                               std::move(hooks));
  }

  void LogHint(const lifecycle::LeaseGranted& grant) const {
    base::Log(base::events::kCellTakenOnHint,
              {{"cell", options_.cell},
               {"epoch", grant.epoch},
               {"reason", base::NameOf(grant.reason)},
               {"earlier_holder", grant.previous_holder}});
  }

  void OnLost(const lifecycle::LeaseLost& lost) {
    base::Log(base::events::kCellLost,
              {{"cell", options_.cell}, {"reason", lost.reason}});
    DropRun();
    if (stopping_) Release();
  }

  /// The run may be on the stack: it goes with the next turn of the loop, and
  /// until then the lapsed lease keeps it from sending anything.
  void DropRun() {
    if (run_ == nullptr) return;
    dropped_.push_back(std::move(run_));
    ports_.loop.Post(scope_.Guard([this] { dropped_.clear(); }));
  }

  void Release() {
    if (releasing_) return;
    releasing_ = true;
    keeper_.Tell(lifecycle::ReleaseRequested{});
  }

  void OnReleased() {
    base::Log(base::events::kCellReleased, {{"cell", options_.cell}});
    DropRun();
    is_stopped_ = true;
    ports_.loop.Post(scope_.Guard([this] {
      if (stopped_) std::exchange(stopped_, nullptr)();
    }));
  }

  const OwnerOptions options_;
  OwnerPorts ports_;
  std::unique_ptr<internal::CellRun> run_;
  std::vector<std::unique_ptr<internal::CellRun>> dropped_;
  internal::LeaseKeeper keeper_;
  lifecycle::AcquireReason taken_ = lifecycle::AcquireReason::kFree;
  base::Incarnation taken_from_;
  bool stopping_ = false;
  bool releasing_ = false;
  bool is_stopped_ = false;
  std::function<void()> stopped_;
  internal::CallbackScope scope_;
};

CellOwner::CellOwner(OwnerOptions options, OwnerPorts ports)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(ports))) {}
CellOwner::~CellOwner() = default;

void CellOwner::Start() { impl_->Start(); }

void CellOwner::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

void CellOwner::CheckNow() { impl_->CheckNow(); }

ProbeAnswer CellOwner::AnswerProbe(const base::Incarnation& holder) const {
  return impl_->AnswerProbe(holder);
}

OwnerStatus CellOwner::Status() const { return impl_->Status(); }

placement::Explanation CellOwner::Explain(const base::JobName& job) const {
  return impl_->Explain(job);
}

}  // namespace lapishatch::scheduler
