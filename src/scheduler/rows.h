#ifndef LAPISHATCH_SCHEDULER_ROWS_H_
#define LAPISHATCH_SCHEDULER_ROWS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "lifecycle/lifecycle.h"

namespace lapishatch::scheduler {

// The rows that owners keep in the platform's table; docs/TABLE.md gives their
// layout. Decoders return nothing for a text that is not such a row.

/// Who holds a cell; changes with every renewal.
std::string CellKey(const base::CellName& cell);

/// Changes only with the owner of a cell: every record of an owner is
/// conditional on its version.
std::string FenceKey(const base::CellName& cell);

std::string IntentKey(const base::JobName& job);
std::string StatusKey(const base::JobName& job);

inline constexpr std::string_view kIntentPrefix = "intents/";

std::string EncodeHolder(const lifecycle::HolderRow& row);
std::optional<lifecycle::HolderRow> DecodeHolder(std::string_view text);

/// A member of a recorded attempt.
struct IntentMember {
  base::WorkerName worker;
  /// The life of the worker that was given the reservation.
  base::Incarnation incarnation;
  std::uint64_t accelerators = 0;
  /// Known to have finished; its worker may have forgotten it.
  bool finished = false;

  friend bool operator==(const IntentMember&, const IntentMember&) = default;
};

/// An attempt that may have been started. It is there from before the first
/// start until the end of the attempt is recorded.
struct Intent {
  base::CellName cell;
  lifecycle::Epoch epoch = 0;
  base::AttemptId attempt;
  /// Attempts of the job so far, this one included.
  int attempts = 0;
  bool borrowed = false;
  /// Where this attempt continues from, or empty.
  std::string checkpoint;
  /// By task.
  std::vector<IntentMember> members;

  friend bool operator==(const Intent&, const Intent&) = default;
};

std::string EncodeIntent(const Intent& intent);
std::optional<Intent> DecodeIntent(std::string_view text);

/// A job's status, with the write that made it.
struct StatusRow {
  base::AttemptId write;
  config::JobStatus status;
};

std::string EncodeStatusRow(const StatusRow& row);
std::optional<StatusRow> DecodeStatusRow(std::string_view text);

}  // namespace lapishatch::scheduler

#endif  // LAPISHATCH_SCHEDULER_ROWS_H_
