#ifndef LAPISHATCH_HTTP_STREAM_CLIENT_H_
#define LAPISHATCH_HTTP_STREAM_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/client.h"

namespace lapishatch::http {

struct StreamLimits {
  base::Duration connect_timeout{1'000};
  /// From the request to the response's head.
  base::Duration head_timeout{10'000};
  /// A stream that brings nothing for so long is given up: its connection may
  /// have gone silent.
  base::Duration silence_timeout{60'000};
};

/// What happens on a stream, on an io thread, in order.
struct StreamEvents {
  /// The response's head; its body follows piece by piece.
  std::function<void(const Response& head)> on_head;
  std::function<void(std::string_view bytes)> on_bytes;
  /// Called once, last: empty detail when the peer ended the body properly.
  std::function<void(const ClientError& end)> on_end;
};

/// One request whose response is read as it comes, on a connection of its own:
/// for watches. Destroying it closes the connection; nothing is called
/// afterwards if the io_context runs on one thread.
class StreamClient {
 public:
  StreamClient(boost::asio::io_context& io, const Endpoint& endpoint,
               Request request, StreamLimits limits, StreamEvents events);
  ~StreamClient();
  StreamClient(const StreamClient&) = delete;
  StreamClient& operator=(const StreamClient&) = delete;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::http

#endif  // LAPISHATCH_HTTP_STREAM_CLIENT_H_
