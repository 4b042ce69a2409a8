#ifndef LAPISHATCH_TESTING_SCENARIO_PEER_NETWORK_H_
#define LAPISHATCH_TESTING_SCENARIO_PEER_NETWORK_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "http/http.h"
#include "scenario/scenario.h"

namespace lapishatch::scenario {

/// The network between the system's processes: a loopback relay before each of
/// them, which passes the inner protocol on, or not, by the failure domains of
/// the two. Whose connection it is, the relay reads from the Hello that opens
/// it.
class PeerNetwork {
 public:
  /// `io` must run on one thread.
  explicit PeerNetwork(boost::asio::io_context& io);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// Puts a relay before a process of `domain` that listens at `target`;
  /// returns where the others shall reach it.
  http::Endpoint Add(const std::string& domain, const http::Endpoint& target);

  /// Changes what becomes of the bytes that go from one domain to another.
  /// `kCut` breaks the connections that processes of `from` opened to `to` and
  /// refuses new ones; those opened by `to` stay. Safe from any thread; in
  /// force when it returns.
  void SetMode(const std::string& from, const std::string& to, LinkMode mode);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_PEER_NETWORK_H_
