#ifndef LAPISHATCH_TESTING_SCENARIO_RELAY_H_
#define LAPISHATCH_TESTING_SCENARIO_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "http/http.h"
#include "scenario/scenario.h"

namespace lapishatch::scenario {

/// A loopback port that passes bytes on to another, and can stop doing so as a
/// broken network does.
class Relay {
 public:
  /// `io` must run on one thread.
  Relay(boost::asio::io_context& io, const http::Endpoint& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  http::Endpoint endpoint() const;

  /// Safe from any thread; in force when it returns.
  void SetMode(LinkMode mode);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_RELAY_H_
