#ifndef LAPISHATCH_ENTRY_PLATFORM_VIEW_H_
#define LAPISHATCH_ENTRY_PLATFORM_VIEW_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "backends/backends.h"
#include "base/base.h"
#include "config/config.h"
#include "store/store.h"

namespace lapishatch::entry {

struct PlatformViewOptions {
  /// Between two readings of the VM list and the cells' rows.
  base::Duration poll{5'000};
  /// A worker's size is asked for again after this.
  base::Duration size_valid{600'000};
  /// Workers asked for their size at once.
  std::size_t max_asked = 16;
  std::uint64_t seed = 1;
};

/// The section [platform_view].
config::Section Describe(PlatformViewOptions& options);

struct PlatformViewPorts {
  base::EventLoop& loop;
  store::VmList& vms;
  store::Table& table;
  backends::WorkerClient& workers;
  /// Is told the workers' sizes.
  config::WorkerCapacity& capacity;
};

/// The owner of a cell, by the row last read.
struct CellHolder {
  base::CellName cell;
  base::Incarnation holder;
  /// Where it is asked over the inner protocol.
  std::optional<http::Endpoint> endpoint;
  std::uint64_t epoch = 0;
};

/// What the platform's list and table show of VMs and cells, and how large the
/// workers say they are. Keeps what it read last while the platform cannot be
/// read. Answers are safe from several threads.
class PlatformView {
 public:
  PlatformView(PlatformViewOptions options, PlatformViewPorts ports);
  ~PlatformView();
  PlatformView(const PlatformView&) = delete;
  PlatformView& operator=(const PlatformView&) = delete;

  /// Begins to read. On the loop.
  void Start();

  /// Those of one kind, in order of name.
  std::vector<store::Vm> Vms(store::VmKind kind) const;

  /// How large a worker said it is.
  std::optional<placement::WorkerSpec> SizeOf(
      const base::WorkerName& worker) const;

  std::vector<CellHolder> Cells() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_PLATFORM_VIEW_H_
