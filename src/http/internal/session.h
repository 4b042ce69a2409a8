#ifndef LAPISHATCH_HTTP_INTERNAL_SESSION_H_
#define LAPISHATCH_HTTP_INTERNAL_SESSION_H_

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "http/server.h"

namespace lapishatch::http::internal {

/// What a connection costs at rest, with its buffers and what the event loop
/// keeps of it, in bytes.
inline constexpr std::size_t kConnectionBytes = 8 * 1024;

/// What giving up a session frees.
struct Occupancy {
  std::size_t bytes = 0;
  /// Bytes times the milliseconds since the connection or its request began, so
  /// that slow progress does not protect a peer.
  std::uint64_t weight = 0;
};

/// One connection of a server. Its state lives on its own strand; every
/// function may be called from any thread.
class Session {
 public:
  virtual ~Session() = default;

  /// Serves requests until the connection ends.
  virtual void Start() = 0;

  /// Answers 503 without reading a request: the server has too many
  /// connections.
  virtual void Refuse() = 0;

  /// Ends after the request in progress, or after the grace when idle.
  virtual void Drain() = 0;

  /// Ends at once.
  virtual void Abort() = 0;

  /// What the session occupies; nothing while it must not be given up.
  virtual Occupancy OccupancyAt(base::TimePoint now) const = 0;

  /// Gives up an idle connection or an unfinished request, to free `kind`. An
  /// unfinished request is refused (503) if the connection itself may stay for
  /// that.
  virtual void Evict(ResourceKind kind, Closing closing) = 0;
};

/// What the sessions of one server share. Sessions are registered in shards, so
/// that accepting and closing on several threads do not meet on one lock.
class ServerState {
 public:
  ServerState(ServerLimits server_limits, ResourcesPtr server_resources,
              Handler request_handler)
      : limits(server_limits),
        resources(std::move(server_resources)),
        handler(std::move(request_handler)) {}

  const ServerLimits limits;
  const ResourcesPtr resources;
  const Handler handler;
  /// Connections that are served, and those that are being refused.
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> refusals{0};
  std::atomic<std::size_t> in_progress{0};
  std::atomic<bool> draining{false};
  /// The server object is gone: no request goes to the handler any more.
  std::atomic<bool> stopped{false};

  void Add(const std::shared_ptr<Session>& session);
  void Remove(const Session* session);

  /// Calls `visit` for each session that still lives.
  void ForEach(
      const std::function<void(const std::shared_ptr<Session>&)>& visit);

  /// Counts something that a planned stop waits for: a connection or a request.
  void Hold() { ++holds_; }

  /// Has the resources close connections of this server when they are short.
  static void Register(const std::shared_ptr<ServerState>& server) {
    server->resources->Add(server);
  }

  /// Ends a Hold; the last one after `OnQuiet` calls its callback.
  void Unhold();

  /// Calls `quiet` once, when nothing is held any more.
  void OnQuiet(std::function<void()> quiet);

 private:
  static constexpr std::size_t kShards = 16;

  struct Shard {
    std::mutex mutex;
    std::unordered_map<const Session*, std::weak_ptr<Session>> sessions;
  };

  Shard& ShardOf(const Session* session);
  void CallQuiet();

  std::array<Shard, kShards> shards_;
  std::atomic<std::size_t> holds_{0};
  std::mutex quiet_mutex_;
  std::function<void()> quiet_;
};

/// What a session spends of the budgets from its beginning to its end.
struct SessionCharges {
  base::Charge descriptor;
  base::Charge connection;
};

/// A session on `socket`, whose executor is a strand.
std::shared_ptr<Session> MakeSession(boost::asio::ip::tcp::socket socket,
                                     SessionCharges charges,
                                     std::shared_ptr<ServerState> state);

}  // namespace lapishatch::http::internal

#endif  // LAPISHATCH_HTTP_INTERNAL_SESSION_H_
