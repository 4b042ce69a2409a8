#include "membership/transport_charges.h"

#include <utility>

namespace lapishatch::membership {

using base::BudgetUse;
using http::ResourceKind;

void ChargeTransport(wire::AsioTransportOptions& options,
                     http::ResourcesPtr resources) {
  options.charge_connection = [resources](base::Charge& charge) {
    charge =
        resources->MakeCharge(ResourceKind::kDescriptors, BudgetUse::kOutgoing);
    // The transport calls with its lock held, so nothing may be closed here.
    return charge.TryResize(1);
  };
  options.charge_payload = [resources = std::move(resources)](
                               base::Charge& charge, std::size_t bytes) {
    charge = resources->MakeCharge(ResourceKind::kBytes, BudgetUse::kInput);
    return resources->TryHold(charge, bytes, 0);
  };
}

}  // namespace lapishatch::membership
