#include "http/internal/exchange_impl.h"

#include "http/internal/input_problems.h"

namespace lapishatch::http::internal {

ExchangeImpl::~ExchangeImpl() {
  if (!answered_.exchange(true)) {
    sink_->Answer(MakeDroppedProblem());
  } else if (stream_ && stream_->Break()) {
    sink_->BreakStream();
  }
}

void ExchangeImpl::Respond(Response response) {
  if (answered_.exchange(true)) return;
  ForgetGone();
  sink_->Answer(std::move(response));
}

void ExchangeImpl::StartStream(Response head) {
  if (answered_.exchange(true)) return;
  stream_ = sink_->BeginStream(std::move(head));
}

bool ExchangeImpl::Write(std::string bytes) {
  if (!stream_) return false;
  if (bytes.empty()) return !stream_->dead();
  switch (stream_->Add(std::move(bytes))) {
    case StreamBuffer::Added::kFirst:
      sink_->WakeStream();
      return true;
    case StreamBuffer::Added::kMore:
      return true;
    case StreamBuffer::Added::kRefused:
      sink_->WakeStream();
      return false;
  }
  return false;
}

void ExchangeImpl::End() {
  if (!stream_ || !stream_->End()) return;
  ForgetGone();
  sink_->FinishStream();
}

void ExchangeImpl::OnGone(std::function<void()> gone) {
  {
    const std::lock_guard lock(gone_mutex_);
    if (is_complete_) return;
    if (!is_gone_) {
      gone_ = std::move(gone);
      return;
    }
  }
  gone();
}

bool ExchangeImpl::ReplaceBody(std::size_t bytes) {
  const auto body = std::exchange(request_.body, {}).capacity();
  const auto head = charge_.size() - std::min(body, charge_.size());
  charge_.TryResize(head);
  return resources_->TryHold(charge_, head + bytes, 0);
}

void ExchangeImpl::FireGone() {
  std::function<void()> gone;
  {
    const std::lock_guard lock(gone_mutex_);
    is_gone_ = true;
    gone = std::exchange(gone_, nullptr);
  }
  if (gone) gone();
}

void ExchangeImpl::ForgetGone() {
  // Destroyed after the lock is released: it may hold the last reference to
  // anything.
  std::function<void()> gone;
  const std::lock_guard lock(gone_mutex_);
  is_complete_ = true;
  gone.swap(gone_);
}

}  // namespace lapishatch::http::internal
