#ifndef LAPISHATCH_TESTING_SOAK_JOB_CLIENTS_H_
#define LAPISHATCH_TESTING_SOAK_JOB_CLIENTS_H_

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

/// What the client that submitted a job knows about it.
struct SubmittedJob {
  jobs::Job job;
  base::TimePoint accepted_at{};
  bool is_accepted = false;
  /// At least one attempt got no answer that says whether the job was accepted.
  bool is_outcome_unknown = false;
  int attempts_left = 0;
  bool is_cancel_sent = false;
  bool is_cancelled = false;
  /// The last state that was returned.
  std::string state;
  bool is_poll_pending = false;

  bool IsFinal() const {
    return state == "completed" || state == "failed" || state == "cancelled";
  }
};

/// Clients of the processes' API endpoints. They submit random jobs, retry
/// unsuccessful calls, poll states, cancel some jobs and record violated
/// guarantees.
class JobClients {
 public:
  /// Clients send the address that they call as the host; the port is ignored.
  static constexpr const char* kHost = "127.0.0.1";
  static constexpr const char* kPrefix = "/queue/";
  static constexpr const char* kService = "survey";

  JobClients(boost::asio::io_context& io, base::EventLoop& loop,
             std::vector<http::Endpoint> api_endpoints,
             const fakes::FakeTaskWorkers& workers, std::uint64_t seed);

  /// Submits one random job to a random API endpoint.
  void SubmitJob();

  /// Polls the state of each accepted job that has not ended.
  void PollStates();

  /// Whether each accepted job is known to have ended and no submission has
  /// attempts left.
  bool AllJobsEnded() const;

  /// Returns the job of that name for the fake workers, or null.
  const jobs::Job* Find(const base::JobName& name) const;

  /// Adds the counts and violations to `report`, including those of guarantees
  /// that hold only at the end of a run.
  void AddResults(SoakReport& report) const;

 private:
  jobs::Job MakeJob();
  void Post(const base::JobName& name);
  void OnPosted(const base::JobName& name, const http::ClientResult& result);
  void Cancel(const base::JobName& name, int attempts_left);
  void PollState(const base::JobName& name);
  void OnState(const base::JobName& name, const http::ClientResult& result);
  void Call(std::string method, const base::JobName& name, std::string body,
            std::function<void(const http::ClientResult&)> done);
  int RandomInt(int from, int to);

  base::EventLoop& loop_;
  const std::vector<http::Endpoint> api_endpoints_;
  const fakes::FakeTaskWorkers& workers_;
  base::Random random_;
  http::Client client_;
  std::map<base::JobName, SubmittedJob> jobs_;
  std::vector<std::string> violations_;
};

}  // namespace lapishatch::soak

#endif  // LAPISHATCH_TESTING_SOAK_JOB_CLIENTS_H_
