#include "scenario/port_range.h"

#include <boost/asio/error.hpp>

namespace lapishatch::scenario {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint16_t kFirstPort = 10'000;
constexpr std::uint16_t kPortsOfRange = 1'000;
constexpr int kRanges = 20;

tcp::endpoint Loopback(std::uint16_t port) {
  return {boost::asio::ip::make_address("127.0.0.1"), port};
}

}  // namespace

PortRange::PortRange(boost::asio::io_context& io) : io_(io), claim_(io) {
  for (int i = 0; i < kRanges; ++i) {
    const auto first =
        static_cast<std::uint16_t>(kFirstPort + i * kPortsOfRange);
    claim_ = tcp::acceptor(io, tcp::v4());
    error_code ec;
    claim_.bind(Loopback(first), ec);
    if (ec) continue;
    next_ = static_cast<std::uint16_t>(first + 1);
    end_ = static_cast<std::uint16_t>(first + kPortsOfRange);
    return;
  }
  throw boost::system::system_error(boost::asio::error::address_in_use);
}

http::Endpoint PortRange::Next() {
  while (next_ < end_) {
    const auto port = next_++;
    tcp::acceptor trial(io_, tcp::v4());
    error_code ec;
    trial.bind(Loopback(port), ec);
    if (!ec) return {"127.0.0.1", port};
  }
  throw boost::system::system_error(boost::asio::error::address_in_use);
}

}  // namespace lapishatch::scenario
