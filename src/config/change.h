#ifndef LAPISHATCH_CONFIG_CHANGE_H_
#define LAPISHATCH_CONFIG_CHANGE_H_

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/json_reader.h"
#include "config/resource.h"
#include "store/store.h"

namespace lapishatch::config {

/// Write this spec.
struct PutSpec {
  Spec spec;
};

/// Delete the resource; a job that has not ended is asked to end instead.
struct Remove {};

/// Write a job's status, as it stands in its status row at this version of the
/// row. Left out when the row has moved on: whoever wrote it tells the newer.
struct PutStatus {
  JobStatus status;
  std::optional<store::RowVersion> row_version;
};

using ChangeAction = std::variant<PutSpec, Remove, PutStatus>;

/// The resource has this version; 0: it is not there.
struct MustHaveVersion {
  LogVersion version = 0;
};

/// The resource is not there, or is already as the change would make it.
struct MustBeNewOrSame {};

/// For the system's own changes only.
struct Anyway {};

using Precondition = std::variant<MustHaveVersion, MustBeNewOrSame, Anyway>;

struct Change {
  ResourceRef ref;
  Precondition precondition;
  ChangeAction action;
};

/// Changes that are accepted together or not at all.
struct ChangeSet {
  std::vector<Change> changes;
  /// Says what would happen, and does nothing.
  bool dry_run = false;
  /// Who makes them, for people.
  std::string changed_by;
};

enum class ChangeEffect : std::uint8_t {
  kCreated,
  kReplaced,
  kDeleted,
  /// A job that has not ended was asked to end.
  kCancelRequested,
  kUnchanged,
};

/// What became of one change.
struct AppliedChange {
  ChangeEffect effect = ChangeEffect::kUnchanged;
  /// After the change; before it, when the resource was deleted.
  ResourcePtr resource;
};

/// All changes are accepted, or would be.
struct ChangesAccepted {
  /// In the order of the set.
  std::vector<AppliedChange> changes;
  /// The log version from which each log holds them.
  std::array<LogVersion, base::kEnumSize<LogId>> versions{};
};

enum class RefusalReason : std::uint8_t {
  /// The whole configuration would not be valid.
  kInvalid,
  /// The resource has another version than demanded.
  kStale,
  /// It should not be there but is.
  kExists,
  kMissing,
  /// Something else needs it as it is.
  kInUse,
  /// Cannot be judged yet.
  kNotKnownYet,
};

/// Nothing of the set was accepted.
struct ChangesRefused {
  RefusalReason reason = RefusalReason::kInvalid;
  /// Which change of the set, from 0.
  std::size_t index = 0;
  ResourceRef ref;
  /// The resource as it is, if it is there.
  ResourcePtr present;
  Problems problems;
};

/// The table could not be had: certainly nothing was accepted.
struct ChangesNotAccepted {
  std::string detail;
};

/// Whether the changes were accepted is not known; the log will show it.
struct ChangesUnknown {
  std::string detail;
};

using ChangeOutcome = std::variant<ChangesAccepted, ChangesRefused,
                                   ChangesNotAccepted, ChangesUnknown>;

}  // namespace lapishatch::config

namespace lapishatch::base {
template <>
struct EnumNames<config::ChangeEffect> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "created", "replaced", "deleted", "cancel-requested", "unchanged"};
};
template <>
struct EnumNames<config::RefusalReason> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "invalid", "stale", "exists", "missing", "in-use", "not-known-yet"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_CONFIG_CHANGE_H_
