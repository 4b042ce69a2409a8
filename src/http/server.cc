#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <utility>
#include <vector>

#include "http/internal/session.h"

namespace lapishatch::http {
namespace internal {

void ServerState::Add(const std::shared_ptr<Session>& session) {
  auto& shard = ShardOf(session.get());
  const std::lock_guard lock(shard.mutex);
  shard.sessions.emplace(session.get(), session);
}

void ServerState::Remove(const Session* session) {
  auto& shard = ShardOf(session);
  const std::lock_guard lock(shard.mutex);
  shard.sessions.erase(session);
}

void ServerState::ForEach(
    const std::function<void(const std::shared_ptr<Session>&)>& visit) {
  for (auto& shard : shards_) {
    std::vector<std::shared_ptr<Session>> alive;
    {
      const std::lock_guard lock(shard.mutex);
      for (const auto& [key, session] : shard.sessions) {
        if (auto it = session.lock()) alive.push_back(std::move(it));
      }
    }
    for (const auto& it : alive) visit(it);
  }
}

void ServerState::Unhold() {
  if (--holds_ == 0) CallQuiet();
}

void ServerState::OnQuiet(std::function<void()> quiet) {
  Hold();
  {
    const std::lock_guard lock(quiet_mutex_);
    quiet_ = std::move(quiet);
  }
  Unhold();
}

ServerState::Shard& ServerState::ShardOf(const Session* session) {
  // Allocations are aligned, so the lowest bits say nothing.
  constexpr int kAlignmentBits = 6;
  const auto bits = reinterpret_cast<std::uintptr_t>(session);
  return shards_[(bits >> kAlignmentBits) % kShards];
}

void ServerState::CallQuiet() {
  std::function<void()> quiet;
  {
    const std::lock_guard lock(quiet_mutex_);
    quiet = std::exchange(quiet_, nullptr);
  }
  if (quiet) quiet();
}

}  // namespace internal

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// When accepting fails for want of descriptors or memory, the next try waits
/// for so long.
constexpr base::Duration kAcceptRetry{100};

/// Connections above the limit that are being told so; further ones are just
/// closed.
constexpr std::size_t kMaxRefusals = 256;

/// Part of the connections, as a divisor, that give way at a time when there
/// are as many as allowed.
constexpr std::size_t kClosedDivisor = 64;

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
 public:
  Impl(asio::io_context& io, const Endpoint& endpoint, ServerLimits limits,
       ResourcesPtr resources, Handler handler)
      : io_(io),
        strand_(asio::make_strand(io)),
        acceptor_(strand_, ToAsio(endpoint), /*reuse_addr=*/true),
        retry_(strand_),
        grace_(strand_),
        bound_{endpoint.address, acceptor_.local_endpoint().port()},
        state_(std::make_shared<internal::ServerState>(
            limits, std::move(resources), std::move(handler))) {
    acceptor_.non_blocking(true);
    internal::ServerState::Register(state_);
  }

  void Start() {
    asio::post(strand_, [self = shared_from_this()] { self->Accept(); });
  }

  const Endpoint& endpoint() const { return bound_; }

  std::size_t in_progress() const { return state_->in_progress; }

  void Drain(std::function<void()> done) {
    state_->Hold();
    asio::post(strand_, [self = shared_from_this(), done = std::move(done)] {
      self->state_->OnQuiet([self, done] { asio::post(self->io_, done); });
      self->DrainNow();
      self->state_->Unhold();
    });
  }

  void Stop() {
    state_->stopped = true;
    asio::post(strand_, [self = shared_from_this()] {
      self->CloseAcceptor();
      self->state_->ForEach([](const auto& it) { it->Abort(); });
    });
  }

 private:
  void Accept() {
    if (!acceptor_.is_open()) return;
    acceptor_.async_accept(
        asio::make_strand(io_),
        [self = shared_from_this()](const boost::system::error_code& ec,
                                    tcp::socket socket) {
          self->OnAccept(ec, std::move(socket));
        });
  }

  void OnAccept(const boost::system::error_code& ec, tcp::socket socket) {
    if (!ec) Serve(std::move(socket));
    if (!acceptor_.is_open()) return;
    const bool is_transient = !ec || ec == asio::error::connection_aborted;
    if (is_transient) return Accept();
    retry_.expires_after(kAcceptRetry);
    retry_.async_wait(
        [self = shared_from_this()](const boost::system::error_code&) {
          self->Accept();
        });
  }

  void Serve(tcp::socket socket) {
    if (state_->stopped) return;
    auto& resources = *state_->resources;
    if (IsFull()) {
      resources.CloseConnections(1 + state_->limits.max_connections /
                                         kClosedDivisor);
    }
    internal::SessionCharges charges{
        resources.MakeCharge(ResourceKind::kDescriptors,
                             base::BudgetUse::kIncoming),
        resources.MakeCharge(ResourceKind::kBytes, base::BudgetUse::kIncoming)};
    if (!resources.TryAccept(charges.descriptor, charges.connection)) return;
    const bool is_full = IsFull();
    if (is_full && state_->refusals >= kMaxRefusals) return;
    const auto session =
        internal::MakeSession(std::move(socket), std::move(charges), state_);
    if (is_full) return session->Refuse();
    session->Start();
    if (state_->draining) session->Drain();
  }

  bool IsFull() const {
    return state_->connections >= state_->limits.max_connections;
  }

  /// Accepting goes on for the grace: a caller that does not know yet is
  /// connecting, and closing the acceptor under its connection would reset it.
  void DrainNow() {
    if (state_->draining.exchange(true)) return;
    state_->ForEach([](const auto& it) { it->Drain(); });
    state_->Hold();
    grace_.expires_after(state_->limits.drain_grace);
    grace_.async_wait(
        [self = shared_from_this()](const boost::system::error_code&) {
          self->AcceptLast();
          self->state_->Unhold();
        });
  }

  /// Takes the connections that the kernel has completed, then accepts no
  /// more.
  void AcceptLast() {
    boost::system::error_code ec;
    while (acceptor_.is_open()) {
      tcp::socket socket(asio::make_strand(io_));
      acceptor_.accept(socket, ec);
      if (ec) break;
      Serve(std::move(socket));
    }
    CloseAcceptor();
  }

  void CloseAcceptor() {
    boost::system::error_code ec;
    acceptor_.close(ec);
    retry_.cancel();
    grace_.cancel();
  }

  asio::io_context& io_;
  asio::strand<asio::io_context::executor_type> strand_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  asio::steady_timer grace_;
  Endpoint bound_;
  std::shared_ptr<internal::ServerState> state_;
};

Server::Server(asio::io_context& io, const Endpoint& endpoint,
               ServerLimits limits, ResourcesPtr resources, Handler handler)
    : impl_(std::make_shared<Impl>(io, endpoint, limits, std::move(resources),
                                   std::move(handler))) {}

Server::Server(asio::io_context& io, const Endpoint& endpoint,
               ServerLimits limits, Handler handler)
    : Server(io, endpoint, limits, std::make_shared<Resources>(ProcessLimits{}),
             std::move(handler)) {}

Server::~Server() { impl_->Stop(); }

void Server::Start() { impl_->Start(); }

Endpoint Server::endpoint() const { return impl_->endpoint(); }

void Server::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

std::size_t Server::in_progress() const { return impl_->in_progress(); }

}  // namespace lapishatch::http
