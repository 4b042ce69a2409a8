/// The store is down while jobs that ended long ago are removed, and later
/// drops its history. See record.txt.

#include "site.h"

namespace review {
namespace {

constexpr int kRunners = 8;
/// Jobs, and the pause between them: about the traffic of the sheet.
constexpr int kJobs = 60;
constexpr Millis kPause{250};
/// For how long the store is down, as on the days.
constexpr Millis kOutage{4'200};
/// From its return until it drops its history.
constexpr Millis kUntilCompaction{4'000};

/// The system removes a job after one and a half times `status_s`: after 60 s
/// here. STATUS_S=120, the value of the sheets, takes two minutes more.
int StatusSeconds() {
  const char* text = std::getenv("STATUS_S");
  return text == nullptr ? 40 : std::atoi(text);
}

class RemovedJobs {
 public:
  explicit RemovedJobs(const CaseOptions& options)
      : options_(options), world_(options) {}

  int Run() {
    world_.log.is_verbose = false;
    world_.status_s = StatusSeconds();
    world_.AddSite("entry-1", "zone-a");
    world_.AddSite("entry-2", "zone-a");
    Runner::Options runner;
    runner.run_time = Millis(300);
    for (int i = 0; i < kRunners; ++i) {
      runner.rack = "r1-" + std::to_string(i / 4);
      world_.AddRunner("i-" + std::to_string(i), runner);
    }
    world_.Configure(1, 3);
    for (const auto& it : world_.sites) it->Start();
    world_.WhenReady(*world_.sites[0], [this] {
      world_.clock.After(Millis(3'000), [this] {
        HandIn(0);
        if (options_.has_trouble) {
          world_.clock.After(retention_ + Millis(3'000), [this] { Trouble(); });
        }
        world_.clock.After(retention_ + kJobs * kPause + Millis(6'000),
                           [this] { Conclude(); });
      });
    });
    return world_.Run(retention_ + Millis(50'000));
  }

 private:
  void Trouble() {
    world_.store.SetBusy(true);
    world_.clock.After(kOutage, [this] {
      world_.store.SetBusy(false);
      world_.clock.After(kUntilCompaction, [this] { world_.store.Compact(); });
    });
  }

  void HandIn(int n) {
    if (n == kJobs) {
      world_.record.Add("end of the traffic");
      return;
    }
    json::object step;
    step["count"] = 1;
    step["cpu"] = 7'500;
    step["mem-mb"] = 39'000;
    step["gpu"] = 1;
    step["estimate-ms"] = 300;
    json::object body;
    body["spec"] = "alignment";
    body["steps"] = json::array{step};
    jobs_.push_back(world_.NewId());
    world_.Submit(static_cast<std::size_t>(n), jobs_.back(),
                  json::serialize(body), nullptr);
    world_.clock.After(kPause, [this, n] { HandIn(n + 1); });
  }

  void Conclude() {
    int done = 0;
    int twice = 0;
    for (const auto& it : jobs_) {
      const int n = world_.log.starts(it + ".0.0.0");
      if (n > 0) ++done;
      if (n > 1) ++twice;
    }
    world_.record.Add(std::to_string(done) + " jobs ran, " +
                      std::to_string(twice) + " of them more than once");
    const auto& violations = world_.log.violations();
    if (!violations.empty()) {
      return world_.Finish(Verdict::kBroken, violations.front());
    }
    if (done < kJobs) {
      return world_.Finish(Verdict::kNotRun, "not all jobs ran");
    }
    world_.Finish(Verdict::kHeld, "no job ran again after its end");
  }

  const CaseOptions options_;
  const Millis retention_{1'500 * StatusSeconds()};
  World world_;
  std::vector<std::string> jobs_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const auto options = review::ReadOptions(argc, argv);
  return review::RemovedJobs(options).Run();
}
