#include "common/backend_server.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>
#include <utility>

namespace lapishatch::standins {
namespace {

/// A closed server gives its port back a little later.
constexpr base::Duration kReviveRetry{5};

/// An exchange that is dropped answers 500 as long as its connection lives; the
/// unanswered ones are kept until it surely does not.
constexpr base::Duration kUnansweredTime{1'000};

}  // namespace

BackendServer::BackendServer(
    boost::asio::io_context& io, base::EventLoop& loop, http::Endpoint endpoint,
    http::ServerLimits limits,
    std::function<void(const http::ExchangePtr&)> receive)
    : io_(io),
      loop_(loop),
      endpoint_(std::move(endpoint)),
      limits_(limits),
      receive_(std::move(receive)) {}

void BackendServer::Open() {
  server_ = std::make_unique<http::Server>(
      io_, endpoint_, limits_, [this](http::ExchangePtr exchange) {
        loop_.Post([this, exchange = std::move(exchange)] {
          if (is_open()) receive_(exchange);
        });
      });
  // One that comes back keeps its port; other threads read it meanwhile.
  if (endpoint_.port == 0) endpoint_.port = server_->endpoint().port;
  server_->Start();
}

void BackendServer::Crash(std::vector<http::ExchangePtr> unanswered) {
  server_.reset();
  loop_.After(kUnansweredTime, [kept = std::move(unanswered)] {});
}

void BackendServer::Revive() {
  if (is_open()) return;
  try {
    Open();
  } catch (const boost::system::system_error& error) {
    if (error.code() != boost::asio::error::address_in_use) throw;
    loop_.After(kReviveRetry, [this] { Revive(); });
  }
}

void BackendServer::Drain(std::function<void()> done) {
  if (is_open()) {
    server_->Drain(std::move(done));
  } else {
    done();
  }
}

}  // namespace lapishatch::standins
