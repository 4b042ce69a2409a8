#ifndef LAPISHATCH_ENTRY_SYSTEM_VIEW_H_
#define LAPISHATCH_ENTRY_SYSTEM_VIEW_H_

#include <array>
#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "config/config.h"

namespace lapishatch::entry {

/// What the system sees and operators cannot write, but for the drain of a
/// worker or runner.
enum class SeenKind : std::uint8_t { kWorkers, kRunners, kCells };

/// One worker, runner or cell.
struct SeenResource {
  std::string name;
  boost::json::object status;
};

/// What the system sees by now. Safe from several threads; answers from memory.
class SystemView {
 public:
  virtual ~SystemView() = default;

  /// In order of name.
  virtual std::vector<SeenResource> List(SeenKind kind) const = 0;

  /// What /v1/status shows of the other processes.
  virtual boost::json::array Processes() const = 0;
};

/// Why a job waits or where it runs.
class JobExplainer {
 public:
  virtual ~JobExplainer() = default;

  /// Asks the owner of the job's cell. Calls `done` once, on any thread, with
  /// nothing when no owner answers in time.
  virtual void Explain(
      const config::ResourcePtr& job,
      std::function<void(std::optional<std::string>)> done) = 0;
};

}  // namespace lapishatch::entry

namespace lapishatch::base {
template <>
struct EnumNames<entry::SeenKind> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "workers", "runners", "cells"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_ENTRY_SYSTEM_VIEW_H_
