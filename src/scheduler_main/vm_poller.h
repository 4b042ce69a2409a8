#ifndef LAPISHATCH_SCHEDULER_MAIN_VM_POLLER_H_
#define LAPISHATCH_SCHEDULER_MAIN_VM_POLLER_H_

#include <functional>
#include <memory>
#include <vector>

#include "base/base.h"
#include "store/store.h"

namespace lapishatch::scheduler_main {

/// Reads the platform's VM list again and again and hands over each list that
/// could be read. To be used on the loop only.
class VmPoller {
 public:
  using OnList = std::function<void(const std::vector<store::Vm>&)>;

  /// `loop` and `list` must outlive it.
  VmPoller(base::EventLoop& loop, store::VmList& list, base::Duration every,
           OnList on_list);
  ~VmPoller();
  VmPoller(const VmPoller&) = delete;
  VmPoller& operator=(const VmPoller&) = delete;

  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::scheduler_main

#endif  // LAPISHATCH_SCHEDULER_MAIN_VM_POLLER_H_
