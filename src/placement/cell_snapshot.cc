#include "placement/cell_snapshot.h"

#include <map>
#include <set>
#include <string>

#include "placement/internal/cell.h"

namespace lapishatch::placement {
namespace {

using OrganisationOnWorker =
    std::pair<base::OrganisationName, base::WorkerName>;

/// Recomputes the load of each worker and compares it with capacity and blocks.
class Checker {
 public:
  explicit Checker(const CellSnapshot& snapshot) : snapshot_(&snapshot) {
    for (const auto& it : snapshot.workers) workers_[it.spec.name] = &it;
  }

  std::string Run() {
    for (const auto& it : snapshot_->gangs) CheckGang(it);
    CheckCapacity();
    for (const auto& it : snapshot_->blocks) CheckBlock(it);
    CheckDisjoint();
    CheckOwners();
    CheckCounts();
    return problem_;
  }

 private:
  void Fail(std::string text) {
    if (problem_.empty()) problem_ = std::move(text);
  }

  int ChargeOf(const GangSnapshot& gang, const TaskPlacement& task) const {
    const auto it = workers_.find(task.worker);
    if (it == workers_.end()) return 0;
    return internal::ChargeOn(it->second->spec, gang.gang.needs);
  }

  static bool IsSchedulable(const WorkerSnapshot& it) {
    return it.present && it.health == WorkerHealth::kHealthy;
  }

  /// Accelerators that an organisation's guaranteed (not borrowed) work is
  /// charged on a worker.
  int GuaranteedChargeOn(const base::OrganisationName& organisation,
                         const base::WorkerName& worker) const {
    int own = 0;
    for (const auto& it : snapshot_->gangs) {
      if (it.placement.borrowed || it.gang.organisation != organisation) {
        continue;
      }
      for (const auto& task : it.placement.tasks) {
        if (task.worker == worker) own += ChargeOf(it, task);
      }
    }
    return own;
  }

  /// Checks that every task is placed and that the adjacency is respected.
  void CheckGang(const GangSnapshot& it) {
    const auto& name = it.gang.job.str();
    if (static_cast<int>(it.placement.tasks.size()) != it.gang.tasks) {
      Fail("gang " + name + " is only partly placed");
    }
    std::set<base::WorkerName> on;
    std::set<base::RackName> racks;
    for (const auto& task : it.placement.tasks) {
      on.insert(task.worker);
      const auto worker = workers_.find(task.worker);
      if (worker == workers_.end()) continue;
      racks.insert(worker->second->spec.rack);
    }
    if (it.gang.adjacency == Adjacency::kWorker && on.size() > 1) {
      Fail("gang " + name + " is on several workers");
    }
    if (it.gang.adjacency == Adjacency::kRack && racks.size() > 1) {
      Fail("gang " + name + " is in several racks");
    }
    if (it.placement.borrowed && !it.evicting &&
        !(it.gang.checkpointable || it.gang.idempotent ||
          it.gang.may_be_lost)) {
      Fail("gang " + name + " is borrowed and can't be evicted");
    }
  }

  /// Checks that no worker is overfilled, neither now nor once the gangs that
  /// wait for capacity have started.
  void CheckCapacity() {
    std::map<base::WorkerName, int> now;
    std::map<base::WorkerName, int> later;
    std::map<base::WorkerName, std::uint64_t> masks;
    for (const auto& it : snapshot_->gangs) {
      for (const auto& task : it.placement.tasks) {
        const int charge = ChargeOf(it, task);
        if (!it.awaiting_capacity) now[task.worker] += charge;
        if (!it.evicting) later[task.worker] += charge;
        if (it.awaiting_capacity) continue;
        if ((masks[task.worker] & task.accelerators) != 0) {
          Fail("two tasks hold one accelerator of worker " + task.worker.str());
        }
        masks[task.worker] |= task.accelerators;
      }
    }
    for (const auto& [name, worker] : workers_) {
      if (now[name] > worker->spec.accelerators) {
        Fail("worker " + name.str() + " is overfilled");
      }
      if (later[name] > worker->spec.accelerators) {
        Fail("worker " + name.str() + " will be overfilled");
      }
    }
  }

