#ifndef LAPISHATCH_HTTP_SERVER_H_
#define LAPISHATCH_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "base/base.h"
#include "http/message.h"
#include "http/resources.h"

namespace lapishatch::http {

/// What one server accepts; everything a peer can make large or slow is bounded
/// here.
struct ServerLimits {
  std::size_t max_connections = 4096;
  std::size_t max_header_bytes = 16 * 1024;
  /// Fields of a head, with those of trailers. Each costs several times its
  /// size once it is parsed.
  std::size_t max_header_fields = 100;
  std::size_t max_body_bytes = 1024 * 1024;
  /// From the first byte of a request's head to its last. A slower one gets
  /// 408.
  base::Duration header_timeout{5'000};
  /// From the end of the head to the end of the body. A slower one gets 408.
  base::Duration body_timeout{30'000};
  /// How long a kept-alive connection may be silent between requests.
  base::Duration idle_timeout{60'000};
  /// A stream (watch) whose peer takes none of the waiting bytes for so long is
  /// closed.
  base::Duration stream_stall_timeout{30'000};
  /// Bytes that may wait for one slow stream before it is closed.
  std::size_t max_stream_backlog_bytes = 4 * 1024 * 1024;
  /// At a planned stop, for so long connections are still accepted and idle
  /// ones kept, for requests that may be on their way; each is served with
  /// `Connection: close`.
  base::Duration drain_grace{500};
};

/// One request in progress. Exactly one of Respond or StartStream is called,
/// once, from any thread; an exchange dropped without either answers 500
/// (nothing is left hanging). The io_context must outlive it.
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const Request& request() const = 0;

  /// Sends the whole response.
  virtual void Respond(Response response) = 0;

  /// Sends the head of a chunked response; Write adds to it and End closes it.
  virtual void StartStream(Response head) = 0;

  /// Adds bytes to the stream. False when the peer is gone or too slow: the
  /// caller stops.
  virtual bool Write(std::string bytes) = 0;

  /// Ends the stream in an orderly way.
  virtual void End() = 0;

  /// Calls `gone` once if the peer leaves before the response is complete.
  virtual void OnGone(std::function<void()> gone) = 0;

  /// Frees the body of the request, which the handler has decoded, and charges
  /// `bytes` for what it keeps instead until the exchange is destroyed. False
  /// if there is no memory for that: the handler is to refuse the request.
  virtual bool ReplaceBody(std::size_t /*bytes*/) { return true; }
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Called on one of the io_context's threads for each whole request.
using Handler = std::function<void(ExchangePtr)>;

/// An HTTP/1.1 server on Beast. Malformed, oversized, truncated and slow
/// requests are answered by the server itself (400, 413, 431, 408 as
/// problem+json) and never reach the handler.
class Server {
 public:
  /// Binds at once; throws boost::system::system_error when the endpoint cannot
  /// be had (the program then ends with a clear message). Port 0 takes any free
  /// one.
  Server(boost::asio::io_context& io, const Endpoint& endpoint,
         ServerLimits limits, ResourcesPtr resources, Handler handler);

  /// A server with resources of its own, for a process that has no other.
  Server(boost::asio::io_context& io, const Endpoint& endpoint,
         ServerLimits limits, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Begins to accept.
  void Start();

  /// The endpoint with the port actually bound.
  Endpoint endpoint() const;

  /// Planned stop: lets each request in progress finish with `Connection:
  /// close`, and for `drain_grace` still takes connections and requests that
  /// are on their way, one request each. Then accepts nothing more, closes idle
  /// connections, and calls `done` (on an io thread) when the last request is
  /// answered. Open streams are the handler's to end.
  void Drain(std::function<void()> done);

  /// Requests handed to the handler and not yet answered, streams included.
  std::size_t in_progress() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::http

#endif  // LAPISHATCH_HTTP_SERVER_H_
