#ifndef LAPISHATCH_TESTING_FAKES_FAKE_RUNNERS_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_RUNNERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "backends/backends.h"
#include "base/base.h"
#include "fakes/fake_process.h"
#include "fakes/virtual_time.h"

namespace lapishatch::fakes {

/// What happens to one request sent to a runner.
enum class RunnerFault : std::uint8_t {
  kNone,
  /// Nothing reaches the runner.
  kNotReached,
  /// The runner's own word that it did not run the work.
  kRefused,
  /// The request is lost on its way; the sender cannot tell.
  kLostBefore,
  /// The work runs, the answer is lost.
  kLostAfter,
  /// The work runs and the answer comes after the deadline.
  kLate,
  /// The runner answers 500 at once without doing the work well; it counts as
  /// run.
  kFailsFast,
  /// The connection breaks at once, and the sender cannot tell whether the
  /// work ran; it does not.
  kBreaks,
};

struct FakeRunnerOptions {
  int slots = 8;
  base::Duration service_time{20};
  base::Duration latency{1};
};

/// Runners in virtual time, with slots and a queue; counts how often each body
/// was run.
class FakeRunners {
 public:
  using SendFault = std::function<RunnerFault(const http::Endpoint&,
                                              const backends::RunnerRequest&)>;

  explicit FakeRunners(VirtualTime& time) : time_(time) {}

  void Add(const http::Endpoint& endpoint, FakeRunnerOptions options = {});
  void SetLeaving(const http::Endpoint& endpoint, bool leaving);
  void SetServiceTime(const http::Endpoint& endpoint, base::Duration time);
  void SetSendFault(SendFault fault) { send_fault_ = std::move(fault); }

  /// How often the work of a request with this body was run, on any runner.
  int RunsOf(const std::string& body) const;

  /// How often the work of one sending of a request was run.
  int RunsOf(const base::RequestId& request) const;

  /// Requests run by one runner.
  int RunsAt(const http::Endpoint& endpoint) const;

 private:
  friend class FakeRunnersView;

  struct Waiting {
    base::RequestId id;
    std::string body;
    std::function<void()> finished;
  };

  struct Runner {
    FakeRunnerOptions options;
    bool leaving = false;
    int busy = 0;
    int runs = 0;
    std::vector<Waiting> queue;
  };

  backends::RunnerLoad LoadOf(const Runner& runner) const;
  void Run(Runner& runner, const backends::RunnerRequest& request,
           std::function<void()> finished);
  void Next(Runner& runner);

  VirtualTime& time_;
  SendFault send_fault_;
  std::map<http::Endpoint, Runner> runners_;
  std::map<std::string, int> runs_of_body_;
  std::map<base::RequestId, int> runs_of_request_;
};

/// The runners as one process reaches them.
class FakeRunnersView final : public backends::RunnerClient {
 public:
  FakeRunnersView(FakeRunners& runners, FakeProcess& process)
      : runners_(runners), process_(process) {}

  /// While cut, nothing reaches a runner and pings fail.
  void SetCut(bool cut) { cut_ = cut; }

  /// Chooses the fault of what this process sends; kNone leaves it to the
  /// fault that holds for all.
  void SetFault(FakeRunners::SendFault fault) { fault_ = std::move(fault); }

  void Send(const http::Endpoint& runner, backends::RunnerRequest request,
            std::function<void(backends::RunnerOutcome)> done) override;
  void Ping(const http::Endpoint& runner, base::Duration timeout,
            std::function<void(backends::PingResult)> done) override;

 private:
  FakeRunners& runners_;
  FakeProcess& process_;
  bool cut_ = false;
  FakeRunners::SendFault fault_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_RUNNERS_H_
