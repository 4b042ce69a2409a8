#include "wire/internal/connection.h"

namespace lapishatch::wire::internal {

bool IsExpired(const Connection& connection,
               const AsioTransportOptions& options, base::TimePoint now) {
  if (!connection.connected) {
    return now - connection.opened_at >= options.connect_timeout;
  }
  if (!connection.peer) {
    return now - connection.opened_at >= options.hello_timeout;
  }
  return now - connection.last_received >= options.silence_timeout ||
         now - connection.last_useful >= options.idle_timeout;
}

}  // namespace lapishatch::wire::internal
