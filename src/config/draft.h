#ifndef LAPISHATCH_CONFIG_DRAFT_H_
#define LAPISHATCH_CONFIG_DRAFT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/capacity.h"
#include "config/change.h"
#include "config/domain_choice.h"
#include "config/mirror.h"

namespace lapishatch::config {

/// The configuration as it would be after changes that are not written yet.
class Draft {
 public:
  /// `versions` are those of the logs, as the draft continues them.
  Draft(const Mirror& mirror,
        std::array<LogVersion, base::kEnumSize<LogId>> versions)
      : mirror_(mirror), versions_(versions) {}

  ResourcePtr Find(const ResourceRef& ref) const;

  /// In order of name.
  std::vector<ResourcePtr> List(ResourceKind kind) const;

  /// The version of the next change of a log.
  LogVersion Next(LogId log) {
    return ++versions_[static_cast<std::size_t>(log)];
  }

  void Put(ResourcePtr resource);
  void Erase(const ResourceRef& ref);

  /// Counts what all jobs ask for, once; kept up to date from then on.
  void CountDemand();

  /// After CountDemand.
  const DemandBook& demand() const { return *demand_; }

  /// Takes over the changes of another draft of the same mirror.
  void Adopt(Draft&& other) {
    versions_ = other.versions_;
    changed_ = std::move(other.changed_);
    demand_ = std::move(other.demand_);
  }

 private:
  /// Puts `resource`, or nothing, in the place of what is there.
  void Replace(const ResourceRef& ref, ResourcePtr resource);

  const Mirror& mirror_;
  std::array<LogVersion, base::kEnumSize<LogId>> versions_;
  /// Null for what is gone.
  std::map<ResourceRef, ResourcePtr> changed_;
  /// Nothing until it is asked for.
  std::optional<DemandBook> demand_;
};

/// One log entry to be, without the attempt.
struct PlannedEntry {
  LogVersion version = 0;
  EntryType type = EntryType::kPut;
  ResourcePtr resource;
  /// The status row that must be at this version, for a status.
  std::optional<store::RowVersion> status_row_version;
};

/// What a set would do.
struct PlannedChanges {
  std::vector<AppliedChange> changes;
  std::vector<PlannedEntry> entries;
  /// Logs that the judgement rests on, besides those that are written.
  std::array<bool, base::kEnumSize<LogId>> rests_on{};
};

using PlanResult = std::variant<PlannedChanges, ChangesRefused>;

/// What judges a set, besides the draft.
struct Judge {
  /// May be null: guarantees and jobs are then accepted whatever the hardware.
  const Capacity* capacity = nullptr;
  /// Now, in ms since 1970.
  std::int64_t now_ms = 0;
};

/// Applies a set to the draft if all of it can be accepted; otherwise says why
/// not, and leaves the draft as it was.
PlanResult Plan(const ChangeSet& set, const Judge& judge, Draft& draft);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_DRAFT_H_
