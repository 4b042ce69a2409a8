#include "routing/runner_pool.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lapishatch::routing {
namespace {

/// Weight of the newest value in a moving mean.
constexpr double kNewest = 0.1;
constexpr double kNewestOfService = 0.02;
/// Answers before a runner's mean is trusted.
constexpr int kEnoughAnswers = 5;
/// Added to the score of a slow or suspect runner: any other with room goes
/// before it.
constexpr double kLastChoicePenalty = 100;

void Blend(double& mean, double value, double newest) {
  mean += newest * (value - mean);
}

bool Contains(std::span<const RunnerIndex> list, RunnerIndex runner) {
  return std::find(list.begin(), list.end(), runner) != list.end();
}

}  // namespace

RunnerPool::RunnerPool(base::DomainName domain, RunnerPoolOptions options,
                       std::uint64_t seed)
    : domain_(std::move(domain)), options_(options), random_(seed) {}

void RunnerPool::Update(const std::vector<RunnerEntry>& entries,
                        base::TimePoint now) {
  for (const auto& it : runners_) it->listed = false;
  for (const auto& entry : entries) {
    const auto [it, inserted] =
        by_name_.try_emplace(entry.name, runners_.size());
    if (inserted) {
      auto health = options_.health;
      health.seed = random_();
      runners_.push_back(std::make_unique<Runner>(
          Runner{.entry = entry,
                 .slots = options_.assumed_slots,
                 .health = backends::RunnerHealth(health, now),
                 .quarantine = base::Backoff(options_.first_quarantine,
                                             options_.longest_quarantine)}));
    }
    auto& runner = *runners_[it->second];
    runner.entry = entry;
    runner.listed = true;
  }
  RebuildGroups();
}

void RunnerPool::RebuildGroups() {
  near_.clear();
  far_.clear();
  for (RunnerIndex i = 0; i < runners_.size(); ++i) {
    const auto& runner = *runners_[i];
    if (!runner.listed) continue;
    auto& group = runner.entry.domain == domain_ ? near_ : far_;
    group.push_back(i);
  }
}

bool RunnerPool::IsLeaving(RunnerIndex runner) const {
  const auto& it = *runners_[runner];
  return it.entry.leaving || it.said_leaving || !it.listed;
}

bool RunnerPool::IsQuarantined(RunnerIndex runner, base::TimePoint now) const {
  return now < runners_[runner]->quarantined_until;
}

bool RunnerPool::IsSlow(RunnerIndex runner, base::TimePoint now) const {
  return now < runners_[runner]->slow_until;
}

bool RunnerPool::IsUnreachable(RunnerIndex runner) const {
  return runners_[runner]->health.state() ==
         backends::RunnerState::kUnreachable;
}

bool RunnerPool::IsSuspect(RunnerIndex runner) const {
  return runners_[runner]->health.state() == backends::RunnerState::kSuspect;
}

bool RunnerPool::CanTake(const Runner& runner, base::TimePoint now) const {
  if (runner.entry.leaving || runner.said_leaving) return false;
  if (runner.health.state() == backends::RunnerState::kUnreachable) {
    return false;
  }
  if (now < runner.quarantined_until) return false;
  const bool suspect = runner.health.state() == backends::RunnerState::kSuspect;
  // A runner that breaks what it gets always has room: one at a time, so that
  // it draws no more than it takes to find out.
  if (runner.on_trial || suspect) return runner.in_flight == 0;
  if (runner.in_flight >= options_.max_in_flight) return false;
  const int waiting = runner.refuses_waiting ? 0 : options_.waiting_allowed;
  return runner.others + runner.in_flight < runner.slots + waiting;
}

double RunnerPool::ScoreOf(const Runner& runner, base::TimePoint now) const {
  const double load = runner.others + runner.in_flight;
  const double slots = std::max(runner.slots, 1);
  const bool suspect = runner.health.state() != backends::RunnerState::kHealthy;
  const bool last_choice = suspect || now < runner.slow_until;
  return load / slots + (last_choice ? kLastChoicePenalty : 0);
}

