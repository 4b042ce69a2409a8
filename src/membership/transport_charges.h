#ifndef LAPISHATCH_MEMBERSHIP_TRANSPORT_CHARGES_H_
#define LAPISHATCH_MEMBERSHIP_TRANSPORT_CHARGES_H_

#include "http/resources.h"
#include "wire/transport.h"

namespace lapishatch::membership {

/// Charges what a transport holds of its peers to `resources`, as HTTP does.
void ChargeTransport(wire::AsioTransportOptions& options,
                     http::ResourcesPtr resources);

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_TRANSPORT_CHARGES_H_
