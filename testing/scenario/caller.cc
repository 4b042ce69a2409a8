#include "scenario/caller.h"

#include <memory>
#include <utility>

namespace lapishatch::scenario {
namespace {

http::ClientLimits WideLimits() {
  http::ClientLimits out;
  out.connections_per_endpoint = 1'024;
  out.waiting_per_endpoint = 100'000;
  return out;
}

}  // namespace

Caller::Caller()
    : work_(boost::asio::make_work_guard(io_)),
      client_(io_, WideLimits()),
      thread_([this] { io_.run(); }) {}

Caller::~Caller() {
  io_.stop();
  thread_.join();
}

std::future<http::ClientResult> Caller::Send(const http::Endpoint& endpoint,
                                             http::Request request,
                                             base::Duration timeout) {
  auto promise = std::make_shared<std::promise<http::ClientResult>>();
  client_.Send(endpoint, std::move(request), timeout,
               [promise](http::ClientResult result) {
                 promise->set_value(std::move(result));
               });
  return promise->get_future();
}

}  // namespace lapishatch::scenario
