#include "http/resources.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/heap.h"
#include "http/internal/session.h"

namespace lapishatch::http {
namespace {

using base::BudgetUse;

/// Share of the memory for what peers make the process hold. The rest is for
/// the work of the process on the largest deployment, for a body that is being
/// decoded, and for what the heap adds to each allocation.
constexpr std::size_t kBytesNumerator = 2;
constexpr std::size_t kBytesDenominator = 5;

/// Descriptors of listeners, timers, signals and the log.
constexpr std::size_t kOwnDescriptors = 24;

/// Part of each budget, as a divisor, that is kept free by closing connections:
/// a peer on another thread may take some before the closed ones are free.
constexpr std::size_t kMarginDivisor = 8;

/// Part of the descriptors, as a divisor, that stays free for connections of
/// the process, and part that these leave to peers.
constexpr std::size_t kOutgoingDivisor = 16;
constexpr std::size_t kIncomingDivisor = 16;

/// Part of a budget, as a divisor, that is freed at a time: finding the
/// connections to close costs a look at each.
constexpr std::size_t kBatchDivisor = 64;

/// Memory is given back when this part of the budget, as a divisor, was freed.
constexpr std::size_t kReleaseDivisor = 4;

constexpr base::Duration kLogInterval{10'000};

std::size_t DescriptorsFor(const ProcessLimits& limits) {
  return limits.max_descriptors -
         std::min(limits.max_descriptors / 2, kOwnDescriptors);
}

std::size_t CeilingOf(const base::Budget& budget, std::size_t divisor) {
  return budget.capacity() - budget.capacity() / divisor;
}

struct Candidate {
  internal::Occupancy occupancy;
  std::shared_ptr<internal::Session> session;
};

}  // namespace

Resources::Resources(const ProcessLimits& limits, Closing closing)
    : closing_(closing),
      bytes_(limits.memory_bytes / kBytesDenominator * kBytesNumerator),
      descriptors_(DescriptorsFor(limits)),
      log_gate_(kLogInterval) {}

Resources::~Resources() = default;

base::Charge Resources::MakeCharge(ResourceKind kind, BudgetUse use) {
  return {kind == ResourceKind::kBytes ? bytes_ : descriptors_, use};
}

const base::Budget& Resources::budget(ResourceKind kind) const {
  return kind == ResourceKind::kBytes ? bytes_ : descriptors_;
}

bool Resources::TryHold(base::Charge& charge, std::size_t bytes,
                        std::uint64_t occupancy) {
  const auto ceiling = CeilingOf(bytes_, kMarginDivisor);
  const bool fits = charge.TryResize(bytes, ceiling);
  if (!fits) {
    Evict(ResourceKind::kBytes,
          BatchOf(ResourceKind::kBytes, bytes - charge.size()), occupancy);
    if (!charge.TryResize(bytes)) {
      CountRefusal(ResourceKind::kBytes);
      return false;
    }
  }
  auto peak = bytes_peak_.load();
  const auto spent = bytes_.spent();
  while (spent > peak && !bytes_peak_.compare_exchange_weak(peak, spent)) {
  }
  return true;
}

bool Resources::TryAccept(base::Charge& descriptor, base::Charge& bytes) {
  const auto ceiling = CeilingOf(descriptors_, kOutgoingDivisor);
  if (!descriptor.TryResize(1, ceiling)) {
    CloseConnections(BatchOf(ResourceKind::kDescriptors, 1));
    const auto margin = CeilingOf(descriptors_, 2 * kOutgoingDivisor);
    if (!descriptor.TryResize(1, margin)) {
      CountRefusal(ResourceKind::kDescriptors);
      return false;
    }
  }
  return TryHold(bytes, internal::kConnectionBytes, 0);
}

bool Resources::TryConnect(base::Charge& descriptor) {
  const auto outgoing = descriptors_.spent(BudgetUse::kOutgoing);
  if (outgoing >= CeilingOf(descriptors_, kIncomingDivisor)) return false;
  const auto ceiling = CeilingOf(descriptors_, kOutgoingDivisor);
  if (descriptor.TryResize(1, ceiling)) return true;
  CloseConnections(BatchOf(ResourceKind::kDescriptors, 1));
  return descriptor.TryResize(1);
}

void Resources::CloseConnections(std::size_t n) {
  Evict(ResourceKind::kDescriptors, n, 0);
}

void Resources::CountRefusal(ResourceKind kind) {
  ++CountersOf(kind).refusals;
  LogReached(kind);
}

void Resources::OnReleased() {
  const auto spent = bytes_.spent();
  auto peak = bytes_peak_.load();
  if (spent + bytes_.capacity() / kReleaseDivisor >= peak) return;
  if (bytes_peak_.compare_exchange_strong(peak, spent)) {
    base::ReleaseFreeHeap();
  }
}

void Resources::Report(base::MetricRegistry& metrics) const {
  for (std::size_t i = 0; i < kKinds; ++i) {
    const std::string name(base::NameOf(static_cast<ResourceKind>(i)));
    metrics.Set("lapishatch_peer_refusals", {{"resource", name}},
                static_cast<double>(counters_[i].refusals));
    metrics.Set("lapishatch_peer_evictions", {{"resource", name}},
                static_cast<double>(counters_[i].evictions));
  }
  for (const auto kind : {ResourceKind::kBytes, ResourceKind::kDescriptors}) {
    const auto& held = budget(kind);
    const std::string name(base::NameOf(kind));
    metrics.Set("lapishatch_peer_limit", {{"resource", name}},
                static_cast<double>(held.capacity()));
    for (std::size_t i = 0; i < base::kBudgetUses; ++i) {
      const auto use = static_cast<BudgetUse>(i);
      metrics.Set("lapishatch_peer_held",
                  {{"resource", name}, {"use", std::string(base::NameOf(use))}},
                  static_cast<double>(held.spent(use)));
    }
  }
}

void Resources::Add(const std::shared_ptr<internal::ServerState>& server) {
  const std::lock_guard lock(mutex_);
  std::erase_if(servers_, [](const auto& it) { return it.expired(); });
  servers_.push_back(server);
}

void Resources::Evict(ResourceKind kind, std::size_t goal,
                      std::uint64_t occupancy) {
  if (occupancy == kKeepConnections) return;
  std::vector<std::shared_ptr<internal::ServerState>> servers;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& it : servers_) {
      if (auto server = it.lock()) servers.push_back(std::move(server));
    }
  }
  std::vector<Candidate> candidates;
  const auto now = base::SteadyClock().Now();
  for (const auto& server : servers) {
    server->ForEach([&](const std::shared_ptr<internal::Session>& it) {
      const auto held = it->OccupancyAt(now);
      if (held.weight > occupancy) candidates.push_back({held, it});
    });
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.occupancy.weight > b.occupancy.weight;
            });
  std::size_t freed = 0;
  for (const auto& it : candidates) {
    if (freed >= goal) break;
    freed += kind == ResourceKind::kBytes ? it.occupancy.bytes : 1;
    it.session->Evict(kind, closing_);
  }
  if (freed > 0) LogReached(kind);
}

std::size_t Resources::BatchOf(ResourceKind kind, std::size_t wanted) const {
  return std::max(wanted, budget(kind).capacity() / kBatchDivisor);
}

Resources::Counters& Resources::CountersOf(ResourceKind kind) {
  return counters_[static_cast<std::size_t>(kind)];
}

void Resources::LogReached(ResourceKind kind) {
  if (!log_gate_.Open(base::SteadyClock().Now())) return;
  const auto& counters = CountersOf(kind);
  base::Log(base::events::kPeerLimitReached,
            {{"resource", base::NameOf(kind)},
             {"bytes", bytes_.spent()},
             {"bytes_limit", bytes_.capacity()},
             {"descriptors", descriptors_.spent()},
             {"descriptors_limit", descriptors_.capacity()},
             {"evicted", counters.evictions.load()},
             {"refused", counters.refusals.load()}});
}

}  // namespace lapishatch::http
