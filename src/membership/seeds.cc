#include "membership/seeds.h"

#include <random>
#include <utility>

namespace lapishatch::membership {

VmSeeds::VmSeeds(base::EventLoop& loop, store::VmList& vms, Group& group,
                 VmSeedsOptions options)
    : loop_(loop),
      vms_(vms),
      group_(group),
      options_(std::move(options)),
      random_(options_.random_seed) {}

VmSeeds::~VmSeeds() { *alive_ = false; }

void VmSeeds::Start() {
  vms_.List([alive = alive_, this](store::VmListResult result) {
    // The answer comes on any thread; what it finds gone is looked at on the
    // loop.
    loop_.Post([alive, this, result = std::move(result)] {
      if (*alive) OnList(result);
    });
  });
}

void VmSeeds::OnList(const store::VmListResult& result) {
  std::uniform_int_distribution<std::int64_t> range(
      options_.interval.count() * 3 / 4, options_.interval.count());
  loop_.After(base::Duration(range(random_)), [alive = alive_, this] {
    if (*alive) Start();
  });
  const auto* vms = std::get_if<std::vector<store::Vm>>(&result);
  if (vms == nullptr) return;
  std::vector<wire::Endpoint> endpoints;
  for (const auto& it : *vms) {
    if (it.kind != store::VmKind::kEntry) continue;
    if (options_.ports.empty()) {
      endpoints.push_back({it.endpoint.address, it.endpoint.port});
    }
    for (const auto port : options_.ports) {
      endpoints.push_back({it.endpoint.address, port});
    }
  }
  group_.SetFound(std::move(endpoints));
}

}  // namespace lapishatch::membership
