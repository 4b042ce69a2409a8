#include "config/draft.h"

#include <algorithm>
#include <utility>

#include "config/validation.h"

namespace lapishatch::config {
namespace {

/// Longest texts that a stored resource may hold.
constexpr std::size_t kMostReasonBytes = 1'024;
constexpr std::size_t kMostNameBytes = 128;

std::string Cut(std::string text, std::size_t most) {
  if (text.size() > most) text.resize(most);
  return text;
}

std::string VersionText(const ResourcePtr& resource) {
  if (resource == nullptr) return "it is not there";
  std::string out = "it is at version " + std::to_string(resource->version);
  if (!resource->changed_by.empty()) out += ", by " + resource->changed_by;
  return out;
}

bool PutsJob(const ChangeSet& set) {
  return std::any_of(set.changes.begin(), set.changes.end(),
                     [](const Change& it) {
                       return it.ref.kind == ResourceKind::kJob &&
                              std::holds_alternative<PutSpec>(it.action);
                     });
}

/// Applies one set to a draft, change by change.
class Planner {
 public:
  Planner(const ChangeSet& set, const Judge& judge, Draft& draft)
      : set_(set), judge_(judge), draft_(draft) {}

  PlanResult Run() {
    for (index_ = 0; index_ < set_.changes.size() && !refused_; ++index_) {
      const auto& change = set_.changes[index_];
      before_ = draft_.Find(change.ref);
      std::visit(*this, change.action);
    }
    if (!refused_) JudgeAll();
    if (refused_) return std::move(*refused_);
    return std::move(plan_);
  }

  void operator()(const PutSpec& action) {
    if (!MeetsPrecondition(&action.spec)) return;
    if (before_ != nullptr && before_->spec == action.spec) {
      plan_.changes.push_back({ChangeEffect::kUnchanged, before_});
      return;
    }
    if (change().ref.kind == ResourceKind::kJob) {
      plan_.rests_on[static_cast<std::size_t>(LogId::kConfig)] = true;
      if (before_ != nullptr) {
        Refuse(RefusalReason::kInUse, "spec",
               "a job's spec is fixed once it is accepted: submit it under "
               "another name, and cancel this one");
        return;
      }
    }
    auto next = before_ != nullptr ? *before_ : NewResource();
    next.spec = action.spec;
    Put(std::move(next),
        before_ == nullptr ? ChangeEffect::kCreated : ChangeEffect::kReplaced);
    puts_.push_back(index_);
  }

  void operator()(const Remove&) {
    if (!MeetsPrecondition(nullptr)) return;
    if (before_ == nullptr) {
      Refuse(RefusalReason::kMissing, "name", "it is not there");
      return;
    }
    const bool is_job = before_->ref.kind == ResourceKind::kJob;
    if (is_job && !IsFinal(PhaseOf(*before_))) {
      RequestCancel();
      return;
    }
    if (before_->ref.kind == ResourceKind::kOrganisation) {
      plan_.rests_on[static_cast<std::size_t>(LogId::kJobs)] = true;
    }
    auto gone = *before_;
    Stamp(gone);
    plan_.entries.push_back(
        {draft_.Next(LogOf(gone.ref.kind)), EntryType::kDelete,
         std::make_shared<const Resource>(gone), std::nullopt});
    plan_.changes.push_back({ChangeEffect::kDeleted, before_});
    draft_.Erase(before_->ref);
    removals_.push_back(index_);
  }

  void operator()(const PutStatus& action) {
    if (before_ == nullptr || before_->status == action.status) {
      plan_.changes.push_back({ChangeEffect::kUnchanged, before_});
      return;
    }
    auto next = *before_;
    next.status = action.status;
    next.status->reason = Cut(next.status->reason, kMostReasonBytes);
    next.changed_at_ms = judge_.now_ms;
    next.status_version = draft_.Next(LogId::kJobs);
    const auto version = next.status_version;
    Add(version, std::move(next), action.row_version, ChangeEffect::kReplaced);
  }

 private:
  const Change& change() const { return set_.changes[index_]; }

  Resource NewResource() const {
    Resource resource;
    resource.ref = change().ref;
    resource.created_at_ms = judge_.now_ms;
    return resource;
  }

  void Stamp(Resource& resource) const {
    resource.changed_by = Cut(set_.changed_by, kMostNameBytes);
    resource.changed_at_ms = judge_.now_ms;
  }

  void Put(Resource next, ChangeEffect effect) {
    Stamp(next);
    next.version = draft_.Next(LogOf(next.ref.kind));
    const auto version = next.version;
    Add(version, std::move(next), std::nullopt, effect);
  }

  void Add(LogVersion version, Resource next,
           std::optional<store::RowVersion> status_row, ChangeEffect effect) {
    const auto resource = std::make_shared<const Resource>(std::move(next));
    draft_.Put(resource);
    plan_.changes.push_back({effect, resource});
    plan_.entries.push_back({version, EntryType::kPut, resource, status_row});
  }

  void RequestCancel() {
    if (before_->cancel_requested) {
      plan_.changes.push_back({ChangeEffect::kUnchanged, before_});
      return;
    }
    auto next = *before_;
    next.cancel_requested = true;
    Put(std::move(next), ChangeEffect::kCancelRequested);
  }