  void CheckBlock(const BlockSnapshot& it) {
    if (it.parts.empty() || !it.guaranteed) return;
    int sum = 0;
    int broken_workers = 0;
    std::set<base::WorkerName> on;
    std::set<base::RackName> racks;
    for (const auto& part : it.parts) {
      sum += part.accelerators;
      on.insert(part.worker);
      const auto worker = workers_.find(part.worker);
      if (worker == workers_.end()) {
        Fail("a block of " + it.organisation.str() +
             " is on an unknown worker");
        continue;
      }
      racks.insert(worker->second->spec.rack);
      if (it.intact && !IsSchedulable(*worker->second) &&
          GuaranteedChargeOn(it.organisation, part.worker) <
              part.accelerators) {
        Fail("a block of " + it.organisation.str() +
             " is on a worker that accepts no new tasks");
      }
      if (part.accelerators < worker->second->spec.accelerators) {
        ++broken_workers;
      }
    }
    const auto text = "a block of " + it.organisation.str() + " ";
    if (sum != it.shape.accelerators) Fail(text + "has the wrong size");
    if (broken_workers > 1) Fail(text + "takes parts of several workers");
    if (it.shape.adjacency == Adjacency::kWorker && on.size() > 1) {
      Fail(text + "is on several workers");
    }
    if (it.shape.adjacency == Adjacency::kRack && racks.size() > 1) {
      Fail(text + "is in several racks");
    }
  }

  void CheckDisjoint() {
    std::map<base::WorkerName, int> claimed;
    for (const auto& it : snapshot_->blocks) {
      for (const auto& part : it.parts) {
        claimed[part.worker] += part.accelerators;
      }
    }
    for (const auto& [name, worker] : workers_) {
      if (claimed[name] > worker->spec.accelerators) {
        Fail("guaranteed blocks overlap on worker " + name.str());
      }
    }
  }

  /// Checks that work that is not borrowed runs in its own organisation's
  /// blocks.
  void CheckOwners() {
    std::map<OrganisationOnWorker, int> claimed;
    for (const auto& it : snapshot_->blocks) {
      for (const auto& part : it.parts) {
        claimed[{it.organisation, part.worker}] += part.accelerators;
      }
    }
    std::map<OrganisationOnWorker, int> own;
    for (const auto& it : snapshot_->gangs) {
      if (it.placement.borrowed) continue;
      for (const auto& task : it.placement.tasks) {
        own[{it.gang.organisation, task.worker}] += ChargeOf(it, task);
      }
    }
    for (const auto& [key, charge] : own) {
      if (charge <= claimed[key]) continue;
      Fail("work of " + key.first.str() + " on worker " + key.second.str() +
           " is neither borrowed nor in a guaranteed block");
    }
  }

  /// Checks that every guarantee has as many blocks as it promises.
  void CheckCounts() {
    std::map<std::pair<base::OrganisationName, Shape>, int> counts;
    for (const auto& it : snapshot_->guarantees) {
      counts[{it.organisation, it.shape}] += it.count;
    }
    for (const auto& it : snapshot_->blocks) {
      if (it.guaranteed) --counts[{it.organisation, it.shape}];
    }
    for (const auto& [key, missing] : counts) {
      if (missing == 0) continue;
      Fail("organisation " + key.first.str() + " has " +
           std::to_string(missing) + " blocks too few");
    }
  }

  const CellSnapshot* snapshot_;
  std::map<base::WorkerName, const WorkerSnapshot*> workers_;
  std::string problem_;
};

}  // namespace

std::string CheckCellInvariant(const CellSnapshot& snapshot) {
  return Checker(snapshot).Run();
}

}  // namespace lapishatch::placement
