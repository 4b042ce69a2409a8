#include <catch2/catch.hpp>
#include <random>

#include "entry_world.h"

namespace lapishatch::platform {
namespace {

using fakes::StoreFault;

constexpr int kRoutes = 4;
constexpr int kKeys = 4;
constexpr int kSteps = 60;

/// Changes the configuration again and again while the store fails in several
/// ways, and checks each response against the versions that may be in force.
class ConfigurationHistory {
 public:
  explicit ConfigurationHistory(std::uint64_t seed) : random_(seed) {
    Change();
    world_.feed.Start();
  }

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      InjectRandomFault();
      if (RandomInt(0, 2) == 0) Change();
      if (RandomInt(0, 9) == 0) world_.feed.Reload();
      world_.RunFor(RandomInt(5, 900));
      AskAndCheck();
    }
    RepairAll();
    world_.RunFor(kRepairedWithinMs);
    CheckLatestInForce();
  }

 private:
  struct Acknowledged {
    TestConfiguration configuration;
    base::TimePoint at;
  };

  static constexpr int kRepairedWithinMs = 3'000;

  int RandomInt(int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random_);
  }

  void Trace(const std::string& event) {
    trace_ += std::to_string(world_.time.Now().time_since_epoch().count()) +
              ' ' + event + '\n';
  }

  void Change() {
    auto next = versions_.empty() ? TestConfiguration{}
                                  : versions_.back().configuration;
    next.version += static_cast<std::uint64_t>(RandomInt(1, 3));
    Toggle(next.routes, RandomInt(1, kRoutes));
    Toggle(next.keys, RandomInt(1, kKeys));
    world_.Put(next);
    versions_.push_back({next, world_.time.Now()});
    Trace("version " + std::to_string(next.version));
  }

  static void Toggle(std::set<int>& numbers, int n) {
    if (numbers.erase(n) == 0) numbers.insert(n);
  }

  void InjectRandomFault() {
    const auto faults = {StoreFault::kNone, StoreFault::kNone,
                         StoreFault::kSilent, StoreFault::kBusy};
    const auto fault = faults.begin()[RandomInt(0, 3)];
    const auto name = std::to_string(static_cast<int>(fault));
    IsStoreImpaired();
    switch (RandomInt(0, 10)) {
      case 0:
        Trace("fault of all calls " + name);
        fault_of_calls_ = fault;
        return world_.store.SetFault(EntryWorld::kVm, fault);
      case 1:
        Trace("fault of feeds " + name);
        fault_of_feeds_ = fault;
        return world_.store.SetFaultForFeeds(fault);
      case 2:
        Trace("history dropped");
        return world_.store.DropHistory();
      case 3:
        world_.store.read_lag =
            base::Duration(RandomInt(0, 1) * RandomInt(100, 4'000));
        return Trace("reads lag by " +
                     std::to_string(world_.store.read_lag.count()));
      case 4:
        world_.store.delay = base::Duration(RandomInt(1, 400));
        return Trace("delay " + std::to_string(world_.store.delay.count()));
      case 5:
        Trace("connections silent");
        return world_.store.Sever(EntryWorld::kVm, fakes::SeveredWrites::kLost);
      default:
        return;
    }
  }

  /// Whether the store refuses calls or its reads lag, now or until recently:
  /// only then is the delay extended.
  bool IsStoreImpaired() {
    const bool is_impaired = fault_of_calls_ == StoreFault::kBusy ||
                             fault_of_feeds_ == StoreFault::kBusy ||
                             world_.store.read_lag > base::Duration(0);
    const auto now = world_.time.Now();
    if (is_impaired) impaired_until_ = now + world_.bounds.capacity_delay;
    return now < impaired_until_;
  }

  void RepairAll() {
    Trace("repaired");
    world_.store.SetFault(EntryWorld::kVm, StoreFault::kNone);
    world_.store.SetFaultForFeeds(StoreFault::kNone);
    world_.store.read_lag = base::Duration(0);
    world_.store.delay = base::Duration(1);
  }

  /// Versions that may be in force `age` after their acknowledgement: the last
  /// one that is at least as old, and all later ones.
  std::vector<const TestConfiguration*> PossibleVersions(
      base::Duration age) const {
    std::vector<const TestConfiguration*> out;
    for (const auto& it : versions_) {
      if (it.at <= world_.time.Now() - age) out.clear();
      out.push_back(&it.configuration);
    }
    return out;
  }

  void AskAndCheck() {
    const int route = RandomInt(1, kRoutes);
    const int key = RandomInt(1, kKeys);
    const auto allows = [route, key](const TestConfiguration* it) {
      return it->routes.contains(route) && it->keys.contains(key);
    };
    INFO(trace_);
    const auto& bounds = world_.bounds;
    const auto current = PossibleVersions(bounds.configuration_delay);
    const auto usable =
        PossibleVersions(bounds.configuration_delay +
                         (IsStoreImpaired() ? bounds.configuration_extension
                                            : base::Duration(0)));
    const int status = world_.Ask(route, key);
    Trace("route " + std::to_string(route) + " key " + std::to_string(key) +
          ": " + std::to_string(status));
    const bool is_refused = status == 401 || status == 404;
    CHECK_FALSE(
        (is_refused && std::all_of(current.begin(), current.end(), allows)));
    CHECK_FALSE(
        (status == 200 && std::none_of(usable.begin(), usable.end(), allows)));
    CheckNotUndone();
  }

  void CheckNotUndone() {
    const auto table = world_.feed.Configuration().queue_table;
    if (!table) return;
    CHECK(table->configuration().version >= applied_version_);
    applied_version_ = table->configuration().version;
  }

  void CheckLatestInForce() {
    const auto& latest = versions_.back().configuration;
    for (int route = 1; route <= kRoutes; ++route) {
      for (int key = 1; key <= kKeys; ++key) {
        const int key_status = latest.keys.contains(key) ? 200 : 401;
        CHECK(world_.Ask(route, key) ==
              (latest.routes.contains(route) ? key_status : 404));
      }
    }
  }

  std::mt19937_64 random_;
  EntryWorld world_;
  std::vector<Acknowledged> versions_;
  std::uint64_t applied_version_ = 0;
  StoreFault fault_of_calls_ = StoreFault::kNone;
  StoreFault fault_of_feeds_ = StoreFault::kNone;
  /// End of the time for which the delay is extended after an impairment.
  base::TimePoint impaired_until_{};
  std::string trace_;
};

TEST_CASE("responses follow a configuration that may be in force") {
  const auto seed = GENERATE(range(1, 301));
  INFO("seed " << seed);
  ConfigurationHistory(static_cast<std::uint64_t>(seed)).Run();
}

}  // namespace
}  // namespace lapishatch::platform
