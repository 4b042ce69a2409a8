#ifndef LAPISHATCH_TESTING_LOAD_LOAD_GENERATOR_H_
#define LAPISHATCH_TESTING_LOAD_LOAD_GENERATOR_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/http.h"
#include "load/latency_histogram.h"

namespace lapishatch::load {

struct LoadOptions {
  /// Taken in turn.
  std::vector<http::Endpoint> targets;
  /// When not 0, /readyz of each target is looked at so often, and only those
  /// that were ready are sent to.
  base::Duration ready_period{0};
  std::string path = "/v1/services/align/requests";
  std::size_t connections = 16;
  /// Requests a second that arrive whether others are answered or not; 0: each
  /// connection sends its next request after its answer.
  double rate = 0;
  /// Load before anything is counted.
  base::Duration warm_up{500};
  /// 0: until it is told to stop.
  base::Duration duration{5'000};
  /// When told to stop, it first sends up to so many.
  std::uint64_t least_requests = 0;
  base::Duration timeout{10'000};
  /// Taken in turn.
  std::vector<std::string> organisations;
  std::string work_class = "normal";
  base::Duration deadline{5'000};
  /// Otherwise each request has an idempotency key of its own.
  bool is_idempotent = true;
  std::size_t body_bytes = 128;
  /// Of the ids and keys; empty for one that nobody else has.
  std::string id_prefix;
};

/// How the requests that arrived in the measured time ended.
struct LoadReport {
  double seconds = 0;
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::map<int, std::uint64_t> by_status;
  /// By the header Lapishatch-Work.
  std::map<std::string, std::uint64_t> by_work;
  std::uint64_t failed_unsent = 0;
  std::uint64_t failed_maybe_sent = 0;
  std::uint64_t timed_out = 0;
  /// The first that had no answer or another one than 200, for people.
  std::vector<std::string> first_failures;
  /// Of answers, from when the request was due: time that an open load spends
  /// waiting for a connection counts.
  std::unique_ptr<LatencyHistogram> latency;
};

/// Tells a load to stop: what is under way is awaited. Safe from any thread.
using StopLoad = std::function<void()>;

/// Sends requests as `options` say and calls `done` when the last one that was
/// measured has ended. `io` must be run by the caller and outlive the load.
StopLoad StartLoad(boost::asio::io_context& io, LoadOptions options,
                   std::function<void(LoadReport)> done);

/// The report as `name value unit` lines, each name with `prefix` in front.
std::string Render(const LoadReport& report, const std::string& prefix);

}  // namespace lapishatch::load

#endif  // LAPISHATCH_TESTING_LOAD_LOAD_GENERATOR_H_
