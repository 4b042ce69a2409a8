#include "wire/internal/connection.h"

namespace lapishatch::wire::internal {

bool Enqueue(Connection& connection, std::string_view payload,
             const AsioTransportOptions& options) {
  if (payload.size() > options.max_frame_bytes) return false;
  if (connection.queue.size() >= options.max_queued_messages) return false;
  const auto bytes = connection.queued_bytes + payload.size();
  if (bytes > options.max_queued_bytes) return false;
  connection.queue.push_back(MakeFrame(payload));
  connection.queued_bytes = bytes;
  return true;
}

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
