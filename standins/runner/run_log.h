#ifndef LAPISHATCH_STANDINS_RUNNER_RUN_LOG_H_
#define LAPISHATCH_STANDINS_RUNNER_RUN_LOG_H_

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

#include "backends/backends.h"

namespace lapishatch::standins {

/// How often each request id and each body was run, on all runners of the
/// process together, so that a test can count executions. Safe from several
/// threads.
class RunLog {
 public:
  /// Keeps at most `limit` different ids and as many bodies; later new ones are
  /// only counted in the total.
  explicit RunLog(std::size_t limit) : limit_(limit) {}

  void Add(const backends::RunnerRequest& request);

  /// Times the work with this body was run.
  std::uint64_t RunsOfBody(const std::string& body) const;

  std::uint64_t total() const;

  /// {"total":…,"dropped":…,"by_request_id":{…},"by_body":{…}}
  boost::json::object ToJson() const;

 private:
  using Counts = std::unordered_map<std::string, std::uint64_t>;

  void Count(const std::string& key, Counts& counts);

  const std::size_t limit_;
  mutable std::mutex mutex_;
  std::uint64_t total_ = 0;
  std::uint64_t dropped_ = 0;
  Counts by_request_id_;
  Counts by_body_;
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_RUNNER_RUN_LOG_H_
