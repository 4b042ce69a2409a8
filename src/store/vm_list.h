#ifndef LAPISHATCH_STORE_VM_LIST_H_
#define LAPISHATCH_STORE_VM_LIST_H_

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"
#include "http/http.h"
#include "store/table.h"

namespace lapishatch::store {

enum class VmKind : std::uint8_t { kEntry, kRunner, kWorker };

enum class VmState : std::uint8_t { kLive, kLeaving };

/// One line of the platform's list. The list lags: a VM may be gone, leaving or
/// new without being shown so.
struct Vm {
  std::string name;
  VmKind kind = VmKind::kEntry;
  VmState state = VmState::kLive;
  base::DomainName domain;
  http::Endpoint endpoint;
  /// Rack of a worker; empty otherwise.
  base::RackName rack;
  /// Service of a runner; empty otherwise.
  base::ServiceName service;
};

using VmListResult = std::variant<std::vector<Vm>, ReadFailed>;

/// The platform's lagging list of live and leaving VMs.
class VmList {
 public:
  virtual ~VmList() = default;

  virtual void List(std::function<void(VmListResult)> done) = 0;
};

/// The list in the platform's JSON, as docs/OUTSIDE.md gives it.
std::string SerializeVms(const std::vector<Vm>& vms);

/// A list as it was read.
struct ParsedVms {
  std::vector<Vm> vms;
  /// Number of entries that cannot be read. They are left out: a VM that
  /// another writer describes wrongly must not hide the others.
  std::size_t unreadable = 0;
};

/// Nothing when `body` is no such list.
std::optional<ParsedVms> ParseVms(std::string_view body);

}  // namespace lapishatch::store

namespace lapishatch::base {
template <>
struct EnumNames<store::VmKind> {
  static constexpr std::array<std::string_view, 3> kNames = {"entry", "runner",
                                                             "worker"};
};
template <>
struct EnumNames<store::VmState> {
  static constexpr std::array<std::string_view, 2> kNames = {"live", "leaving"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_STORE_VM_LIST_H_
