#include "wire/request_channel.h"

#include <utility>

namespace lapishatch::wire {

RequestChannel::RequestChannel(base::EventLoop& loop, Transport& transport,
                               Limits limits)
    : loop_(loop),
      transport_(transport),
      limits_(limits),
      self_(std::make_shared<RequestChannel*>(this)) {}

RequestChannel::~RequestChannel() {
  *self_ = nullptr;
  for (const auto& [id, it] : open_) loop_.Cancel(it.timer);
}

void RequestChannel::Ask(const Peer& to, Query query, base::Duration timeout,
                         std::function<void(AskResult)> done) {
  if (open_.size() >= limits_.max_open) {
    Fail(AskFailure::kTooManyOpen, std::move(done));
    return;
  }
  const auto id = ++last_id_;
  if (!transport_.Send(to, Request{id, std::move(query)})) {
    Fail(AskFailure::kNotSent, std::move(done));
    return;
  }
  const auto timer = loop_.After(timeout, [this, id] {
    const auto it = open_.find(id);
    if (it == open_.end()) return;
    transport_.Reset(it->second.peer);
    Finish(id, AskError{AskFailure::kTimedOut});
  });
  open_.emplace(id, Open{to, timer, std::move(done)});
}

void RequestChannel::OnRequest(const Identity& from, Request request) {
  const auto to = PeerOf(from);
  if (!server_) {
    transport_.Send(to, Response{request.id, Refusal{}});
    return;
  }
  server_(from, std::move(request.query),
          [self = self_, to, id = request.id](Answer answer) {
            if (*self == nullptr) return;
            (*self)->transport_.Send(to, Response{id, std::move(answer)});
          });
}

void RequestChannel::OnResponse(const Identity& from, Response response) {
  const auto it = open_.find(response.id);
  if (it == open_.end()) return;
  if (it->second.peer.endpoint != from.endpoint) return;
  Finish(response.id, Answered{from, std::move(response.answer)});
}

void RequestChannel::Finish(std::uint64_t id, AskResult result) {
  auto it = open_.find(id);
  loop_.Cancel(it->second.timer);
  auto done = std::move(it->second.done);
  open_.erase(it);
  done(std::move(result));
}

void RequestChannel::Fail(AskFailure failure,
                          std::function<void(AskResult)> done) {
  loop_.Post([done = std::move(done), failure] { done(AskError{failure}); });
}

}  // namespace lapishatch::wire
