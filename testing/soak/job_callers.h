#ifndef LAPISHATCH_TESTING_SOAK_JOB_CALLERS_H_
#define LAPISHATCH_TESTING_SOAK_JOB_CALLERS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "fakes/fake_task_workers.h"
#include "http/client.h"
#include "jobs/jobs.h"
#include "soak/soak.h"

namespace lapishatch::soak {

/// What the caller of one job has been told.
struct CalledJob {
  jobs::Job job;
  base::TimePoint accepted_at{};
  bool is_accepted = false;
  /// Some try had no answer that says what became of it.
  bool is_open = false;
  int tries_left = 0;
  bool is_cancel_sent = false;
  bool is_cancelled = false;
  /// The last state that was shown.
  std::string state;
  bool is_asking = false;

  bool IsFinal() const {
    return state == "completed" || state == "failed" || state == "cancelled";
  }
};

/// Callers of the fronts: they hand in random jobs, try again as the answers
/// say, ask for states, cancel some, and note what must never be seen.
class JobCallers {
 public:
  /// The client names the address that it calls; the port does not count.
  static constexpr const char* kHost = "127.0.0.1";
  static constexpr const char* kPrefix = "/queue/";
  static constexpr const char* kService = "survey";

  JobCallers(boost::asio::io_context& io, base::EventLoop& loop,
             std::vector<http::Endpoint> fronts,
             const fakes::FakeTaskWorkers& workers, std::uint64_t seed);

  /// One random job from one random front.
  void HandIn();

  /// Asks once for the state of each accepted job that has not ended.
  void AskAll();

  /// Whether each accepted job is known to have ended.
  bool AllEnded() const;

  /// The job of that name, for the workers' model.
  const jobs::Job* Find(const base::JobName& name) const;

  /// Adds what was seen to `report`, with the promises that hold only at the
  /// end.
  void Conclude(SoakReport& report) const;

 private:
  jobs::Job MakeJob();
  void Post(const base::JobName& name);
  void OnPosted(const base::JobName& name, const http::ClientResult& result);
  void Cancel(const base::JobName& name, int tries_left);
  void Ask(const base::JobName& name);
  void OnState(const base::JobName& name, const http::ClientResult& result);
  void Call(std::string method, const base::JobName& name, std::string body,
            std::function<void(const http::ClientResult&)> done);
  int Draw(int from, int to);

  base::EventLoop& loop_;
  const std::vector<http::Endpoint> fronts_;
  const fakes::FakeTaskWorkers& workers_;
  base::Random random_;
  http::Client client_;
  std::map<base::JobName, CalledJob> jobs_;
  std::vector<std::string> broken_;
};

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TESTING_SOAK_JOB_CALLERS_H_
