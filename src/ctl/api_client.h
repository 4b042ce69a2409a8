#ifndef LAPISHATCH_CTL_API_CLIENT_H_
#define LAPISHATCH_CTL_API_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/base.h"
#include "ctl/error.h"
#include "http/http.h"

namespace lapishatch::ctl {

/// Whether a call may be sent again when nobody knows whether it took effect.
enum class Repeat : std::uint8_t {
  /// Reads, and changes with a precondition on the version.
  kSafe,
  kUnsafe,
};

struct ApiClientOptions {
  /// Tried in this order; at least one.
  std::vector<http::Endpoint> entries;
  /// Longest time of one try.
  base::Duration call_timeout{10'000};
  /// Longest time of a call with all its tries.
  base::Duration retry_time{30'000};
  base::Duration first_delay{100};
  base::Duration most_delay{5'000};
  /// Longest silence of a watch before it is resumed at another entry.
  base::Duration silence_timeout{30'000};
  /// Waits; empty waits on a timer.
  std::function<void(base::Duration)> pause;
  const base::Clock* clock = nullptr;
};

/// An answer, and where it came from.
struct Answer {
  http::Endpoint entry;
  http::Response response;
  /// An earlier try of the same call may have taken effect.
  bool maybe_before = false;
};

/// Calls the API at whichever entry answers. A failed entry is left alone for a
/// growing time, or for what its Retry-After says, while others are tried. For
/// one thread.
class ApiClient {
 public:
  explicit ApiClient(ApiClientOptions options);
  ~ApiClient();
  ApiClient(const ApiClient&) = delete;
  ApiClient& operator=(const ApiClient&) = delete;

  /// Sends until an answer is final: any but 429, 502, 503 and 504, or such a
  /// one when the retry time is over. Fails with Unreachable or OutcomeUnknown.
  boost::leaf::result<Answer> Call(const http::Request& request, Repeat repeat);

  /// Has the next call begin at another entry.
  void TryNextEntry() { first_ = (first_ + 1) % entries_.size(); }

  std::size_t entry_count() const { return entries_.size(); }

  /// How one stream ended.
  struct StreamEnd {
    http::Endpoint entry;
    /// Status 0: no response came. The body is there only for a refusal.
    http::Response head;
    std::string detail;
    /// The reader wanted no more.
    bool stopped = false;
  };

  /// Reads one stream from one entry, line by line, until it ends or `on_line`
  /// returns false; then the next entry is the first to be tried.
  StreamEnd Stream(const http::Request& request,
                   const std::function<bool(std::string_view)>& on_line);

  /// Leaves the entry that the last stream used alone for a growing time.
  void BackOff(const StreamEnd& end);

  /// The last stream brought something: its entry is well.
  void Praise(const http::Endpoint& entry);

 private:
  struct Entry {
    http::Endpoint endpoint;
    base::TimePoint not_before;
    base::Backoff backoff;
    std::string failure;
  };

  /// Waits for and returns the entry to try next; nothing when none can be
  /// tried before `deadline`.
  Entry* Next(base::TimePoint deadline);
  http::ClientResult SendOnce(const Entry& entry, const http::Request& request);
  void Fail(Entry& entry, std::string detail, base::Duration at_least);
  Entry& Find(const http::Endpoint& endpoint);
  Unreachable Failures() const;
  void Pause(base::Duration delay);
  base::TimePoint Now() const;

  ApiClientOptions options_;
  base::SteadyClock steady_;
  base::Random random_;
  boost::asio::io_context io_;
  http::Client client_;
  std::vector<Entry> entries_;
  std::size_t first_ = 0;
};

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_API_CLIENT_H_
