#include "ctl/api_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <random>
#include <utility>

namespace lapishatch::ctl {
namespace {

namespace leaf = boost::leaf;

constexpr std::array<int, 4> kPassing = {429, 502, 503, 504};
constexpr int kTooMany = 429;
constexpr int kOk = 200;
constexpr std::int64_t kMillisPerSecond = 1'000;

bool IsPassing(int status) {
  return std::find(kPassing.begin(), kPassing.end(), status) != kPassing.end();
}

/// Whether the refusal itself says that nothing happened.
bool SaysNotRun(const http::Endpoint& entry, const http::Response& response) {
  if (response.status == kTooMany) return true;
  return RefusalFrom(entry, response).work == "not-run";
}

base::Duration RetryAfter(const http::Response& response) {
  const auto text = response.headers.Find("Retry-After");
  int seconds = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (ec != std::errc() || seconds < 0) return base::Duration(0);
  return base::Duration(std::int64_t{seconds} * kMillisPerSecond);
}

http::ClientLimits LimitsFor(const ApiClientOptions& options) {
  http::ClientLimits out;
  out.connect_timeout = std::min(out.connect_timeout, options.call_timeout);
  return out;
}

/// Cuts what comes into lines and hands over the whole ones.
class LineCutter {
 public:
  explicit LineCutter(std::function<bool(std::string_view)> sink)
      : sink_(std::move(sink)) {}

  /// False when the sink wants no more.
  bool Add(std::string_view bytes) {
    rest_ += bytes;
    std::size_t begin = 0;
    for (auto end = rest_.find('\n'); end != std::string::npos;
         end = rest_.find('\n', begin)) {
      const auto line = std::string_view{rest_}.substr(begin, end - begin);
      begin = end + 1;
      if (!line.empty() && !sink_(line)) return false;
    }
    rest_.erase(0, begin);
    return true;
  }

 private:
  std::function<bool(std::string_view)> sink_;
  std::string rest_;
};

}  // namespace

ApiClient::ApiClient(ApiClientOptions options)
    : options_(std::move(options)),
      random_(std::random_device{}()),
      client_(io_, LimitsFor(options_)) {
  for (const auto& it : options_.entries) {
    entries_.push_back(
        {it, Now(), base::Backoff(options_.first_delay, options_.most_delay),
         "not tried"});
  }
}

ApiClient::~ApiClient() = default;

leaf::result<Answer> ApiClient::Call(const http::Request& request,
                                     Repeat repeat) {
  const auto deadline = Now() + options_.retry_time;
  std::optional<Answer> last;
  bool maybe_before = false;
  while (auto* entry = Next(deadline)) {
    auto result = SendOnce(*entry, request);
    if (auto* response = std::get_if<http::Response>(&result)) {
      const auto status = response->status;
      const bool passing = IsPassing(status);
      const bool not_run = passing && SaysNotRun(entry->endpoint, *response);
      const auto wait = RetryAfter(*response);
      last = Answer{entry->endpoint, std::move(*response), maybe_before};
      const bool again = passing && (not_run || repeat == Repeat::kSafe);
      if (!again) return std::move(*last);
      maybe_before = maybe_before || !not_run;
      Fail(*entry, "answered " + std::to_string(status), wait);
      continue;
    }
    const auto& error = std::get<http::ClientError>(result);
    const bool maybe = error.progress == http::Progress::kMaybeSent;
    Fail(*entry, error.detail, base::Duration(0));
    if (!maybe) continue;
    if (repeat == Repeat::kUnsafe) {
      return leaf::new_error(
          OutcomeUnknown{{entry->endpoint, error.detail}, ""});
    }
    maybe_before = true;
  }
  if (last) return std::move(*last);
  return leaf::new_error(Failures());
}

ApiClient::StreamEnd ApiClient::Stream(
    const http::Request& request,
    const std::function<bool(std::string_view)>& on_line) {
  StreamEnd out;
  auto* entry = Next(base::TimePoint::max());
  out.entry = entry->endpoint;
  bool ended = false;
  LineCutter lines(on_line);
  http::StreamEvents events;
  events.on_head = [&](const http::Response& head) { out.head = head; };
  events.on_bytes = [&](std::string_view bytes) {
    if (out.head.status != kOk) {
      out.head.body += bytes;
    } else if (!lines.Add(bytes)) {
      out.stopped = true;
    }
  };
  events.on_end = [&](const http::ClientError& end) {
    out.detail = end.detail;
    ended = true;
  };
  http::StreamLimits limits;
  limits.head_timeout = options_.call_timeout;
  limits.silence_timeout = options_.silence_timeout;
  out.head.status = 0;
  {
    http::StreamClient stream(io_, entry->endpoint, request, limits,
                              std::move(events));
    while (!ended && !out.stopped) {
      io_.restart();
      io_.run_one();
    }
  }
  io_.restart();
  io_.poll();
  return out;
}

void ApiClient::BackOff(const StreamEnd& end) {
  Fail(Find(end.entry), end.detail, RetryAfter(end.head));
}

void ApiClient::Praise(const http::Endpoint& entry) {
  Find(entry).backoff.Reset();
}

ApiClient::Entry* ApiClient::Next(base::TimePoint deadline) {
  Entry* best = nullptr;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    auto& it = entries_[(first_ + i) % entries_.size()];
    if (best == nullptr || it.not_before < best->not_before) best = &it;
    if (it.not_before > Now()) continue;
    best = &it;
    break;
  }
  if (best == nullptr || best->not_before >= deadline) return nullptr;
  if (best->not_before > Now()) Pause(best->not_before - Now());
  first_ = static_cast<std::size_t>(best - entries_.data());
  return best;
}

http::ClientResult ApiClient::SendOnce(const Entry& entry,
                                       const http::Request& request) {
  std::optional<http::ClientResult> out;
  client_.Send(entry.endpoint, request, options_.call_timeout,
               [&out](http::ClientResult result) { out = std::move(result); });
  while (!out) {
    io_.restart();
    io_.run_one();
  }
  return std::move(*out);
}

void ApiClient::Fail(Entry& entry, std::string detail,
                     base::Duration at_least) {
  const auto delay = std::max(entry.backoff.Next(random_), at_least);
  entry.failure = std::move(detail);
  entry.not_before = Now() + delay;
}

ApiClient::Entry& ApiClient::Find(const http::Endpoint& endpoint) {
  return *std::find_if(entries_.begin(), entries_.end(), [&](const Entry& it) {
    return it.endpoint == endpoint;
  });
}

Unreachable ApiClient::Failures() const {
  Unreachable out;
  for (const auto& it : entries_) {
    out.entries.push_back({it.endpoint, it.failure});
  }
  return out;
}

void ApiClient::Pause(base::Duration delay) {
  if (options_.pause) {
    options_.pause(delay);
    return;
  }
  boost::asio::steady_timer timer(io_, delay);
  bool due = false;
  timer.async_wait([&due](const boost::system::error_code&) { due = true; });
  while (!due) {
    io_.restart();
    io_.run_one();
  }
}

base::TimePoint ApiClient::Now() const {
  return options_.clock != nullptr ? options_.clock->Now() : steady_.Now();
}

}  // namespace lapishatch::ctl
