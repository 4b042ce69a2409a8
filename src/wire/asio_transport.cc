#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wire/frame.h"
#include "wire/internal/connection.h"
#include "wire/internal/dialer.h"
#include "wire/transport.h"

namespace lapishatch::wire {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using internal::Connection;
using internal::Enqueue;
using internal::IsExpired;
using internal::Socket;
using internal::Strand;
using internal::Timer;
using tcp = asio::ip::tcp;
using Acceptor = asio::basic_socket_acceptor<tcp, Strand>;
using ConnectionPtr = std::shared_ptr<Connection>;

/// How often the timeouts of the connections are looked at.
constexpr base::Duration kTick{100};

/// Any client that reaches the port can send malformed frames.
constexpr base::Duration kMalformedLogInterval{1'000};

bool IsHeartbeat(const Message& message) {
  return std::holds_alternative<Heartbeat>(message);
}

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

/// Holds the connections; lives as long as a handler of them is pending.
class Links final : public std::enable_shared_from_this<Links> {
 public:
  Links(asio::io_context& io, base::EventLoop& loop,
        AsioTransportOptions options)
      : strand_(asio::make_strand(io)),
        loop_(loop),
        options_(std::move(options)),
        acceptor_(strand_,
                  ToAsio(options_.listen.value_or(options_.identity.endpoint))),
        tick_(strand_),
        accept_retry_(strand_),
        random_(std::random_device{}()) {
    if (!options_.listen) {
      options_.identity.endpoint.port = acceptor_.local_endpoint().port();
    }
    hello_ = MakeFrame(Encode(Hello{kProtocolVersion, options_.identity}));
    heartbeat_ = MakeFrame(Encode(Heartbeat{}));
  }

  void Start() {
    asio::post(strand_, [self = shared_from_this()] {
      self->Accept();
      self->Tick();
    });
  }

  /// Ends at once; no callback runs afterwards, and the loop, which may be
  /// gone before the pending handlers, is not used.
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    asio::post(strand_, [self = shared_from_this()] { self->CloseAll(); });
  }

  void SetHandler(Transport::Handler handler) {
    const std::lock_guard lock(mutex_);
    handler_ = std::make_shared<Transport::Handler>(std::move(handler));
  }

  bool Send(const Peer& to, const Message& message) {
    const auto payload = Encode(message);
    const std::lock_guard lock(mutex_);
    const auto connection = FindOrOpen(to);
    if (!connection || !Enqueue(*connection, payload, options_)) {
      ++counts_.messages_dropped;
      return false;
    }
    if (!IsHeartbeat(message)) connection->last_useful = loop_.Now();
    StartWrite(connection);
    return true;
  }

  void Reset(const Peer& peer) {
    std::vector<ConnectionPtr> stale;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& it : connections_) {
        const bool same_life =
            it->peer && it->peer->incarnation == peer.incarnation;
        const bool same_target = it->target == peer.endpoint;
        if (same_life || same_target) stale.push_back(it);
      }
      for (const auto& it : stale) Forget(it);
    }
    for (const auto& it : stale) CloseSocket(it);
  }

  /// Somebody listens there: the next message may connect at once.
  void ForgetFailures(const Endpoint& target) {
    const std::lock_guard lock(mutex_);
    retries_.erase(target);
  }

  Endpoint endpoint() const { return options_.identity.endpoint; }

  TransportCounts counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
  }

  std::size_t connections() const {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(
        connections_, [](const auto& it) { return it->peer.has_value(); }));
  }

  void Close(base::Duration limit, std::function<void()> done) {
    const std::lock_guard lock(mutex_);
    closing_ = true;
    close_at_ = loop_.Now() + limit;
    on_closed_ = std::move(done);
  }

 private:
  struct Retry {
    base::Backoff backoff;
    base::TimePoint not_before;
  };

  // --- Under the lock ---

  ConnectionPtr FindOrOpen(const Peer& to) {
    if (stopped_ || closing_) return nullptr;
    const auto life = by_incarnation_.find(to.incarnation);
    if (life != by_incarnation_.end()) return life->second;
    const auto target = by_target_.find(to.endpoint);
    if (target != by_target_.end()) return target->second;
    if (connections_.size() >= options_.max_connections) return nullptr;
    const auto retry = retries_.find(to.endpoint);
    if (retry != retries_.end() && loop_.Now() < retry->second.not_before) {
      return nullptr;
    }
    return Open(to.endpoint);
  }

  ConnectionPtr Open(const Endpoint& target) {
    error_code ec;
    const auto address = asio::ip::make_address(target.address, ec);
    if (ec) return nullptr;
    auto connection =
        std::make_shared<Connection>(Socket(strand_), target, loop_.Now());
    if (!ChargeConnection(*connection)) return nullptr;
    connections_.insert(connection);
    by_target_[target] = connection;
    asio::post(strand_, [self = shared_from_this(), connection,
                         remote = tcp::endpoint(address, target.port)] {
      self->Connect(connection, remote);
    });
    return connection;
  }

  bool ChargeConnection(Connection& connection) const {
    return !options_.charge_connection ||
           options_.charge_connection(connection.descriptor);
  }

  bool ChargePayload(Connection& connection, std::size_t bytes) const {
    return !options_.charge_payload ||
           options_.charge_payload(connection.payload_charge, bytes);
  }

  void StartWrite(const ConnectionPtr& connection) {
    if (!connection->connected) return;
    asio::post(strand_, [self = shared_from_this(), connection] {
      self->Write(connection);
    });
  }

  /// Takes the connection out of every table; its socket is closed next.
  void Forget(const ConnectionPtr& connection) {
    connection->closed = true;
    connections_.erase(connection);
    if (connection->target) {
      EraseIfSame(by_target_, *connection->target, connection);
    }
    if (connection->peer) {
      EraseIfSame(by_incarnation_, connection->peer->incarnation, connection);
    }
  }

  template <typename Map, typename Key>
  static void EraseIfSame(Map& map, const Key& key,
                          const ConnectionPtr& connection) {
    const auto it = map.find(key);
    if (it != map.end() && it->second == connection) map.erase(it);
  }

  void DelayNextAttempt(const Endpoint& target) {
    auto [it, inserted] = retries_.try_emplace(
        target,
        Retry{base::Backoff(options_.backoff_first, options_.backoff_limit),
              base::TimePoint()});
    it->second.not_before = loop_.Now() + it->second.backoff.Next(random_);
  }

  // --- On the strand ---

  void CloseSocket(const ConnectionPtr& connection) {
    asio::post(strand_, [self = shared_from_this(), connection] {
      error_code ignored;
      connection->socket.close(ignored);
    });
  }

  void Fail(const ConnectionPtr& connection) {
    {
      const std::lock_guard lock(mutex_);
      if (!connection->closed) {
        counts_.messages_dropped += connection->queue.size();
        if (connection->target && !connection->peer && !stopped_) {
          DelayNextAttempt(*connection->target);
        }
        Forget(connection);
      }
    }
    error_code ignored;
    connection->socket.close(ignored);
  }

  void CloseAll() {
    std::set<ConnectionPtr> all;
    {
      const std::lock_guard lock(mutex_);
      all.swap(connections_);
      by_target_.clear();
      by_incarnation_.clear();
      for (const auto& it : all) it->closed = true;
    }
    error_code ignored;
    acceptor_.close(ignored);
    tick_.cancel();
    accept_retry_.cancel();
    for (const auto& it : all) it->socket.close(ignored);
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const error_code& ec, Socket socket) {
          if (!self->acceptor_.is_open()) return;
          if (ec) {
            self->AcceptLater();
            return;
          }
          self->OnAccepted(std::move(socket));
          self->Accept();
        });
  }

  /// Out of file descriptors, for example: trying at once would spin.
  void AcceptLater() {
    accept_retry_.expires_after(kTick);
    accept_retry_.async_wait([self = shared_from_this()](const error_code& ec) {
      if (!ec && self->acceptor_.is_open()) self->Accept();
    });
  }

  void OnAccepted(Socket socket) {
    ConnectionPtr connection;
    {
      const std::lock_guard lock(mutex_);
      if (stopped_ || connections_.size() >= options_.max_connections) return;
      connection = std::make_shared<Connection>(std::move(socket), std::nullopt,
                                                loop_.Now());
      if (!ChargeConnection(*connection)) return;
      connections_.insert(connection);
    }
    OnOpened(connection);
  }

  void Connect(const ConnectionPtr& connection, const tcp::endpoint& remote) {
    connection->socket.async_connect(
        remote, [self = shared_from_this(), connection](const error_code& ec) {
          if (ec) {
            self->Fail(connection);
          } else {
            self->OnOpened(connection);
          }
        });
  }

  void OnOpened(const ConnectionPtr& connection) {
    error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    const auto timeout =
        static_cast<unsigned>(options_.silence_timeout.count());
    ::setsockopt(connection->socket.native_handle(), IPPROTO_TCP,
                 TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    {
      const std::lock_guard lock(mutex_);
      if (stopped_) return;
      connection->connected = true;
      connection->opened_at = loop_.Now();
      connection->queue.push_front(hello_);
    }
    Write(connection);
    ReadHeader(connection);
  }

  void Write(const ConnectionPtr& connection) {
    {
      const std::lock_guard lock(mutex_);
      if (stopped_ || connection->closed) return;
      if (!connection->writing.empty() || connection->queue.empty()) return;
      counts_.messages_sent += connection->queue.size();
      for (auto& it : connection->queue) connection->writing += it;
      counts_.bytes_sent += connection->writing.size();
      connection->queue.clear();
      connection->queued_bytes = 0;
      connection->last_sent = loop_.Now();
    }
    asio::async_write(connection->socket, asio::buffer(connection->writing),
                      [self = shared_from_this(), connection](
                          const error_code& ec, std::size_t) {
                        if (ec) {
                          self->Fail(connection);
                          return;
                        }
                        {
                          const std::lock_guard lock(self->mutex_);
                          connection->writing.clear();
                        }
                        self->Write(connection);
                      });
  }

  void ReadHeader(const ConnectionPtr& connection) {
    connection->payload_charge.Release();
    asio::async_read(connection->socket, asio::buffer(connection->header),
                     [self = shared_from_this(), connection](
                         const error_code& ec, std::size_t) {
                       if (ec) {
                         self->Fail(connection);
                       } else {
                         self->ReadPayload(connection);
                       }
                     });
  }

  void ReadPayload(const ConnectionPtr& connection) {
    const auto length = PayloadBytes(
        std::string_view(connection->header.data(), connection->header.size()),
        connection->peer ? options_.max_frame_bytes : options_.max_hello_bytes);
    if (!length) {
      OnMalformed(connection, "the length of a frame is out of bounds");
      return;
    }
    // The peer connects again and repeats what it still needs.
    if (!ChargePayload(*connection, *length)) return Fail(connection);
    connection->payload.resize(*length);
    asio::async_read(connection->socket, asio::buffer(connection->payload),
                     [self = shared_from_this(), connection](
                         const error_code& ec, std::size_t) {
                       if (ec) {
                         self->Fail(connection);
                       } else {
                         self->OnFrame(connection);
                       }
                     });
  }

  void OnFrame(const ConnectionPtr& connection) {
    auto result = Decode(connection->payload);
    if (const auto* error = std::get_if<DecodeError>(&result)) {
      OnMalformed(connection, error->detail);
      return;
    }
    auto message = std::get<Message>(std::move(result));
    {
      const std::lock_guard lock(mutex_);
      if (stopped_) return;
      ++counts_.messages_received;
      counts_.bytes_received += kFrameHeaderBytes + connection->payload.size();
      connection->last_received = loop_.Now();
      if (!IsHeartbeat(message)) connection->last_useful = loop_.Now();
    }
    connection->payload = std::string();
    if (!connection->peer) {
      OnFirstMessage(connection, message);
    } else if (std::holds_alternative<Heartbeat>(message)) {
      ReadHeader(connection);
    } else if (std::holds_alternative<Hello>(message)) {
      OnMalformed(connection, "a second Hello");
    } else {
      Deliver(connection, std::move(message));
    }
  }

  void OnFirstMessage(const ConnectionPtr& connection, const Message& message) {
    const auto* hello = std::get_if<Hello>(&message);
    if (hello == nullptr) {
      OnMalformed(connection, "the first message is no Hello");
      return;
    }
    if (hello->protocol_version != kProtocolVersion) {
      base::Log(base::events::kProtocolVersionRefused,
                {{"peer", hello->identity.name},
                 {"version", hello->protocol_version}});
      Fail(connection);
      return;
    }
    if (hello->identity.incarnation == options_.identity.incarnation) {
      Fail(connection);
      return;
    }
    {
      const std::lock_guard lock(mutex_);
      if (connection->closed) return;
      connection->peer = hello->identity;
      by_incarnation_[hello->identity.incarnation] = connection;
      if (connection->target) retries_.erase(*connection->target);
    }
    ReadHeader(connection);
  }

  void OnMalformed(const ConnectionPtr& connection, std::string_view detail) {
    {
      const std::lock_guard lock(mutex_);
      ++counts_.malformed_frames;
    }
    if (malformed_log_.Open(base::SteadyClock().Now())) {
      base::Log(base::events::kMalformedFrame,
                {{"peer", connection->peer ? connection->peer->name.str() : ""},
                 {"detail", detail}});
    }
    Fail(connection);
  }

  /// Reads on only when the handler has run, so that a busy loop slows its
  /// peers down instead of filling up.
  void Deliver(const ConnectionPtr& connection, Message message) {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    loop_.Post([self = shared_from_this(), connection,
                message = std::move(message)]() mutable {
      self->Handle(*connection->peer, std::move(message));
      asio::post(self->strand_,
                 [self, connection] { self->ReadHeader(connection); });
    });
  }

  /// The handler is looked up only now: its owner may have gone, on the loop,
  /// since the message came.
  void Handle(const Identity& from, Message message) {
    std::shared_ptr<Transport::Handler> handler;
    {
      const std::lock_guard lock(mutex_);
      if (stopped_) return;
      handler = handler_;
    }
    if (handler && *handler) (*handler)(from, std::move(message));
  }

  bool IsStopped() const {
    const std::lock_guard lock(mutex_);
    return stopped_;
  }

  void Tick() {
    tick_.expires_after(kTick);
    tick_.async_wait([self = shared_from_this()](const error_code& ec) {
      if (ec || self->IsStopped()) return;
      self->OnTick();
      self->Tick();
    });
  }

  void OnTick() {
    std::vector<ConnectionPtr> expired;
    std::vector<ConnectionPtr> quiet;
    bool close_now = false;
    {
      const std::lock_guard lock(mutex_);
      if (stopped_) return;
      const auto now = loop_.Now();
      for (const auto& it : connections_) {
        if (IsExpired(*it, options_, now)) {
          expired.push_back(it);
        } else if (it->peer &&
                   now - it->last_sent >= options_.heartbeat_interval) {
          it->queue.push_back(heartbeat_);
          quiet.push_back(it);
        }
      }
      close_now = closing_ && (now >= close_at_ || NothingQueued());
    }
    for (const auto& it : expired) Fail(it);
    for (const auto& it : quiet) Write(it);
    if (close_now) FinishClose();
  }

  bool NothingQueued() const {
    return std::ranges::all_of(connections_, [](const auto& it) {
      return it->queue.empty() && it->writing.empty();
    });
  }

  void FinishClose() {
    std::function<void()> done;
    {
      const std::lock_guard lock(mutex_);
      if (stopped_) return;
      done = std::move(on_closed_);
      if (done) loop_.Post(std::move(done));
      on_closed_ = nullptr;
      stopped_ = true;
    }
    CloseAll();
  }

  Strand strand_;
  base::EventLoop& loop_;
  AsioTransportOptions options_;
  Acceptor acceptor_;
  Timer tick_;
  Timer accept_retry_;
  std::string hello_;
  std::string heartbeat_;

  mutable std::mutex mutex_;
  bool stopped_ = false;
  bool closing_ = false;
  base::TimePoint close_at_;
  std::function<void()> on_closed_;
  std::shared_ptr<Transport::Handler> handler_;
  std::set<ConnectionPtr> connections_;
  std::map<Endpoint, ConnectionPtr> by_target_;
  std::unordered_map<base::Incarnation, ConnectionPtr> by_incarnation_;
  std::map<Endpoint, Retry> retries_;
  base::Random random_;
  TransportCounts counts_;
  base::LogGate malformed_log_{kMalformedLogInterval};
};

