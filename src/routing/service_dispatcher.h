#ifndef LAPISHATCH_ROUTING_SERVICE_DISPATCHER_H_
#define LAPISHATCH_ROUTING_SERVICE_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "backends/backends.h"
#include "routing/answer_times.h"
#include "routing/class_rates.h"
#include "routing/directory.h"
#include "routing/request.h"
#include "routing/request_queue.h"
#include "routing/retry_budget.h"
#include "routing/runner_pool.h"

namespace lapishatch::routing {

struct DispatcherOptions {
  RequestQueueOptions queue;
  RunnerPoolOptions pool;
  /// Sends of one request, those that a runner refused included.
  int max_sends = 4;
  /// Runs of one idempotent request.
  int max_runs = 2;
  /// Second runs allowed per successful answer, and how many may be saved up.
  double retry_share = 0.1;
  double retry_limit = 20;
  /// An idempotent request without an answer for so many times the usual
  /// longest answer time, but at least the floor, is sent once more to another
  /// runner: its connection may have gone silent.
  double progress_factor = 3;
  base::Duration progress_floor{2'000};
  /// Most part of the time it had at its send that a request is waited for
  /// before that, unless answers that take longer are usual.
  double max_progress_share = 1.0 / 3;
  /// Longest part of a request's time that it may be expected to wait.
  double max_wait_share = 0.15;
  /// Mean answer times that must be left when a request is expected to start.
  double spare_means = 2;
  /// Least time after which a refused caller is asked to come back; the most is
  /// three times it.
  base::Duration retry_after{1'000};
  base::Duration tick{50};
  base::Duration list_every{500};
  base::Duration assess_every{1'000};
};

/// The request was not run: no runner got it, or each said that it did not run
/// it.
struct NotDispatched {
  Refusal reason = Refusal::kCannotNow;
  std::string detail;
  base::Duration retry_after{0};
};

/// A runner may have run it.
struct DispatchLost {
  bool timed_out = false;
  std::string detail;
};

using DispatchResult =
    std::variant<backends::RunnerResponse, NotDispatched, DispatchLost>;

/// A request for ServiceDispatcher. The callbacks come on the dispatcher's
/// loop, possibly before Submit returns.
struct DispatchJob {
  RoutedRequest request;
  double weight = 1;
  base::TimePoint deadline{};
  /// Asked right before each send; false ends the job without a further word.
  /// May be empty.
  std::function<bool()> may_send;
  /// A send turned out not to have run the work. May be empty.
  std::function<void()> did_not_run;
  /// Called once, unless may_send said false.
  std::function<void(DispatchResult)> ended;
};

/// The queue, the runners and the retries of one service at one entry. An
/// idempotent request may run a second time, on another runner, within the
/// retry budget; any other is sent again only when it certainly did not run.
/// When a request is open on two runners the first answer is its answer, and
/// what the other brings is dropped.
/// Used from the callbacks of one loop.
class ServiceDispatcher
    : public std::enable_shared_from_this<ServiceDispatcher> {
 public:
  ServiceDispatcher(base::EventLoop& loop, backends::RunnerClient& client,
                    const RunnerDirectory& directory, base::ServiceName service,
                    base::DomainName domain, DispatcherOptions options,
                    std::uint64_t seed);

  /// Begins to follow the runners.
  void Start();

  /// Sends the request, lets it wait, or refuses it at once.
  void Submit(DispatchJob job);

  /// Whether a request that comes now would be refused at once; what it would
  /// be told. Costs no table write to find out.
  std::optional<NotDispatched> WouldRefuse(const RoutedRequest& request,
                                           double weight,
                                           base::TimePoint deadline);

  const RunnerPool& pool() const { return pool_; }
  const RequestQueue& queue() const { return queue_; }

 private:
  struct Work {
    DispatchJob job;
    int sends = 0;
    int runs = 0;
    /// Sends that have not ended; two while the first is overdue.
    int open_sends = 0;
    std::vector<RunnerIndex> tried;
    base::TimerId timer = 0;
  };
  using WorkPtr = std::shared_ptr<Work>;

  /// One send that has not ended.
  struct Open {
    RequestToken token = 0;
    RunnerIndex runner = 0;
    base::TimePoint sent_at{};
    /// When it counts as overdue; never for a request that may run only once.
    base::TimePoint overdue_at = base::TimePoint::max();
  };

  void Enqueue(RequestToken token);
  void WaitInFront(RequestToken token);
  void ArmTimer(RequestToken token, Work& work);
  void OnWaitedTooLong(RequestToken token);
  void Pump();
  void Send(RequestToken token, RunnerIndex runner);
  void OnOutcome(std::uint64_t send, backends::RunnerOutcome outcome);
  void OnAnswer(const Open& open, backends::RunnerResponse answer);
  void OnRefused(const Open& open, const backends::RunnerRefused& refused);
  void OnNotReached(const Open& open,
                    const backends::RunnerNotReached& not_reached);
  void OnLost(const Open& open, const backends::RunnerResponseLost& lost);
  void SendElsewhere(RequestToken token, const std::string& detail);
  bool MayRunAgain(const Work& work, RunnerIndex runner);
  void GiveUpSends(RunnerIndex silent);
  /// When a send of now counts as overdue.
  base::TimePoint OverdueAt(const Work& work) const;
  /// Sends overdue requests once more.
  void SendOverdue();
  void SendOverdue(RequestToken token);
  void End(RequestToken token, DispatchResult result);
  bool CanMeet(const RoutedRequest& request, double weight,
               base::TimePoint deadline);
  double ExpectedWaitMs(const RoutedRequest& request, double weight,
                        double mean_ms);
  NotDispatched CannotNow(Refusal reason, std::string detail);
  base::Duration TimeLeft(const Work& work) const;
  void Tick();
  void PingDue();
  void OnPing(RunnerIndex runner, const backends::PingResult& result);

  base::EventLoop& loop_;
  backends::RunnerClient& client_;
  const RunnerDirectory& directory_;
  base::ServiceName service_;
  DispatcherOptions options_;
  base::Random random_;
  RequestQueue queue_;
  RunnerPool pool_;
  RetryBudget budget_;
  ClassRates rates_;
  AnswerTimes answer_times_;
  std::unordered_map<RequestToken, WorkPtr> works_;
  std::unordered_map<std::uint64_t, Open> open_;
  RequestToken last_token_ = 0;
  std::uint64_t last_send_ = 0;
  base::TimePoint listed_at_{};
  base::TimePoint assessed_at_{};
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_SERVICE_DISPATCHER_H_
