#ifndef LAPISHATCH_MEMBERSHIP_SEEDS_H_
#define LAPISHATCH_MEMBERSHIP_SEEDS_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "base/base.h"
#include "membership/group.h"
#include "store/store.h"

namespace lapishatch::membership {

struct VmSeedsOptions {
  /// Ports of the inner protocol on an entry VM: those of its programs. Empty
  /// takes the port that the list gives.
  std::vector<std::uint16_t> ports;
  /// Between two reads of the list; each comes up to a quarter earlier, so that
  /// the processes do not read together.
  base::Duration interval{30'000};
  std::uint64_t random_seed = 1;
};

/// Gives a group the endpoints of the entry VMs that the platform lists. The
/// list lags, so it only says whom to look for, never who is gone. To be used
/// on the loop only.
class VmSeeds {
 public:
  /// `vms` and `group` must outlive the seeds.
  VmSeeds(base::EventLoop& loop, store::VmList& vms, Group& group,
          VmSeedsOptions options);
  ~VmSeeds();
  VmSeeds(const VmSeeds&) = delete;
  VmSeeds& operator=(const VmSeeds&) = delete;

  /// Reads the list now and then.
  void Start();

 private:
  void OnList(const store::VmListResult& result);

  base::EventLoop& loop_;
  store::VmList& vms_;
  Group& group_;
  VmSeedsOptions options_;
  base::Random random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_SEEDS_H_
