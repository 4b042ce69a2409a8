/// A wide job with checkpoints, and small jobs beside it. Prints nothing; see
/// record.txt.

#include "site.h"

namespace review {
namespace {

constexpr int kRunners = 48;
/// Tasks of one occurrence, and occurrences.
constexpr int kWide = 360;
constexpr int kNarrow = 90;
constexpr int kOccurrences = 4;
constexpr int kSmallJobs = 40;
/// Jobs run for hours on the pages; a minute is enough to see it.
constexpr Millis kWorkTime{60'000};
/// `finish_s`, and the 3 s for which a job may have nothing running.
constexpr Millis kFinish{14'000};
constexpr Millis kIdle{3'000};

std::string BodyOf(int count, int occurrences, bool saves) {
  json::object step;
  step["count"] = count;
  step["cpu"] = 500;
  step["mem-mb"] = 500;
  step["estimate-ms"] = kWorkTime.count();
  if (saves) step["checkpointing"] = true;
  json::object out;
  out["spec"] = "coverage";
  out["steps"] = json::array{step};
  if (occurrences > 0) {
    const auto now = std::chrono::duration_cast<Millis>(
        std::chrono::system_clock::now().time_since_epoch());
    out["repeat-count"] = occurrences;
    out["start-at-ms"] = now.count() + 1'000;
    out["interval-ms"] = 2'000;
  }
  return json::serialize(out);
}

class WideJob {
 public:
  explicit WideJob(const CaseOptions& options)
      : options_(options), world_(options) {}

  int Run() {
    world_.log.is_verbose = false;
    world_.AddSite("entry-1", "zone-a");
    world_.AddSite("entry-2", "zone-a");
    Runner::Options runner;
    runner.run_time = kWorkTime;
    runner.checkpoint_interval = Millis(2'000);
    for (int i = 0; i < kRunners; ++i) {
      char id[13];
      std::snprintf(id, sizeof(id), "i-%010x", 0x24a60117 + i * 7919);
      runner.rack = "r1-" + std::to_string(i / 8);
      world_.AddRunner(id, runner);
    }
    world_.Configure(2, 3);
    for (const auto& it : world_.sites) it->Start();
    world_.WhenReady(*world_.sites[0], [this] {
      world_.clock.After(Millis(2'000), [this] { HandInWideJob(); });
    });
    return world_.Run(Millis(100'000));
  }

 private:
  void HandInWideJob() {
    wide_ = world_.NewId();
    const int count = options_.has_trouble ? kWide : kNarrow;
    world_.record.Add("the wide job: " + std::to_string(kOccurrences) +
                      " occurrences of " + std::to_string(count) + " tasks");
    world_.Submit(0, wide_, BodyOf(count, kOccurrences, true), [this] {
      world_.clock.After(Millis(10'000), [this] { HandInSmallJobs(0); });
    });
  }

  void HandInSmallJobs(int n) {
    if (n == kSmallJobs) {
      world_.record.Add("end of the traffic; runs begun so far: " +
                        std::to_string(world_.log.starts()));
      world_.clock.After(kFinish, [this] { Judge(); });
      return;
    }
    const auto id = world_.NewId();
    small_.push_back(id);
    world_.Submit(static_cast<std::size_t>(n), id, BodyOf(1, 0, false),
                  [this, n] { HandInSmallJobs(n + 1); });
  }

  /// `finish_s` after the traffic: which accepted jobs have not begun, and go
  /// on having nothing running for 3 s, on runners that are mostly idle.
  void Judge() {
    std::size_t running = 0;
    for (const auto& it : world_.runners) running += it->running();
    world_.record.Add(
        "tasks at work on all runners: " + std::to_string(running) + " of " +
        std::to_string(kRunners * 128) + " that fit");
    for (const auto& it : small_) {
      if (world_.log.starts(it + ".0.0.0") == 0) idle_.push_back(it);
    }
    world_.clock.After(kIdle, [this] { Conclude(); });
  }

  void Conclude() {
    int stuck = 0;
    for (const auto& it : idle_) {
      if (world_.log.starts(it + ".0.0.0") > 0) continue;
      ++stuck;
      world_.record.Add("accepted, and nothing of it has run: " + it);
    }
    world_.AskState(0, wide_, [this, stuck](const std::string& state) {
      world_.record.Add("state of the wide job: " + state);
      world_.record.Add("transactions refused as too large: " +
                        std::to_string(world_.store.oversized()));
      if (stuck > 0) {
        return world_.Finish(Verdict::kBroken,
                             "LOST: " + std::to_string(stuck) +
                                 " accepted jobs have nothing running though "
                                 "there is room for them");
      }
      if (state != "running") {
        return world_.Finish(Verdict::kNotRun, "the wide job did not begin");
      }
      world_.Finish(Verdict::kHeld, "all accepted jobs have begun");
    });
  }

  const CaseOptions options_;
  World world_;
  std::string wide_;
  std::vector<std::string> small_;
  std::vector<std::string> idle_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const auto options = review::ReadOptions(argc, argv);
  return review::WideJob(options).Run();
}
