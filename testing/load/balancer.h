#ifndef LAPISHATCH_TESTING_LOAD_BALANCER_H_
#define LAPISHATCH_TESTING_LOAD_BALANCER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "http/http.h"

namespace lapishatch::load {

/// Chooses entries as the platform's balancer does: each in turn of those whose
/// /readyz answered 200 when it was last looked at. Safe from several threads.
class Balancer {
 public:
  /// Looks at each of `targets` every `period`; `io` must outlive it.
  Balancer(boost::asio::io_context& io, std::vector<http::Endpoint> targets,
           base::Duration period);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// Begins to look and calls `looked` when each target was looked at once.
  void Start(std::function<void()> looked);

  /// Nothing when none is ready.
  std::optional<http::Endpoint> Next();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::load

#endif  // LAPISHATCH_TESTING_LOAD_BALANCER_H_
