#include "config/housekeeper.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lapishatch::config {
namespace {

/// Transactions that one round may spend on one log.
constexpr int kMostSteps = 20;

}  // namespace

class Housekeeper::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(HousekeeperOptions options, HousekeeperPorts ports)
      : options_(options), ports_(std::move(ports)), random_(options.seed) {}

  void Schedule() {
    std::uniform_int_distribution<std::int64_t> early(
        0, options_.period.count() / 4);
    ports_.loop.After(options_.period - base::Duration(early(random_)),
                      [weak = weak_from_this()] {
                        if (const auto self = weak.lock()) self->Round();
                      });
  }

 private:
  void Round() {
    Schedule();
    if (ports_.is_chosen && !ports_.is_chosen()) return;
    Compact(LogId::kConfig, kMostSteps);
    Compact(LogId::kJobs, kMostSteps);
    Retire(kMostSteps);
  }

  void Compact(LogId log, int steps) {
    ports_.writer.Compact(
        log, [weak = weak_from_this(), log, steps](bool nothing_left) {
          const auto self = weak.lock();
          if (self == nullptr || nothing_left || steps <= 1) return;
          self->Compact(log, steps - 1);
        });
  }

  void Retire(int steps) {
    auto set = Retired();
    const auto n = set.changes.size();
    if (n == 0) return;
    ports_.writer.Submit(std::move(set), [weak = weak_from_this(), steps,
                                          n](const ChangeOutcome& outcome) {
      const auto self = weak.lock();
      if (self == nullptr) return;
      if (!std::holds_alternative<ChangesAccepted>(outcome)) return;
      base::Log(base::events::kJobsRetired, {{"jobs", n}});
      if (steps > 1) self->Retire(steps - 1);
    });
  }

  /// The oldest ended jobs that are too old or too many.
  ChangeSet Retired() const {
    std::vector<ResourcePtr> ended;
    for (auto& it : ports_.mirror.List(ResourceKind::kJob).resources) {
      if (IsFinal(PhaseOf(*it))) ended.push_back(std::move(it));
    }
    std::sort(ended.begin(), ended.end(), [](const auto& a, const auto& b) {
      return a->status_version < b->status_version;
    });
    const auto too_many = ended.size() > options_.most_ended
                              ? ended.size() - options_.most_ended
                              : 0;
    const auto oldest = ports_.wall_clock_ms() - options_.keep_ended.count();
    ChangeSet set;
    set.changed_by = "housekeeping";
    for (std::size_t i = 0; i < ended.size(); ++i) {
      if (set.changes.size() == options_.group) break;
      const auto& job = *ended[i];
      if (i >= too_many && job.changed_at_ms >= oldest) continue;
      set.changes.push_back({job.ref, MustHaveVersion{job.version}, Remove{}});
    }
    return set;
  }

  HousekeeperOptions options_;
  HousekeeperPorts ports_;
  base::Random random_;
};

Housekeeper::Housekeeper(HousekeeperOptions options, HousekeeperPorts ports)
    : impl_(std::make_shared<Impl>(options, std::move(ports))) {}

Housekeeper::~Housekeeper() = default;

void Housekeeper::Start() { impl_->Schedule(); }

Section Describe(HousekeeperOptions& options) {
  Section section("housekeeping", "How the table is kept bounded.");
  section.Millis("period_ms", options.period, 100, 86'400'000,
                 "Between two rounds.");
  section.Millis("keep_ended_ms", options.keep_ended, 0, 31'536'000'000,
                 "Jobs that have ended are removed after this.");
  section.Integer("most_ended", options.most_ended, 0, 10'000'000,
                  "Most jobs that have ended and stay.");
  section.Integer("group", options.group, 1, 256,
                  "Jobs removed in one transaction.");
  return section;
}

}  // namespace lapishatch::config
