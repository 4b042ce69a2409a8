#include "entry/watch_handler.h"

#include <charconv>
#include <utility>

#include "entry/refusal.h"

namespace lapishatch::entry {
namespace {

constexpr int kRetrySoonS = 1;

Refusal BadSince(std::string_view value) {
  Refusal refusal;
  refusal.status = kBadRequest;
  refusal.type = "bad-query";
  refusal.title = "A query parameter is not allowed";
  refusal.detail = "since: \"" + std::string(value) +
                   "\" is not allowed: the version of a list, bookmark or "
                   "event";
  refusal.problems.list.push_back({"since", refusal.detail});
  return refusal;
}

Refusal RefusalOf(config::WatchEnd end, config::LogVersion version) {
  Refusal refusal;
  switch (end) {
    case config::WatchEnd::kTooOld:
    case config::WatchEnd::kNotYet:
      refusal.status = kGone;
      refusal.type = "gone";
      refusal.title = "Cannot continue from this version";
      refusal.detail =
          "list again, and watch from the version of the list; now at " +
          std::to_string(version);
      return refusal;
    case config::WatchEnd::kTooMany:
      refusal.status = kUnavailable;
      refusal.type = "too-many-watches";
      refusal.title = "Too many watches are open";
      refusal.detail = "as many watches are open here as are allowed";
      refusal.retry_after_s = kRetrySoonS;
      return refusal;
    case config::WatchEnd::kStopping:
      refusal.status = kUnavailable;
      refusal.type = "stopping";
      refusal.title = "This entry is stopping";
      refusal.detail = "watch at another entry";
      refusal.retry_after_s = kRetrySoonS;
      return refusal;
  }
  return refusal;
}

/// One watch's way to its client.
class Stream {
 public:
  explicit Stream(http::ExchangePtr exchange)
      : exchange_(std::move(exchange)) {}

  bool Take(const config::WatchItem& item) {
    Begin();
    const bool wants_more = exchange_->Write(config::WatchLine(item));
    if (!std::holds_alternative<config::WatchEnded>(item)) return wants_more;
    exchange_->End();
    return false;
  }

 private:
  void Begin() {
    if (std::exchange(begun_, true)) return;
    exchange_->StartStream(
        {kOk, {{"Content-Type", "application/x-ndjson"}}, ""});
  }

  http::ExchangePtr exchange_;
  bool begun_ = false;
};

}  // namespace

void WatchHandler::Handle(const http::ExchangePtr& exchange,
                          config::ResourceKind kind,
                          const http::Target& target) {
  const auto text = target.Query("since");
  auto since = mirror_.version(config::LogOf(kind));
  if (!text.empty()) {
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, since);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      exchange->Respond(ToResponse(BadSince(text)));
      return;
    }
  }
  loop_.Post([this, exchange, kind, since] {
    Open(exchange, kind, since, IfAhead::kCatchUp);
  });
}

void WatchHandler::Open(const http::ExchangePtr& exchange,
                        config::ResourceKind kind, config::LogVersion since,
                        IfAhead if_ahead) {
  auto stream = std::make_shared<Stream>(exchange);
  const auto opened = mirror_.Watch(
      kind, since,
      [stream](const config::WatchItem& item) { return stream->Take(item); });
  if (const auto* id = std::get_if<config::WatchId>(&opened)) {
    exchange->OnGone(
        [this, id = *id] { loop_.Post([this, id] { mirror_.Unwatch(id); }); });
    return;
  }
  const auto end = std::get<config::WatchEnd>(opened);
  // The version may have been told by an entry that is ahead of this one.
  if (end == config::WatchEnd::kNotYet && if_ahead == IfAhead::kCatchUp) {
    mirror_.Refresh([this, exchange, kind, since](const auto&) {
      Open(exchange, kind, since, IfAhead::kRefuse);
    });
    return;
  }
  const auto version = mirror_.version(config::LogOf(kind));
  exchange->Respond(ToResponse(RefusalOf(end, version)));
}

}  // namespace lapishatch::entry
