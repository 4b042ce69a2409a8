#ifndef LAPISHATCH_HTTP_INTERNAL_CONNECTION_H_
#define LAPISHATCH_HTTP_INTERNAL_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "http/client.h"

namespace lapishatch::http::internal {

/// One request of a client until its callback.
struct Call {
  Endpoint endpoint;
  Request request;
  base::TimePoint deadline;
  Client::Callback done;
};

using CallPtr = std::unique_ptr<Call>;

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

/// The pool, as its connections see it. Called on the connections' strands,
/// never under a lock of the pool.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;

  /// `connection` has its whole response and can carry the next call.
  virtual void OnFree(const ConnectionPtr& connection) = 0;

  /// The call of `connection`, which was open, has timed out.
  virtual void OnTimeout(const ConnectionPtr& connection) = 0;

  /// `connection` has ended.
  virtual void OnClosed(const ConnectionPtr& connection) = 0;

  /// Takes an idle connection out of the pool; false when a call is on its way
  /// to it.
  virtual bool TakeIdle(const ConnectionPtr& connection) = 0;

  /// No byte of `call` was sent on a reused connection that turned out closed.
  virtual void SendAgain(CallPtr call) = 0;
};

/// One connection of a client. Carries one call at a time; closes itself when a
/// call is given up.
class Connection {
 public:
  virtual ~Connection() = default;

  virtual const Endpoint& endpoint() const = 0;

  /// Connects, then sends `call`. Once, first.
  virtual void Connect(CallPtr call) = 0;

  /// Sends `call` on the idle connection.
  virtual void Send(CallPtr call) = 0;

  /// Closes the connection if it is idle.
  virtual void CloseIdle() = 0;

  /// Closes the connection and drops its call without calling back.
  virtual void Abort() = 0;
};

ConnectionPtr MakeConnection(boost::asio::io_context& io,
                             const Endpoint& endpoint,
                             const ClientLimits& limits, ResourcesPtr resources,
                             std::weak_ptr<ConnectionOwner> owner);

}  // namespace lapishatch::http::internal

#endif  // LAPISHATCH_HTTP_INTERNAL_CONNECTION_H_
