#ifndef LAPISHATCH_HTTP_RESOURCES_H_
#define LAPISHATCH_HTTP_RESOURCES_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace lapishatch::http {

namespace internal {
class ServerState;
}  // namespace internal

/// What a process may use, as its settings state it.
struct ProcessLimits {
  /// Memory of the machine, in bytes.
  std::size_t memory_bytes = std::size_t{1} << 30;
  /// Descriptors for sockets.
  std::size_t max_descriptors = 16'384;
};

/// When a connection that gives way is closed.
enum class Closing : std::uint8_t {
  /// Within the call that needs room, which must hold no lock: for a process
  /// whose only thread runs all servers.
  kAtOnce,
  /// Soon. Until then, the margins of the budgets serve.
  kPosted,
};

/// What peers of the process can exhaust.
enum class ResourceKind : std::uint8_t {
  kBytes,
  kDescriptors,
  /// Of one head; without a budget, since they are bytes in the end.
  kFields,
};

/// The budgets of a process for what its peers can make large. All servers and
/// clients of a process share one, so these hold for the process:
///
/// - Bytes: what peers make the process hold is charged before it is allocated,
///   by what is allocated, and is at most a fixed share of the memory.
/// - Descriptors: connections of peers leave those free that the process needs
///   for its own connections.
///
/// When a budget is short, connections that are idle or have an unfinished
/// request are closed, those first that hold most for longest. A request that
/// was received whole is never given up for another one. Safe from several
/// threads.
class Resources {
 public:
  explicit Resources(const ProcessLimits& limits,
                     Closing closing = Closing::kPosted);
  ~Resources();
  Resources(const Resources&) = delete;
  Resources& operator=(const Resources&) = delete;

  /// `kind` must have a budget, here and below.
  base::Charge MakeCharge(ResourceKind kind, base::BudgetUse use);
  const base::Budget& budget(ResourceKind kind) const;

  /// Makes a charge of bytes larger or smaller. Before it is refused, peers
  /// whose occupancy is above `occupancy` lose their connections; none does
  /// with kKeepConnections.
  bool TryHold(base::Charge& charge, std::size_t bytes,
               std::uint64_t occupancy);

  /// Charges a connection that a peer has opened, its descriptor and its bytes
  /// at rest.
  bool TryAccept(base::Charge& descriptor, base::Charge& bytes);

  /// Charges the descriptor of a connection that this process opens.
  bool TryConnect(base::Charge& descriptor);

  /// Closes `n` connections of peers, if there are so many that may be closed.
  void CloseConnections(std::size_t n);

  /// Counts and logs a peer that was refused for want of `kind`, of any.
  void CountRefusal(ResourceKind kind);

  /// Counts a connection that gave way for `kind`.
  void CountEviction(ResourceKind kind) { ++CountersOf(kind).evictions; }

  /// Gives memory back to the system if much has been freed since the last
  /// time. Cheap otherwise.
  void OnReleased();

  /// Sets the metrics of the budgets.
  void Report(base::MetricRegistry& metrics) const;

  static constexpr std::uint64_t kKeepConnections =
      std::numeric_limits<std::uint64_t>::max();

 private:
  friend class internal::ServerState;

  static constexpr std::size_t kKinds = 3;

  struct Counters {
    std::atomic<std::uint64_t> refusals{0};
    std::atomic<std::uint64_t> evictions{0};
  };

  void Add(const std::shared_ptr<internal::ServerState>& server);

  /// Closes connections of which each occupies more than `occupancy`, until
  /// `goal` of `kind` are freed or none is left.
  void Evict(ResourceKind kind, std::size_t goal, std::uint64_t occupancy);
  /// What is freed at a time.
  std::size_t BatchOf(ResourceKind kind, std::size_t wanted) const;
  Counters& CountersOf(ResourceKind kind);
  /// Logs that a limit was reached, at most once in a while.
  void LogReached(ResourceKind kind);

  const Closing closing_;
  base::Budget bytes_;
  base::Budget descriptors_;
  std::array<Counters, kKinds> counters_;
  base::LogGate log_gate_;
  /// Most bytes spent since memory was last given back.
  std::atomic<std::size_t> bytes_peak_{0};
  std::mutex mutex_;
  std::vector<std::weak_ptr<internal::ServerState>> servers_;
};

using ResourcesPtr = std::shared_ptr<Resources>;

}  // namespace lapishatch::http

namespace lapishatch::base {
template <>
struct EnumNames<http::ResourceKind> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "bytes", "descriptors", "fields"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_HTTP_RESOURCES_H_
