#include "platform/platform_faults.h"

#include <cmath>

namespace lapishatch::standins {
namespace {

constexpr std::uint32_t kMillion = 1'000'000;

std::size_t IndexOf(PlatformFault fault) {
  return static_cast<std::size_t>(fault);
}

}  // namespace

static_assert(base::kEnumSize<PlatformFault> == 6,
              "A_FAULT_WAS_ADDED: give PlatformFaults one more slot");

void PlatformFaults::Set(PlatformFault fault, base::Duration time,
                         double share) {
  auto& slot = slots_[IndexOf(fault)];
  slot.time_ms = time.count();
  slot.calls = 0;
  slot.share = static_cast<std::uint32_t>(std::lround(share * kMillion));
}

void PlatformFaults::Clear() {
  for (auto& it : slots_) it.share = 0;
}

bool PlatformFaults::Hits(PlatformFault fault) {
  auto& slot = slots_[IndexOf(fault)];
  const std::uint64_t share = slot.share;
  if (share == 0) return false;
  // The n-th call is hit when it takes the running total over a whole number.
  const auto n = slot.calls++;
  return (n + 1) * share / kMillion > n * share / kMillion;
}

base::Duration PlatformFaults::TimeOf(PlatformFault fault) const {
  return base::Duration(slots_[IndexOf(fault)].time_ms.load());
}

}  // namespace lapishatch::standins
