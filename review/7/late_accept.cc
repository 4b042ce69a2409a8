/// A job is cancelled while the answer to its acceptance is lost. See
/// record.txt.

#include "site.h"

namespace review {
namespace {

constexpr int kRunners = 4;
/// The store performs the transaction so much later.
constexpr Millis kLate{6'000};
/// `cancel_ms` and `stop-timeout-ms`; together longer than `contact-ms`.
constexpr Millis kCancel{3'000};
constexpr Millis kStopTimeout{400};

class LateAccept {
 public:
  explicit LateAccept(const CaseOptions& options)
      : options_(options), world_(options) {}

  int Run() {
    world_.AddSite("entry-1", "zone-a");
    world_.AddSite("entry-2", "zone-a");
    Runner::Options runner;
    runner.run_time = Millis(8'500);
    for (int i = 0; i < kRunners; ++i) {
      world_.AddRunner("i-" + std::to_string(i), runner);
    }
    world_.Configure(1, 3);
    for (const auto& it : world_.sites) it->Start();
    world_.WhenReady(*world_.sites[0], [this] {
      world_.clock.After(Millis(3'000), [this] { HandIn(); });
    });
    return world_.Run(Millis(60'000));
  }

 private:
  /// A first job shows that all is well; then the one that is cancelled.
  void HandIn() {
    first_ = world_.NewId();
    world_.Submit(0, first_, Body(), [this] {
      world_.clock.After(Millis(1'000), [this] { HandInAndCancel(); });
    });
  }

  static std::string Body() {
    json::object step;
    step["count"] = 1;
    step["cpu"] = 7'500;
    step["mem-mb"] = 39'000;
    step["gpu"] = 1;
    step["estimate-ms"] = 8'500;
    json::object body;
    body["spec"] = "alignment";
    body["steps"] = json::array{step};
    return json::serialize(body);
  }

  void HandInAndCancel() {
    job_ = world_.NewId();
    if (options_.has_trouble) {
      // Answers are lost until the client has its 504.
      world_.store.LoseAnswersTo(job_, kLate);
    }
    posted_ = world_.clock.Now();
    world_.record.Add("POST " + job_);
    world_.Ask(*world_.sites[0], http::verb::post, job_, Body(),
               [this](int status, const std::string&) {
                 world_.record.Add(
                     "POST " + job_ + " -> " +
                     (status == 0 ? "no response" : std::to_string(status)));
                 world_.store.LoseNoMore();
                 Cancel(1);
               });
  }

  void Cancel(std::size_t site) {
    world_.Ask(
        *world_.sites[site % 2], http::verb::delete_, job_, "",
        [this, site](int status, const std::string&) {
          world_.record.Add("DELETE " + job_ + " -> " + std::to_string(status));
          if (status != 200 && status != 410) {
            world_.clock.After(Millis(200), [this, site] { Cancel(site + 1); });
            return;
          }
          acknowledged_ = world_.clock.Now();
          Watch();
        });
  }

  /// After a calm stretch of `cancel_ms` + `stop-timeout-ms`, counted from the
  /// acknowledgement and from the late write, nothing of the job may run.
  void Watch() {
    const auto now = world_.clock.Now();
    const auto task = job_ + ".0.0.0";
    const auto calm_from = std::max(acknowledged_, posted_ + kLate);
    const bool is_late = now > calm_from + kCancel + kStopTimeout;
    if (is_late && world_.log.IsRunning(task)) {
      return world_.Finish(
          Verdict::kBroken,
          "UNASKED: " + task + " is at work " +
              std::to_string((now - acknowledged_).count()) +
              " ms after the job's cancelling was acknowledged");
    }
    if (now > acknowledged_ + Millis(12'000)) {
      if (world_.log.starts(first_ + ".0.0.0") == 0) {
        return world_.Finish(Verdict::kNotRun, "the first job did not run");
      }
      return world_.Finish(Verdict::kHeld, "the cancelled job does not run");
    }
    world_.clock.After(Millis(50), [this] { Watch(); });
  }

  const CaseOptions options_;
  World world_;
  std::string first_;
  std::string job_;
  Millis acknowledged_{0};
  Millis posted_{0};
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const auto options = review::ReadOptions(argc, argv);
  return review::LateAccept(options).Run();
}
