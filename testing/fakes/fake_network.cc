#include "fakes/fake_network.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <variant>

namespace lapishatch::fakes {

class FakeNetwork::Port final : public wire::Transport {
 public:
  Port(FakeNetwork& network, FakeProcess& process, wire::Identity self)
      : network_(network), process_(process), self_(std::move(self)) {}
  ~Port() override { network_.ports_.erase(self_.incarnation); }
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;

  void SetHandler(Handler handler) override { handler_ = std::move(handler); }
  bool Send(const wire::Peer& to, const wire::Message& message) override {
    return network_.Send(*this, to, message);
  }
  void Reset(const wire::Peer& peer) override { network_.Reset(self_, peer); }
  void Dial(const wire::Endpoint& to, base::Duration timeout,
            std::function<void(wire::DialResult)> done) override {
    const auto result = network_.Dial(self_, to);
    const bool silent = result == wire::DialResult::kSilent;
    process_.After(silent ? timeout : 2 * network_.faults_.most_delay,
                   [done = std::move(done), result] { done(result); });
  }

  FakeProcess& process() { return process_; }
  const wire::Identity& self() const { return self_; }
  const Handler& handler() const { return handler_; }

 private:
  FakeNetwork& network_;
  FakeProcess& process_;
  wire::Identity self_;
  Handler handler_;
};

std::unique_ptr<wire::Transport> FakeNetwork::Attach(
    FakeProcess& process, const wire::Identity& self) {
  auto port = std::make_unique<Port>(*this, process, self);
  ports_[self.incarnation] = port.get();
  listening_[self.endpoint] = self.incarnation;
  return port;
}

bool FakeNetwork::Send(Port& from, const wire::Peer& to,
                       const wire::Message& message) {
  const auto bytes = wire::Encode(message);
  auto& sent = counts_[from.self().incarnation];
  ++messages_;
  ++sent.messages_sent;
  sent.bytes_sent += bytes.size() + wire::kFrameHeaderBytes;
  auto* port = Find(to);
  if (port == nullptr) return true;
  if (IsSilent(from.self(), port->self())) return true;
  if (faults_.cut && faults_.cut(from.self(), port->self())) return true;
  std::uniform_int_distribution<std::int64_t> delay(faults_.least_delay.count(),
                                                    faults_.most_delay.count());
  for (int copies = Happens(faults_.duplicates) ? 2 : 1; copies > 0; --copies) {
    if (Happens(faults_.loss)) continue;
    time_.After(base::Duration(delay(random_)),
                [this, sender = from.self(), bytes,
                 receiver = port->self().incarnation] {
                  Deliver(sender, receiver, bytes);
                });
  }
  return true;
}

void FakeNetwork::Deliver(const wire::Identity& from,
                          const base::Incarnation& to,
                          const std::string& bytes) {
  const auto it = ports_.find(to);
  if (it == ports_.end()) return;
  if (faults_.cut && faults_.cut(from, it->second->self())) return;
  auto& received = counts_[to];
  ++received.messages_received;
  received.bytes_received += bytes.size() + wire::kFrameHeaderBytes;
  it->second->process().Post([this, from, to, bytes] {
    const auto port = ports_.find(to);
    if (port == ports_.end() || !port->second->handler()) return;
    auto decoded = wire::Decode(bytes);
    port->second->handler()(from, std::get<wire::Message>(std::move(decoded)));
  });
}

void FakeNetwork::Silence(const wire::Identity& a, const wire::Identity& b) {
  silent_.insert(std::minmax(a.incarnation, b.incarnation));
}

void FakeNetwork::Reset(const wire::Identity& from, const wire::Peer& peer) {
  silent_.erase(std::minmax(from.incarnation, peer.incarnation));
}

wire::DialResult FakeNetwork::Dial(const wire::Identity& from,
                                   const wire::Endpoint& to) const {
  if (vanished_.contains(to)) return wire::DialResult::kSilent;
  const auto listener = listening_.find(to);
  if (listener == listening_.end()) return wire::DialResult::kRefused;
  const auto port = ports_.find(listener->second);
  if (port == ports_.end()) return wire::DialResult::kRefused;
  if (faults_.cut && faults_.cut(from, port->second->self())) {
    return wire::DialResult::kSilent;
  }
  // The kernel of a paused process accepts.
  const bool killed = port->second->process().killed();
  return killed ? wire::DialResult::kRefused : wire::DialResult::kOpened;
}

bool FakeNetwork::IsSilent(const wire::Identity& from,
                           const wire::Identity& to) const {
  return silent_.contains(std::minmax(from.incarnation, to.incarnation));
}

FakeNetwork::Port* FakeNetwork::Find(const wire::Peer& peer) {
  const auto is_up = [this](auto it) {
    return it != ports_.end() && !it->second->process().killed();
  };
  const auto linked = ports_.find(peer.incarnation);
  if (is_up(linked)) return linked->second;
  const auto listener = listening_.find(peer.endpoint);
  if (listener == listening_.end()) return nullptr;
  const auto it = ports_.find(listener->second);
  return is_up(it) ? it->second : nullptr;
}

bool FakeNetwork::Happens(double share) {
  if (share <= 0) return false;
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

}  // namespace lapishatch::fakes
