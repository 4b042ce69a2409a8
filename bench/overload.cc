// The request path above the capacity of its runners, in virtual time: eight
// entries, three classes, four organisations of which one sends most. Goodput
// counts answers in time, as a share of what the slots can do.

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fake_cluster.h"

namespace lapishatch::bench {
namespace {

constexpr int kEntries = 8;
constexpr int kSeeds = 10;
constexpr base::Duration kWarmUp{5'000};
constexpr base::Duration kMeasured{10'000};
constexpr double kCapacityPerMs =
    static_cast<double>(kRunners) * kSlots / kMeanService.count();
/// Parts of the load that is offered.
constexpr double kUrgentShare = 0.2;
constexpr double kQuietShare = 0.2;
constexpr double kLargeOrganisation = 0.7;

base::Duration DeadlineOf(base::WorkClass work_class) {
  const bool quiet = work_class == base::WorkClass::kQuiet;
  return base::Duration(quiet ? 10'000 : 3'000);
}

class Run {
 public:
  Run(double load, std::uint64_t seed)
      : load_(load), random_(seed), cluster_(time_, seed + 1) {
    for (int i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<PathEntry>(
          i, time_, cluster_, nullptr, directory_, seed + 100UL * i,
          routing::RequestPathOptions{}));
    }
  }

  void Go() {
    Arrive();
    time_.RunFor(kWarmUp);
    measuring_ = true;
    cluster_.TakeSlotUse();
    time_.RunFor(kMeasured);
    slot_use_ = cluster_.TakeSlotUse();
    measuring_ = false;
    stopped_ = true;
    time_.RunFor(base::Duration(15'000));
  }

  /// Answers in time that came in the measured time, over what the slots can
  /// do.
  double Goodput() const {
    return good_ / (kCapacityPerMs * static_cast<double>(kMeasured.count()));
  }

  CallerStatistics& Of(base::WorkClass work_class) {
    return by_class_[work_class];
  }
  CallerStatistics& OfSmall() { return small_; }
  CallerStatistics& OfLarge() { return large_; }
  double slot_use() const { return slot_use_; }

 private:
  void Arrive() {
    std::exponential_distribution<double> gap(load_ * kCapacityPerMs);
    next_ms_ += gap(random_);
    const auto whole = static_cast<std::int64_t>(next_ms_);
    next_ms_ -= static_cast<double>(whole);
    time_.After(base::Duration(whole), [this] {
      if (stopped_) return;
      Ask();
      Arrive();
    });
  }

  base::WorkClass DrawClass() {
    const double it = std::uniform_real_distribution<double>()(random_);
    if (it < kUrgentShare) return base::WorkClass::kUrgent;
    if (it < kUrgentShare + kQuietShare) return base::WorkClass::kQuiet;
    return base::WorkClass::kNormal;
  }

  void Ask() {
    std::uniform_real_distribution<double> share;
    std::uniform_int_distribution<int> small(1, 3);
    std::uniform_int_distribution<std::size_t> entry(0, kEntries - 1);
    const bool large = share(random_) < kLargeOrganisation;
    routing::RoutedRequest request;
    request.id = base::RequestId(std::to_string(++number_));
    request.organisation = base::OrganisationName(
        large ? "large" : "small-" + std::to_string(small(random_)));
    request.service = base::ServiceName("plans");
    request.work_class = DrawClass();
    request.deadline = DeadlineOf(request.work_class);
    request.idempotent = true;
    const auto work_class = request.work_class;
    const auto asked_at = time_.Now();
    const bool counted = measuring_;
    entries_[entry(random_)]->path->Handle(
        std::move(request), [this, work_class, large, asked_at,
                             counted](const routing::RequestOutcome& it) {
          const bool good =
              std::holds_alternative<routing::RequestAnswered>(it);
          if (measuring_ && good) good_ += 1;
          if (!counted) return;
          const auto time = time_.Now() - asked_at;
          Note(by_class_[work_class], it, time);
          if (work_class != base::WorkClass::kNormal) return;
          Note(large ? large_ : small_, it, time);
        });
  }

  static void Note(CallerStatistics& to, const routing::RequestOutcome& outcome,
                   base::Duration time) {
    if (std::holds_alternative<routing::RequestAnswered>(outcome)) {
      to.Answered(time, true);
    } else if (std::get<routing::RequestRefused>(outcome).work ==
               base::WorkDone::kNotRun) {
      to.Refused(time);
    } else {
      to.Lost();
    }
  }

  double load_;
  base::Random random_;
  fakes::VirtualTime time_;
  FakeCluster cluster_;
  OpenDirectory directory_{kEntries};
  std::vector<std::unique_ptr<PathEntry>> entries_;
  std::map<base::WorkClass, CallerStatistics> by_class_;
  CallerStatistics small_;
  CallerStatistics large_;
  double slot_use_ = 0;
  double good_ = 0;
  double next_ms_ = 0;
  int number_ = 0;
  bool measuring_ = false;
  bool stopped_ = false;
};

double GoodShare(const CallerStatistics& it) {
  return 100 * it.good() / std::max(it.asked(), 1.0);
}

void Measure(double load, const std::string& name) {
  std::map<std::string, std::pair<std::string, Spread>> out;
  const auto add = [&](const std::string& key, const std::string& unit,
                       double value) {
    auto& it = out[name + key];
    it.first = unit;
    it.second.Add(value);
  };
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Run run(load, static_cast<std::uint64_t>(seed));
    run.Go();
    add(".goodput_of_capacity", "%", 100 * run.Goodput());
    add(".slot_use", "%", 100 * run.slot_use());
    add(".normal_small_organisations_answered", "%", GoodShare(run.OfSmall()));
    add(".normal_large_organisation_answered", "%", GoodShare(run.OfLarge()));
    for (const auto work_class :
         {base::WorkClass::kUrgent, base::WorkClass::kNormal,
          base::WorkClass::kQuiet}) {
      auto& it = run.Of(work_class);
      const auto key = "." + std::string(base::NameOf(work_class));
      add(key + ".in_time", "%", GoodShare(it));
      add(key + ".lost", "%", 100 * it.lost() / std::max(it.asked(), 1.0));
      add(key + ".completion_p50", "ms", it.TimeAt(0.5));
      add(key + ".completion_p99", "ms", it.TimeAt(0.99));
      add(key + ".refusal_p50", "ms", it.RefusalAt(0.5));
      add(key + ".refusal_p99", "ms", it.RefusalAt(0.99));
    }
  }
  for (auto& [key, it] : out) it.second.Print(key, it.first);
}

}  // namespace
}  // namespace lapishatch::bench

int main() {
  lapishatch::bench::Measure(0.9, "load_0.9");
  lapishatch::bench::Measure(1.5, "load_1.5");
  lapishatch::bench::Measure(3.0, "load_3.0");
  return 0;
}