std::optional<RunnerIndex> RunnerPool::Pick(
    base::TimePoint now, std::span<const RunnerIndex> avoid) {
  const auto near = PickAmong(near_, now, avoid);
  if (near && ScoreOf(*runners_[*near], now) < 1) return near;
  const auto far = PickAmong(far_, now, avoid);
  if (!near) return far;
  if (!far) return near;
  const bool far_is_better =
      ScoreOf(*runners_[*far], now) < ScoreOf(*runners_[*near], now);
  return far_is_better ? far : near;
}

std::optional<RunnerIndex> RunnerPool::PickAmong(
    const std::vector<RunnerIndex>& group, base::TimePoint now,
    std::span<const RunnerIndex> avoid) {
  if (group.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> draw(0, group.size() - 1);
  std::optional<RunnerIndex> best;
  double best_score = 0;
  const auto consider = [&](RunnerIndex i) {
    const auto& runner = *runners_[i];
    if (!CanTake(runner, now) || Contains(avoid, i)) return;
    const double score = ScoreOf(runner, now);
    if (best && score >= best_score) return;
    best = i;
    best_score = score;
  };
  consider(group[draw(random_)]);
  consider(group[draw(random_)]);
  if (best && best_score < 1) return best;
  // Nearly everything is busy: look at all, from a random one on.
  const auto first = draw(random_);
  for (std::size_t i = 0; i < group.size(); ++i) {
    consider(group[(first + i) % group.size()]);
  }
  return best;
}

void RunnerPool::OnSent(RunnerIndex runner) {
  ++runners_[runner]->in_flight;
  ++in_flight_;
}

void RunnerPool::NoteEnd(Runner& runner) {
  --runner.in_flight;
  --in_flight_;
}

void RunnerPool::NoteLoad(Runner& runner, const backends::RunnerLoad& load,
                          base::TimePoint now) {
  if (load.slots > 0) runner.slots = load.slots;
  runner.said_leaving = load.leaving;
  runner.others =
      std::max(0, load.busy_slots + load.waiting - runner.in_flight);
  runner.reported_at = now;
  runner.ping_under_way = false;
  runner.health.RecordResponse(now);
}

void RunnerPool::NoteSuccess(Runner& runner) {
  runner.failures = 0;
  if (runner.on_trial) runner.quarantine.Reset();
  runner.on_trial = false;
}

void RunnerPool::OnAnswer(RunnerIndex index, const backends::RunnerLoad& load,
                          bool failed, base::Duration latency,
                          base::TimePoint now) {
  auto& runner = *runners_[index];
  NoteEnd(runner);
  NoteLoad(runner, load, now);
  Blend(failure_rate_, failed ? 1 : 0, kNewestOfService);
  if (failed) {
    NoteFailure(runner, now);
    return;
  }
  const auto ms = static_cast<double>(latency.count());
  Blend(runner.mean_latency_ms, ms, runner.answers == 0 ? 1 : kNewest);
  Blend(mean_latency_ms_, ms, mean_latency_ms_ == 0 ? 1 : kNewestOfService);
  ++runner.answers;
  NoteSuccess(runner);
}

void RunnerPool::OnRefused(RunnerIndex index, const backends::RunnerLoad& load,
                           base::TimePoint now) {
  auto& runner = *runners_[index];
  NoteEnd(runner);
  NoteLoad(runner, load, now);
  const bool full = load.slots > 0 && load.busy_slots >= load.slots;
  if (full && load.waiting == 0) runner.refuses_waiting = true;
  if (full || load.leaving) return;
  NoteFailure(runner, now);
}

void RunnerPool::OnNotReached(RunnerIndex index, base::TimePoint now) {
  auto& runner = *runners_[index];
  NoteEnd(runner);
  NoteUnanswered(runner, now);
}

void RunnerPool::OnLost(RunnerIndex index, base::TimePoint now) {
  auto& runner = *runners_[index];
  NoteEnd(runner);
  NoteUnanswered(runner, now);
}

void RunnerPool::NoteUnanswered(Runner& runner, base::TimePoint now) {
  runner.health.RecordFailure(now);
  Blend(failure_rate_, 1, kNewestOfService);
  NoteFailure(runner, now);
}

void RunnerPool::NoteFailure(Runner& runner, base::TimePoint now) {
  ++runner.failures;
  if (runner.on_trial) {
    Quarantine(runner, now);
    return;
  }
  if (runner.failures < options_.failures_to_quarantine) return;
  if (failure_rate_ > options_.max_service_failure_rate) return;
  if (MayQuarantineMore(now)) Quarantine(runner, now);
}

void RunnerPool::Quarantine(Runner& runner, base::TimePoint now) {
  if (now < runner.quarantined_until) return;
  runner.quarantined_until = now + runner.quarantine.Next(random_);
  runner.on_trial = true;
  runner.failures = 0;
}

bool RunnerPool::MayQuarantineMore(base::TimePoint now) const {
  std::size_t listed = 0;
  std::size_t quarantined = 0;
  std::size_t usable = 0;
  for (const auto& it : runners_) {
    if (!it->listed) continue;
    ++listed;
    if (now < it->quarantined_until) {
      ++quarantined;
      continue;
    }
    if (it->entry.leaving || it->said_leaving) continue;
    if (it->health.state() == backends::RunnerState::kUnreachable) continue;
    ++usable;
  }
  // The share of a small service is less than one runner; one may go as long
  // as another is left.
  const double share =
      options_.max_quarantined_share * static_cast<double>(listed);
  return usable > 1 &&
         static_cast<double>(quarantined + 1) <= std::max(share, 1.0);
}

std::vector<RunnerIndex> RunnerPool::TakePingsDue(base::TimePoint now,
                                                  bool requests_wait) {
  std::vector<RunnerIndex> due;
  for (RunnerIndex i = 0; i < runners_.size(); ++i) {
    auto& runner = *runners_[i];
    if (!runner.listed || runner.ping_under_way) continue;
    const bool working =
        runner.health.state() == backends::RunnerState::kHealthy;
    const bool stale = now - runner.reported_at >= options_.stale_when_waiting;
    const bool wanted = requests_wait && working && stale;
    if (!wanted && !runner.health.IsPingDue(now)) continue;
    runner.ping_under_way = true;
    runner.health.RecordPingSent();
    due.push_back(i);
  }
  return due;
}

void RunnerPool::OnPing(RunnerIndex index, const backends::RunnerLoad& load,
                        base::TimePoint now) {
  NoteLoad(*runners_[index], load, now);
}

bool RunnerPool::OnPingFailed(RunnerIndex index, base::TimePoint now) {
  auto& runner = *runners_[index];
  runner.ping_under_way = false;
  runner.health.RecordPingFailure(now);
  return IsUnreachable(index);
}

void RunnerPool::Assess(base::TimePoint now) {
  std::vector<double> means;
  for (const auto& it : runners_) {
    if (it->listed && it->answers >= kEnoughAnswers) {
      means.push_back(it->mean_latency_ms);
    }
  }
  if (means.size() < 3) return;
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  const double limit = *middle * options_.slow_factor;
  for (const auto& it : runners_) {
    if (it->answers < kEnoughAnswers || it->mean_latency_ms <= limit) continue;
    it->slow_until = now + options_.slow_for;
    // Judged anew, from new answers, when the time is over.
    it->answers = 0;
  }
}

base::Duration RunnerPool::mean_latency() const {
  return base::Duration(std::llround(mean_latency_ms_));
}

bool RunnerPool::HasRunners() const {
  return std::any_of(runners_.begin(), runners_.end(), [](const auto& it) {
    return it->listed && !it->entry.leaving && !it->said_leaving;
  });
}

}  // namespace lapishatch::routing
