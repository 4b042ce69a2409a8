#ifndef LAPISHATCH_TEST_ENTRY_FAKE_EXCHANGE_H_
#define LAPISHATCH_TEST_ENTRY_FAKE_EXCHANGE_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "http/http.h"

namespace lapishatch::entry {

/// A request, and what it is answered.
class FakeExchange final : public http::Exchange {
 public:
  explicit FakeExchange(http::Request request) : request_(std::move(request)) {}

  const http::Request& request() const override { return request_; }
  void Respond(http::Response response) override {
    response_ = std::move(response);
  }
  void StartStream(http::Response head) override {
    response_ = std::move(head);
  }
  bool Write(std::string bytes) override {
    if (gone_) return false;
    stream_ += bytes;
    return true;
  }
  void End() override { ended_ = true; }
  void OnGone(std::function<void()> gone) override {
    on_gone_ = std::move(gone);
  }

  /// The peer leaves.
  void Leave() {
    gone_ = true;
    if (on_gone_) on_gone_();
  }

  const std::optional<http::Response>& response() const { return response_; }
  const std::string& stream() const { return stream_; }
  bool ended() const { return ended_; }

 private:
  http::Request request_;
  std::optional<http::Response> response_;
  std::string stream_;
  std::function<void()> on_gone_;
  bool gone_ = false;
  bool ended_ = false;
};

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_TEST_ENTRY_FAKE_EXCHANGE_H_
