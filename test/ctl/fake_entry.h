#ifndef LAPISHATCH_TEST_CTL_FAKE_ENTRY_H_
#define LAPISHATCH_TEST_CTL_FAKE_ENTRY_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "ctl/ctl.h"
#include "http/http.h"

namespace lapishatch::ctl {

/// An entry that answers as the test says, on a thread of its own.
class FakeEntry {
 public:
  using Answers = std::function<void(const http::ExchangePtr&, int call)>;

  /// `answers` gets each request and how many came before it.
  explicit FakeEntry(Answers answers)
      : work_(boost::asio::make_work_guard(io_)),
        server_(io_, {"127.0.0.1", 0}, http::ServerLimits{},
                [this, answers = std::move(answers)](
                    const http::ExchangePtr& exchange) {
                  answers(exchange, Note(exchange->request()));
                }) {
    server_.Start();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~FakeEntry() {
    io_.stop();
    thread_.join();
  }

  http::Endpoint endpoint() const { return server_.endpoint(); }

  std::vector<http::Request> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  int Note(const http::Request& request) {
    const std::lock_guard lock(mutex_);
    requests_.push_back(request);
    return static_cast<int>(requests_.size()) - 1;
  }

  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  mutable std::mutex mutex_;
  std::vector<http::Request> requests_;
  http::Server server_;
  std::thread thread_;
};

inline http::Response JsonResponse(int status, const boost::json::value& body) {
  http::Response out;
  out.status = status;
  out.headers.Set("Content-Type", "application/json");
  out.body = boost::json::serialize(body);
  return out;
}

/// 503 as an entry gives it, with what is known of the work.
inline http::Response CannotNow(const std::string& work,
                                const std::string& retry_after) {
  auto out = JsonResponse(
      503, {{"title", "Cannot now"}, {"status", 503}, {"work", work}});
  if (!retry_after.empty()) out.headers.Set("Retry-After", retry_after);
  return out;
}

/// A line of a watch.
inline std::string PutLine(std::uint64_t version, const std::string& name) {
  return boost::json::serialize(boost::json::value{
             {"type", "put"},
             {"version", version},
             {"object", {{"name", name}, {"version", version}}}}) +
         "\n";
}

inline std::string BookmarkLine(std::uint64_t version) {
  return boost::json::serialize(
             boost::json::value{{"type", "bookmark"}, {"version", version}}) +
         "\n";
}

/// Options whose pauses move a clock in place of time.
class FakePauses {
 public:
  ApiClientOptions OptionsFor(std::vector<http::Endpoint> entries) {
    ApiClientOptions out;
    out.entries = std::move(entries);
    out.clock = &clock_;
    out.pause = [this](base::Duration delay) {
      pauses_.push_back(delay);
      clock_.Advance(delay);
    };
    return out;
  }

  const std::vector<base::Duration>& pauses() const { return pauses_; }

 private:
  base::ManualClock clock_;
  std::vector<base::Duration> pauses_;
};

/// An endpoint of this machine where nothing listens.
inline http::Endpoint DeadEndpoint() {
  boost::asio::io_context io;
  const http::Server server(io, {"127.0.0.1", 0}, {}, [](const auto&) {});
  return server.endpoint();
}

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_TEST_CTL_FAKE_ENTRY_H_