/// Stops the links when its owner lets it go.
class AsioTransportImpl final : public AsioTransport {
 public:
  AsioTransportImpl(std::shared_ptr<Links> links,
                    std::shared_ptr<internal::Dialer> dialer)
      : links_(std::move(links)), dialer_(std::move(dialer)) {
    links_->Start();
  }
  ~AsioTransportImpl() override {
    dialer_->Stop();
    links_->Stop();
  }
  AsioTransportImpl(const AsioTransportImpl&) = delete;
  AsioTransportImpl& operator=(const AsioTransportImpl&) = delete;

  void SetHandler(Handler handler) override {
    links_->SetHandler(std::move(handler));
  }
  bool Send(const Peer& to, const Message& message) override {
    return links_->Send(to, message);
  }
  void Reset(const Peer& peer) override { links_->Reset(peer); }
  void Dial(const Endpoint& to, base::Duration timeout,
            std::function<void(DialResult)> done) override {
    dialer_->Dial(to, timeout,
                  [links = links_, to, done = std::move(done)](DialResult it) {
                    if (it == DialResult::kOpened) links->ForgetFailures(to);
                    done(it);
                  });
  }
  Endpoint endpoint() const override { return links_->endpoint(); }
  TransportCounts counts() const override { return links_->counts(); }
  std::size_t connections() const override { return links_->connections(); }
  void Close(base::Duration limit, std::function<void()> done) override {
    links_->Close(limit, std::move(done));
  }

 private:
  std::shared_ptr<Links> links_;
  std::shared_ptr<internal::Dialer> dialer_;
};

}  // namespace

std::shared_ptr<AsioTransport> MakeAsioTransport(boost::asio::io_context& io,
                                                 base::EventLoop& loop,
                                                 AsioTransportOptions options) {
  return std::make_shared<AsioTransportImpl>(
      std::make_shared<Links>(io, loop, std::move(options)),
      std::make_shared<internal::Dialer>(io, loop));
}

}  // namespace lapishatch::wire
