#ifndef LAPISHATCH_TESTING_SCENARIO_PORT_RANGE_H_
#define LAPISHATCH_TESTING_SCENARIO_PORT_RANGE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

#include "http/http.h"

namespace lapishatch::scenario {

/// Loopback ports for programs that are told where to listen, below those that
/// the system gives to outgoing connections. Tools that run at the same time
/// get different ones: the first port of a range is held as long as it is in
/// use.
class PortRange {
 public:
  /// Takes the first range that is free; throws boost::system::system_error
  /// when none is.
  explicit PortRange(boost::asio::io_context& io);

  /// The next port of the range that nobody listens on; throws as well when
  /// there is none.
  http::Endpoint Next();

 private:
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor claim_;
  std::uint16_t next_ = 0;
  std::uint16_t end_ = 0;
};

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_PORT_RANGE_H_
