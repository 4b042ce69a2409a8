#ifndef LAPISHATCH_STANDINS_COMMON_BACKEND_SERVER_H_
#define LAPISHATCH_STANDINS_COMMON_BACKEND_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "base/base.h"
#include "http/http.h"

namespace lapishatch::standins {

/// The HTTP server of a stand-in that can die and come back on the same port.
/// Everything but the constructor, `endpoint` and Open runs on the loop.
/// Destroy it when `io` runs no more.
class BackendServer {
 public:
  /// Each request goes to `receive` on `loop`. All must outlive it.
  BackendServer(boost::asio::io_context& io, base::EventLoop& loop,
                http::Endpoint endpoint, http::ServerLimits limits,
                std::function<void(const http::ExchangePtr&)> receive);

  /// Binds and begins to serve; throws when the port cannot be had.
  void Open();

  /// Closes the port and every connection. Whoever waits on one of
  /// `unanswered` gets no answer, but a broken connection.
  void Crash(std::vector<http::ExchangePtr> unanswered);

  /// Opens the port again after a crash, as soon as it can be had.
  void Revive();

  bool is_open() const { return server_ != nullptr; }

  /// Finishes the requests in progress, accepts no more and calls `done`.
  void Drain(std::function<void()> done);

  const http::Endpoint& endpoint() const { return endpoint_; }

 private:
  boost::asio::io_context& io_;
  base::EventLoop& loop_;
  http::Endpoint endpoint_;
  http::ServerLimits limits_;
  std::function<void(const http::ExchangePtr&)> receive_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_COMMON_BACKEND_SERVER_H_
