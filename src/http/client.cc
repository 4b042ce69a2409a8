#include "http/client.h"

#include <xxhash.h>

#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <vector>

#include "http/internal/connection.h"

namespace lapishatch::http {
namespace {

namespace asio = boost::asio;
using internal::Call;
using internal::CallPtr;
using internal::ConnectionPtr;

struct IdleConnection {
  ConnectionPtr connection;
  base::TimePoint since;

  friend bool operator==(const IdleConnection& idle,
                         const ConnectionPtr& other) {
    return idle.connection == other;
  }
};

/// What is kept of one endpoint.
struct Pool {
  /// Idle connections, the one used last at the back: it is the likeliest to
  /// be open still, and the others can reach their idle timeout.
  std::vector<IdleConnection> idle;
  std::unordered_set<ConnectionPtr> all;
  std::deque<CallPtr> waiting;
  /// When the waiting calls are next looked through for passed deadlines.
  std::unique_ptr<asio::steady_timer> sweep;
  base::TimePoint sweep_at = base::TimePoint::max();

  bool IsUnused() const { return all.empty() && waiting.empty(); }
};

/// Pools of some of the endpoints, under one lock.
struct Shard {
  mutable std::mutex mutex;
  std::map<Endpoint, Pool> pools;
};

constexpr std::size_t kShards = 64;

std::size_t ShardIndexOf(const Endpoint& endpoint) {
  const auto hash = XXH3_64bits_withSeed(
      endpoint.address.data(), endpoint.address.size(), endpoint.port);
  return hash % kShards;
}

}  // namespace

class Client::Impl final : public internal::ConnectionOwner,
                           public std::enable_shared_from_this<Client::Impl> {
 public:
  Impl(asio::io_context& io, ClientLimits limits, ResourcesPtr resources)
      : io_(io), limits_(limits), resources_(std::move(resources)) {}

  void Send(CallPtr call) {
    if (is_closed_) return;
    const auto endpoint = call->endpoint;
    auto& shard = ShardOf(endpoint);
    ConnectionPtr connection;
    bool is_new = false;
    {
      const std::lock_guard lock(shard.mutex);
      auto& pool = shard.pools[endpoint];
      if (!pool.idle.empty()) {
        connection = std::move(pool.idle.back().connection);
        pool.idle.pop_back();
      } else if (pool.all.size() < limits_.connections_per_endpoint) {
        connection = AddConnection(pool, endpoint);
        is_new = true;
      } else if (pool.waiting.size() < limits_.waiting_per_endpoint) {
        Wait(pool, std::move(call));
      }
    }
    if (connection) return Start(connection, is_new, std::move(call));
    if (call) FailUnsent(std::move(call), false);
  }

  void Forget(const Endpoint& endpoint) {
    auto& shard = ShardOf(endpoint);
    std::vector<IdleConnection> idle;
    {
      const std::lock_guard lock(shard.mutex);
      const auto it = shard.pools.find(endpoint);
      if (it == shard.pools.end()) return;
      idle = it->second.idle;
    }
    for (const auto& it : idle) it.connection->CloseIdle();
  }

  std::size_t busy(const Endpoint& endpoint) const {
    const auto& shard = shards_[ShardIndexOf(endpoint)];
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.pools.find(endpoint);
    if (it == shard.pools.end()) return 0;
    return it->second.all.size() - it->second.idle.size();
  }

  /// Drops everything without calling back.
  void Close() {
    is_closed_ = true;
    for (auto& shard : shards_) {
      std::map<Endpoint, Pool> pools;
      {
        const std::lock_guard lock(shard.mutex);
        pools.swap(shard.pools);
      }
      for (const auto& [endpoint, pool] : pools) {
        for (const auto& it : pool.all) it->Abort();
      }
    }
  }

  void OnFree(const ConnectionPtr& connection) override {
    auto& shard = ShardOf(connection->endpoint());
    std::vector<CallPtr> expired;
    CallPtr next;
    {
      const std::lock_guard lock(shard.mutex);
      const auto it = shard.pools.find(connection->endpoint());
      if (it == shard.pools.end()) return;
      next = TakeWaiting(it->second, expired);
      if (!next) {
        it->second.idle.push_back({connection, base::SteadyClock().Now()});
      }
    }
    if (next) connection->Send(std::move(next));
    FailAll(std::move(expired));
  }

  void OnTimeout(const ConnectionPtr& connection) override {
    auto& shard = ShardOf(connection->endpoint());
    std::vector<ConnectionPtr> suspects;
    {
      const std::lock_guard lock(shard.mutex);
      const auto it = shard.pools.find(connection->endpoint());
      if (it == shard.pools.end()) return;
      auto& pool = it->second;
      const auto now = base::SteadyClock().Now();
      for (const auto& idle : pool.idle) {
        if (now - idle.since <= limits_.suspect_idle_time) continue;
        suspects.push_back(idle.connection);
      }
      for (const auto& suspect : suspects) {
        std::erase(pool.idle, suspect);
        pool.all.erase(suspect);
      }
    }
    for (const auto& suspect : suspects) suspect->Abort();
  }

  void OnClosed(const ConnectionPtr& connection) override {
    const auto& endpoint = connection->endpoint();
    auto& shard = ShardOf(endpoint);
    std::vector<CallPtr> expired;
    ConnectionPtr replacement;
    CallPtr next;
    {
      const std::lock_guard lock(shard.mutex);
      const auto it = shard.pools.find(endpoint);
      if (it == shard.pools.end()) return;
      auto& pool = it->second;
      pool.all.erase(connection);
      std::erase(pool.idle, connection);
      next = TakeWaiting(pool, expired);
      if (next) replacement = AddConnection(pool, endpoint);
      if (pool.IsUnused()) shard.pools.erase(it);
    }
    if (next) replacement->Connect(std::move(next));
    FailAll(std::move(expired));
  }

  bool TakeIdle(const ConnectionPtr& connection) override {
    auto& shard = ShardOf(connection->endpoint());
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.pools.find(connection->endpoint());
    return it != shard.pools.end() &&
           std::erase(it->second.idle, connection) > 0;
  }

  void SendAgain(CallPtr call) override { Send(std::move(call)); }

 private:
  Shard& ShardOf(const Endpoint& endpoint) {
    return shards_[ShardIndexOf(endpoint)];
  }

  ConnectionPtr AddConnection(Pool& pool, const Endpoint& endpoint) {
    auto out = internal::MakeConnection(io_, endpoint, limits_, resources_,
                                        weak_from_this());
    pool.all.insert(out);
    return out;
  }

  static void Start(const ConnectionPtr& connection, bool is_new,
                    CallPtr call) {
    if (is_new) return connection->Connect(std::move(call));
    connection->Send(std::move(call));
  }

  /// The first waiting call that still has time; those before it go to
  /// `expired`.
  static CallPtr TakeWaiting(Pool& pool, std::vector<CallPtr>& expired) {
    const auto now = base::SteadyClock().Now();
    while (!pool.waiting.empty()) {
      auto call = std::move(pool.waiting.front());
      pool.waiting.pop_front();
      if (call->deadline > now) return call;
      expired.push_back(std::move(call));
    }
    return nullptr;
  }

  void Wait(Pool& pool, CallPtr call) {
    const auto deadline = call->deadline;
    const auto endpoint = call->endpoint;
    pool.waiting.push_back(std::move(call));
    if (deadline < pool.sweep_at) ArmSweep(pool, endpoint, deadline);
  }

  void ArmSweep(Pool& pool, const Endpoint& endpoint, base::TimePoint time) {
    if (!pool.sweep) pool.sweep = std::make_unique<asio::steady_timer>(io_);
    pool.sweep_at = time;
    pool.sweep->expires_at(time);
    pool.sweep->async_wait([weak = weak_from_this(),
                            endpoint](const boost::system::error_code& ec) {
      if (ec) return;
      if (const auto self = weak.lock()) self->Sweep(endpoint);
    });
  }

  /// Fails the waiting calls whose deadline has passed.
  void Sweep(const Endpoint& endpoint) {
    auto& shard = ShardOf(endpoint);
    std::vector<CallPtr> expired;
    {
      const std::lock_guard lock(shard.mutex);
      const auto it = shard.pools.find(endpoint);
      if (it == shard.pools.end()) return;
      auto& pool = it->second;
      const auto now = base::SteadyClock().Now();
      auto earliest = base::TimePoint::max();
      std::deque<CallPtr> kept;
      for (auto& call : pool.waiting) {
        if (call->deadline <= now) {
          expired.push_back(std::move(call));
          continue;
        }
        earliest = std::min(earliest, call->deadline);
        kept.push_back(std::move(call));
      }
      pool.waiting = std::move(kept);
      pool.sweep_at = base::TimePoint::max();
      if (!pool.waiting.empty()) ArmSweep(pool, endpoint, earliest);
    }
    FailAll(std::move(expired));
  }

  void FailAll(std::vector<CallPtr> calls) {
    for (auto& it : calls) FailUnsent(std::move(it), true);
  }

  /// Ends a call that no connection has taken.
  void FailUnsent(CallPtr call, bool timed_out) {
    asio::post(io_, [call = std::move(call), timed_out] {
      ClientError error;
      error.timed_out = timed_out;
      error.no_connection_free = true;
      error.detail = TextOf(call->endpoint) + ": no connection is free";
      call->done(std::move(error));
    });
  }

  asio::io_context& io_;
  const ClientLimits limits_;
  const ResourcesPtr resources_;
  std::atomic<bool> is_closed_{false};
  std::array<Shard, kShards> shards_;
};

Client::Client(asio::io_context& io, ClientLimits limits,
               ResourcesPtr resources)
    : impl_(std::make_shared<Impl>(io, limits, std::move(resources))) {}

Client::~Client() { impl_->Close(); }

void Client::Send(const Endpoint& endpoint, Request request,
                  base::Duration timeout, Callback done) {
  const auto deadline = base::SteadyClock().Now() + timeout;
  impl_->Send(std::make_unique<Call>(
      Call{endpoint, std::move(request), deadline, std::move(done)}));
}

void Client::Forget(const Endpoint& endpoint) { impl_->Forget(endpoint); }

std::size_t Client::busy(const Endpoint& endpoint) const {
  return impl_->busy(endpoint);
}

}  // namespace lapishatch::http
