#ifndef LAPISHATCH_TESTING_NET_IO_THREADS_H_
#define LAPISHATCH_TESTING_NET_IO_THREADS_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <future>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace lapishatch::net {

/// Longer than anything in a test takes, also on a busy machine.
inline constexpr std::chrono::seconds kTestLimit{60};

/// An io_context run by threads until it is destroyed. Declare it before what
/// uses it and call Stop before those are destroyed when their handlers may
/// still run.
class IoThreads {
 public:
  explicit IoThreads(int threads = 2)
      : work_(boost::asio::make_work_guard(io_)) {
    for (int i = 0; i < threads; ++i) {
      threads_.emplace_back([this] { io_.run(); });
    }
  }

  ~IoThreads() { Stop(); }
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& io() { return io_; }

  void Stop() {
    io_.stop();
    threads_.clear();
  }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::jthread> threads_;
};

/// Calls `start` with a callback and waits for its argument. Throws when none
/// comes within kTestLimit.
template <typename Result, typename Start>
Result Await(Start start) {
  const auto promise = std::make_shared<std::promise<Result>>();
  auto future = promise->get_future();
  start([promise](Result result) { promise->set_value(std::move(result)); });
  if (future.wait_for(kTestLimit) != std::future_status::ready) {
    throw std::runtime_error("no callback came");
  }
  return future.get();
}

/// Waits until `done` holds; false when it does not within kTestLimit.
template <typename Done>
bool AwaitThat(Done done) {
  const auto end = std::chrono::steady_clock::now() + kTestLimit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::yield();
  }
  return true;
}

}  // namespace lapishatch::net

#endif  // LAPISHATCH_TESTING_NET_IO_THREADS_H_
