#ifndef LAPISHATCH_TESTING_FAKES_FAKE_NETWORK_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "base/base.h"
#include "fakes/fake_process.h"
#include "fakes/virtual_time.h"
#include "wire/wire.h"

namespace lapishatch::fakes {

/// What the network does to messages.
struct NetworkFaults {
  /// Delays are drawn from this range, so messages also overtake each other.
  base::Duration least_delay{1};
  base::Duration most_delay{2};
  /// Shares of the messages, 0 to 1.
  double loss = 0;
  double duplicates = 0;
  /// Whether nothing gets from one process to the other; empty cuts nothing.
  std::function<bool(const wire::Identity& from, const wire::Identity& to)> cut;
};

/// Carries the inner protocol's messages in virtual time, through the codec, so
/// that their bytes count. Harsher than TCP: messages are lost one by one,
/// doubled and reordered. The network must outlive its transports.
class FakeNetwork {
 public:
  FakeNetwork(VirtualTime& time, std::uint64_t seed)
      : time_(time), random_(seed) {}

  NetworkFaults& faults() { return faults_; }

  /// A transport of `process`, which listens at the endpoint of `self` from now
  /// on; an older process at the same endpoint keeps only the links that name
  /// its incarnation.
  std::unique_ptr<wire::Transport> Attach(FakeProcess& process,
                                          const wire::Identity& self);

  /// Nothing gets through between the two any more, either way, until one of
  /// them resets its connections to the other: something on the way has lost
  /// track of them.
  void Silence(const wire::Identity& a, const wire::Identity& b);

  /// The machine behind the endpoint is gone: it does not even refuse.
  void Vanish(const wire::Endpoint& endpoint) { vanished_.insert(endpoint); }

  /// What `incarnation` has sent and received so far, gone or not.
  const wire::TransportCounts& counts(const base::Incarnation& incarnation) {
    return counts_[incarnation];
  }

  /// All messages sent so far.
  std::uint64_t messages() const { return messages_; }

 private:
  class Port;

  bool Send(Port& from, const wire::Peer& to, const wire::Message& message);
  void Deliver(const wire::Identity& from, const base::Incarnation& to,
               const std::string& bytes);
  void Reset(const wire::Identity& from, const wire::Peer& peer);
  wire::DialResult Dial(const wire::Identity& from,
                        const wire::Endpoint& to) const;
  bool IsSilent(const wire::Identity& from, const wire::Identity& to) const;
  Port* Find(const wire::Peer& peer);
  bool Happens(double share);

  VirtualTime& time_;
  base::Random random_;
  NetworkFaults faults_;
  std::map<base::Incarnation, Port*> ports_;
  /// The last to listen at each endpoint.
  std::map<wire::Endpoint, base::Incarnation> listening_;
  /// Pairs whose connections have gone silent, each in order.
  std::set<std::pair<base::Incarnation, base::Incarnation>> silent_;
  std::set<wire::Endpoint> vanished_;
  std::map<base::Incarnation, wire::TransportCounts> counts_;
  std::uint64_t messages_ = 0;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_NETWORK_H_
