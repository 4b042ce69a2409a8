#include "wire/identity.h"

namespace lapishatch::wire {

std::string TextOf(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace lapishatch::wire
