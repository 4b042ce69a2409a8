/// Two hand-overs within seconds while a zone is cut off. See record.txt.

#include "site.h"

namespace review {
namespace {

/// Runners of the zone that is cut off, and of the others.
constexpr int kCutRunners = 2;
constexpr int kOtherRunners = 4;
/// The zone is cut off twice in a row, each time for as long as on the days.
constexpr Millis kCut{6'300};
constexpr int kCuts = 2;
/// From the second owner's take-over to its SIGTERM.
constexpr Millis kUntilStop{400};

class TwoSuccessors {
 public:
  explicit TwoSuccessors(const CaseOptions& options)
      : options_(options), world_(options) {}

  int Run() {
    world_.AddSite("entry-a-1", "zone-a");
    world_.AddSite("entry-b-1", "zone-b");
    world_.AddSite("entry-c-1", "zone-c");
    AddRunners("zone-a", "r1-1", kCutRunners, "i-a");
    world_.Configure(1, 3);
    world_.store.on_put = [this](const std::string& table, const std::string&,
                                 const std::string& key,
                                 const std::string& value) {
      if (table == "owners" && key == "epoch") OnOwner(value);
    };
    // The process of zone a starts first, so that it owns the service.
    world_.sites[0]->Start();
    world_.WhenReady(*world_.sites[0], [this] {
      world_.clock.After(Millis(3'000), [this] { StartOthers(); });
    });
    return world_.Run(Millis(60'000));
  }

 private:
  void AddRunners(const std::string& zone, const std::string& rack, int count,
                  const std::string& prefix) {
    Runner::Options options;
    options.zone = zone;
    options.rack = rack;
    options.run_time = Millis(25'000);
    for (int i = 0; i < count; ++i) {
      world_.AddRunner(prefix + std::to_string(i), options);
    }
  }

  void StartOthers() {
    world_.sites[1]->Start();
    world_.sites[2]->Start();
    json::object step;
    step["count"] = kCutRunners;
    step["cpu"] = 26'000;
    step["mem-mb"] = 75'000;
    step["gpu"] = 8;
    step["estimate-ms"] = 25'000;
    json::object body;
    body["spec"] = "shading";
    body["steps"] = json::array{step};
    job_ = world_.NewId();
    world_.Submit(0, job_, json::serialize(body), [this] {
      // Then empty runners are added in the other zones.
      world_.clock.After(Millis(2'000), [this] {
        AddRunners("zone-b", "r2-1", kOtherRunners / 2, "i-b");
        AddRunners("zone-c", "r3-1", kOtherRunners / 2, "i-c");
        world_.clock.After(Millis(3'000), [this] { Begin(); });
      });
    });
  }

  void Begin() {
    if (owner_ != world_.sites[0].get() || world_.log.starts() != kCutRunners) {
      return world_.Finish(Verdict::kNotRun, "the work is not where it should");
    }
    if (!options_.has_trouble) {
      return world_.clock.After(kCuts * kCut + Millis(4'000),
                                [this] { Conclude(); });
    }
    world_.record.Add("zone-a is cut off from the store and other zones");
    is_cut_ = true;
    SetCut(true);
    world_.clock.After(kCuts * kCut, [this] {
      world_.record.Add("zone-a is back");
      is_cut_ = false;
      SetCut(false);
      world_.clock.After(Millis(4'000), [this] { Conclude(); });
    });
  }

  /// Clients still reach the zone, and what is in it reaches each other.
  void SetCut(bool is_cut) {
    const auto set = [is_cut](Link& link) {
      is_cut ? link.Cut() : link.Heal();
    };
    set(*world_.store_links[0]);
    for (const auto& runner : world_.runners) {
      const bool is_inside = runner->zone() == "zone-a";
      for (std::size_t i = 0; i < world_.sites.size(); ++i) {
        if ((world_.sites[i]->zone() == "zone-a") != is_inside) {
          set(runner->link(i));
        }
      }
      if (is_inside) runner->SetStoreReached(!is_cut);
    }
  }

  void OnOwner(const std::string& holder) {
    for (const auto& it : world_.sites) {
      if (holder.starts_with(it->name())) owner_ = it.get();
    }
    world_.record.Add("the service is taken by " + holder);
    if (!is_cut_ || owner_ == world_.sites[0].get() || is_stopped_) return;
    is_stopped_ = true;
    auto* site = owner_;
    world_.clock.After(kUntilStop, [this, site] {
      site->Signal(SIGTERM);
      world_.clock.After(Millis(1'000), [site] {
        if (!site->IsRunning()) site->Start();
      });
    });
  }

  void Conclude() {
    world_.AskState(1, job_, [this](const std::string& state) {
      world_.record.Add("state of the job: " + state);
      const auto& violations = world_.log.violations();
      if (!violations.empty()) {
        return world_.Finish(Verdict::kBroken, violations.front());
      }
      world_.Finish(Verdict::kHeld, "no task ran twice at the same time");
    });
  }

  const CaseOptions options_;
  World world_;
  std::string job_;
  Site* owner_ = nullptr;
  bool is_cut_ = false;
  bool is_stopped_ = false;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const auto options = review::ReadOptions(argc, argv);
  return review::TwoSuccessors(options).Run();
}
