#ifndef LAPISHATCH_HTTP_INTERNAL_EXCHANGE_IMPL_H_
#define LAPISHATCH_HTTP_INTERNAL_EXCHANGE_IMPL_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "http/internal/stream_buffer.h"
#include "http/message.h"
#include "http/server.h"

namespace lapishatch::http::internal {

/// The connection as an exchange sees it. Callable from any thread.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  virtual void Answer(Response response) = 0;
  virtual std::shared_ptr<StreamBuffer> BeginStream(Response head) = 0;

  /// More waits in the stream.
  virtual void WakeStream() = 0;

  /// The stream was given up by its writer.
  virtual void BreakStream() = 0;

  /// The stream's writer has ended it; nothing is waited for if the peer left.
  virtual void FinishStream() = 0;
};

/// The handler's side of one request. Dropped unanswered, it answers that the
/// outcome is unknown; dropped within a stream, it cuts the stream visibly.
class ExchangeImpl final : public Exchange {
 public:
  /// `charge` is what the request has spent of `resources`.
  ExchangeImpl(std::shared_ptr<AnswerSink> sink, Request request,
               base::Charge charge, ResourcesPtr resources)
      : sink_(std::move(sink)),
        resources_(std::move(resources)),
        request_(std::move(request)),
        charge_(std::move(charge)) {}
  ~ExchangeImpl() override;
  ExchangeImpl(const ExchangeImpl&) = delete;
  ExchangeImpl& operator=(const ExchangeImpl&) = delete;

  const Request& request() const override { return request_; }
  void Respond(Response response) override;
  void StartStream(Response head) override;
  bool Write(std::string bytes) override;
  void End() override;
  void OnGone(std::function<void()> gone) override;
  bool ReplaceBody(std::size_t bytes) override;

  /// The peer left.
  void FireGone();

 private:
  /// Forgets the callback: the response is complete.
  void ForgetGone();

  std::shared_ptr<AnswerSink> sink_;
  ResourcesPtr resources_;
  Request request_;
  base::Charge charge_;
  std::atomic<bool> answered_{false};
  std::shared_ptr<StreamBuffer> stream_;
  std::mutex gone_mutex_;
  bool is_gone_ = false;
  bool is_complete_ = false;
  std::function<void()> gone_;
};

}  // namespace lapishatch::http::internal

#endif  // LAPISHATCH_HTTP_INTERNAL_EXCHANGE_IMPL_H_