  bool MeetsPrecondition(const Spec* wanted) {
    const auto& precondition = change().precondition;
    if (std::holds_alternative<Anyway>(precondition)) return true;
    if (std::holds_alternative<MustBeNewOrSame>(precondition)) {
      if (before_ == nullptr) return true;
      if (wanted != nullptr && before_->spec == *wanted) return true;
      Refuse(RefusalReason::kExists, "version",
             VersionText(before_) + ": say which version to replace");
      return false;
    }
    const auto demanded = std::get<MustHaveVersion>(precondition).version;
    const auto present = before_ == nullptr ? 0 : before_->version;
    if (demanded == present) return true;
    if (demanded == 0) {
      const bool same = wanted != nullptr && before_->spec == *wanted;
      Refuse(RefusalReason::kExists, "version",
             VersionText(before_) + (same ? ", with the same spec" : ""));
      return false;
    }
    Refuse(before_ == nullptr && wanted == nullptr ? RefusalReason::kMissing
                                                   : RefusalReason::kStale,
           "version",
           std::to_string(demanded) +
               " is not the present version: " + VersionText(before_));
    return false;
  }

  /// Puts and removals are judged when all of the set stands in the draft, so
  /// that the order within a set does not matter.
  void JudgeAll() {
    for (const auto index : puts_) {
      index_ = index;
      const auto resource = draft_.Find(change().ref);
      if (resource == nullptr) continue;
      if (auto objection = ObjectionToPut(*resource, judge_, draft_)) {
        Object(std::move(*objection));
        return;
      }
      if (resource->ref.kind != ResourceKind::kJob) continue;
      auto verdict = JudgePin(*resource, judge_, draft_);
      if (auto* objection = std::get_if<Objection>(&verdict)) {
        Object(std::move(*objection));
        return;
      }
      Pin(resource, std::get<base::DomainName>(verdict));
    }
    for (const auto index : removals_) {
      index_ = index;
      if (draft_.Find(change().ref) != nullptr) continue;
      Resource gone;
      gone.ref = change().ref;
      if (auto objection = ObjectionToRemoval(gone, draft_)) {
        Object(std::move(*objection));
        return;
      }
    }
  }

  /// Records the domain of a job that this set submits.
  void Pin(const ResourcePtr& job, const base::DomainName& domain) {
    if (domain.empty()) return;
    auto next = *job;
    next.pinned_domain = domain;
    const auto pinned = std::make_shared<const Resource>(std::move(next));
    draft_.Put(pinned);
    plan_.changes[index_].resource = pinned;
    for (auto& it : plan_.entries) {
      if (it.resource == job) it.resource = pinned;
    }
  }

  void Object(Objection objection) {
    Refuse(objection.reason, std::move(objection.problem.path),
           std::move(objection.problem.detail));
  }

  void Refuse(RefusalReason reason, std::string path, std::string detail) {
    ChangesRefused refused;
    refused.reason = reason;
    refused.index = index_;
    refused.ref = change().ref;
    refused.present = before_;
    refused.problems.list.push_back({std::move(path), std::move(detail)});
    refused_ = std::move(refused);
  }

  const ChangeSet& set_;
  const Judge& judge_;
  Draft& draft_;
  std::size_t index_ = 0;
  ResourcePtr before_;
  std::vector<std::size_t> puts_;
  std::vector<std::size_t> removals_;
  PlannedChanges plan_;
  std::optional<ChangesRefused> refused_;
};

}  // namespace

ResourcePtr Draft::Find(const ResourceRef& ref) const {
  const auto it = changed_.find(ref);
  return it != changed_.end() ? it->second : mirror_.Find(ref);
}

std::vector<ResourcePtr> Draft::List(ResourceKind kind) const {
  std::map<std::string, ResourcePtr> all;
  for (auto& it : mirror_.List(kind).resources) {
    auto name = it->ref.name;
    all[std::move(name)] = std::move(it);
  }
  for (const auto& [ref, resource] : changed_) {
    if (ref.kind == kind) all[ref.name] = resource;
  }
  std::vector<ResourcePtr> out;
  for (auto& [name, resource] : all) {
    if (resource != nullptr) out.push_back(std::move(resource));
  }
  return out;
}

void Draft::Put(ResourcePtr resource) {
  const auto ref = resource->ref;
  Replace(ref, std::move(resource));
}

void Draft::Erase(const ResourceRef& ref) { Replace(ref, nullptr); }

void Draft::CountDemand() {
  if (demand_) return;
  DemandBook demand;
  for (const auto& it : mirror_.List(ResourceKind::kJob).resources) {
    if (!changed_.contains(it->ref)) demand.Add(*it);
  }
  for (const auto& [ref, resource] : changed_) {
    if (ref.kind == ResourceKind::kJob && resource) demand.Add(*resource);
  }
  demand_ = std::move(demand);
}

void Draft::Replace(const ResourceRef& ref, ResourcePtr resource) {
  if (demand_ && ref.kind == ResourceKind::kJob) {
    if (const auto before = Find(ref)) demand_->Remove(*before);
    if (resource) demand_->Add(*resource);
  }
  changed_[ref] = std::move(resource);
}

PlanResult Plan(const ChangeSet& set, const Judge& judge, Draft& draft) {
  if (judge.capacity != nullptr && PutsJob(set)) draft.CountDemand();
  auto trial = draft;
  auto result = Planner(set, judge, trial).Run();
  if (std::holds_alternative<PlannedChanges>(result) && !set.dry_run) {
    draft.Adopt(std::move(trial));
  }
  return result;
}

}  // namespace lapishatch::config
