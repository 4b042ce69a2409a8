#ifndef LAPISHATCH_TESTING_SCENARIO_CALLER_H_
#define LAPISHATCH_TESTING_SCENARIO_CALLER_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <future>
#include <thread>

#include "http/http.h"

namespace lapishatch::scenario {

/// Sends HTTP requests from a thread of its own, which also runs the relays.
class Caller {
 public:
  Caller();
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  std::future<http::ClientResult> Send(const http::Endpoint& endpoint,
                                       http::Request request,
                                       base::Duration timeout);

  boost::asio::io_context& io() { return io_; }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  http::Client client_;
  std::thread thread_;
};

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_CALLER_H_
