#include "soak/job_clients.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <utility>

#include "platform/standin/standin_codec.h"

namespace lapishatch::soak {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

constexpr int kMaxAttempts = 5;
constexpr base::Duration kRetryDelay{400};
constexpr base::Duration kCallTimeout{3'000};
/// Time after which an accepted job must be visible to all clients.
constexpr base::Duration kVisibilityTimeout{3'000};

http::ClientLimits MakeClientLimits() {
  http::ClientLimits out;
  out.connect_timeout = base::Duration(500);
  return out;
}

/// Returns the job state in a response, or an empty string.
std::string ParseState(const http::Response& response) {
  boost::system::error_code ec;
  const auto body = boost::json::parse(response.body, ec);
  const auto* object = body.if_object();
  const auto* state =
      object == nullptr ? nullptr : object->if_contains("state");
  if (state == nullptr || !state->is_string()) return {};
  return {state->get_string().data(), state->get_string().size()};
}

std::vector<jobs::TaskName> TasksOf(const jobs::Job& job) {
  std::vector<jobs::TaskName> out;
  for (std::size_t step = 0; step < job.steps.size(); ++step) {
    for (int i = 0; i < job.steps[step].tasks; ++i) {
      out.push_back({job.name, 0, static_cast<int>(step), i});
    }
  }
  return out;
}

}  // namespace

JobClients::JobClients(boost::asio::io_context& io, base::EventLoop& loop,
                       std::vector<http::Endpoint> api_endpoints,
                       const fakes::FakeTaskWorkers& workers,
                       std::uint64_t seed)
    : loop_(loop),
      api_endpoints_(std::move(api_endpoints)),
      workers_(workers),
      random_(seed),
      client_(io, MakeClientLimits()) {}

int JobClients::RandomInt(int from, int to) {
  return std::uniform_int_distribution<int>(from, to)(random_);
}

jobs::Job JobClients::MakeJob() {
  jobs::Job out;
  char name[17];
  std::snprintf(name, sizeof name, "%016llx",
                static_cast<unsigned long long>(random_()));
  out.name = base::JobName(name);
  out.spec = "soak";
  constexpr int kGangPercent = 40;
  constexpr int kPercent = 100;
  const int steps = RandomInt(1, 2);
  for (int i = 0; i < steps; ++i) {
    jobs::Step step;
    step.tasks = RandomInt(1, 4);
    step.is_gang = step.tasks > 1 && RandomInt(1, kPercent) <= kGangPercent;
    step.needs = {1'000, 1'000, RandomInt(1, 4)};
    step.run_time_estimate = base::Duration(RandomInt(200, 1'500));
    if (i > 0) step.depends_on = {i - 1};
    out.steps.push_back(step);
  }
  return out;
}

void JobClients::SubmitJob() {
  auto job = MakeJob();
  const auto name = job.name;
  auto& submitted = jobs_[name];
  submitted.job = std::move(job);
  submitted.attempts_left = kMaxAttempts;
  Post(name);
}

void JobClients::Call(std::string method, const base::JobName& name,
                      std::string body,
                      std::function<void(const http::ClientResult&)> done) {
  const auto& api_endpoint = api_endpoints_[static_cast<std::size_t>(
      RandomInt(0, static_cast<int>(api_endpoints_.size()) - 1))];
  http::Request request;
  request.method = std::move(method);
  request.target = kPrefix + name.str();
  request.headers.Set("Content-Type", "application/json");
  request.body = std::move(body);
  client_.Send(api_endpoint, std::move(request), kCallTimeout, std::move(done));
}

void JobClients::Post(const base::JobName& name) {
  auto& submitted = jobs_.at(name);
  --submitted.attempts_left;
  Call("POST", name, platform::standin::EncodeJobBody(submitted.job),
       [this, name](const http::ClientResult& it) { OnPosted(name, it); });
}

void JobClients::OnPosted(const base::JobName& name,
                          const http::ClientResult& result) {
  auto& submitted = jobs_.at(name);
  const auto* error = std::get_if<http::ClientError>(&result);
  const auto* response = std::get_if<http::Response>(&result);
  if (response != nullptr && response->status == kOk) {
    submitted.is_accepted = true;
    submitted.accepted_at = loop_.Now();
    constexpr int kCancelPercent = 8;
    if (RandomInt(1, 100) <= kCancelPercent) {
      submitted.is_cancel_sent = true;
      loop_.After(base::Duration(RandomInt(0, 1'500)),
                  [this, name] { Cancel(name, kMaxAttempts); });
    }
    return;
  }
  const bool has_not_run =
      (error != nullptr && error->progress == http::Progress::kNothingSent) ||
      (response != nullptr &&
       (response->status == kUnavailable || response->status == kTooMany));
  submitted.is_outcome_unknown = submitted.is_outcome_unknown || !has_not_run;
  constexpr int kBadRequest = 400;
  constexpr int kServerError = 500;
  const bool is_unexpected = response != nullptr && !has_not_run &&
                             response->status >= kBadRequest &&
                             response->status < kServerError;
  if (is_unexpected) {
    violations_.push_back("a good job was answered " +
                          std::to_string(response->status));
  }
  if (submitted.attempts_left == 0) return;
  loop_.After(kRetryDelay, [this, name] { Post(name); });
}

void JobClients::Cancel(const base::JobName& name, int attempts_left) {
  if (attempts_left == 0) return;
  Call("DELETE", name, "",
       [this, name, attempts_left](const http::ClientResult& result) {
         const auto* response = std::get_if<http::Response>(&result);
         if (response != nullptr && response->status == kOk) {
           jobs_.at(name).is_cancelled = true;
           return;
         }
         loop_.After(kRetryDelay, [this, name, attempts_left] {
           Cancel(name, attempts_left - 1);
         });
       });
}

void JobClients::PollStates() {
  for (const auto& [name, it] : jobs_) {
    if (it.is_accepted && !it.IsFinal() && !it.is_poll_pending) PollState(name);
  }
}

void JobClients::PollState(const base::JobName& name) {
  jobs_.at(name).is_poll_pending = true;
  Call("GET", name, "",
       [this, name](const http::ClientResult& it) { OnState(name, it); });
}

void JobClients::OnState(const base::JobName& name,
                         const http::ClientResult& result) {
  auto& submitted = jobs_.at(name);
  submitted.is_poll_pending = false;
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) return;
  if (response->status == kGone &&
      loop_.Now() > submitted.accepted_at + kVisibilityTimeout) {
    violations_.push_back("an accepted job is not known: " + name.str());
  }
  if (response->status != kOk) return;
  submitted.state = ParseState(*response);
  if (submitted.state == "cancelled" && !submitted.is_cancel_sent) {
    violations_.push_back("nobody cancelled the job: " + name.str());
  }
  if (submitted.state != "completed") return;
  for (const auto& task : TasksOf(submitted.job)) {
    if (workers_.starts(task) > 0) continue;
    const auto& step = submitted.job.steps[static_cast<std::size_t>(task.step)];
    if (step.is_gang) continue;
    violations_.push_back("completed, and a task never ran: " + name.str());
  }
}

bool JobClients::AllJobsEnded() const {
  for (const auto& [name, it] : jobs_) {
    if (it.is_accepted && !it.IsFinal()) return false;
    if (!it.is_accepted && it.attempts_left > 0) return false;
  }
  return true;
}

const jobs::Job* JobClients::Find(const base::JobName& name) const {
  const auto it = jobs_.find(name);
  return it == jobs_.end() ? nullptr : &it->second.job;
}

void JobClients::AddResults(SoakReport& report) const {
  report.violations.insert(report.violations.end(), violations_.begin(),
                           violations_.end());
  const bool any = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& it) {
    return it.second.is_accepted;
  });
  if (!any) report.violations.emplace_back("no job was accepted");
  for (const auto& [name, it] : jobs_) {
    const bool is_refused = !it.is_accepted && !it.is_outcome_unknown;
    if (it.is_accepted) ++report.accepted;
    if (is_refused) ++report.refused;
    if (!it.is_accepted && it.is_outcome_unknown) ++report.unknown;
    if (it.is_accepted && !it.IsFinal()) {
      report.violations.push_back("an accepted job has not ended: " +
                                  name.str() + " (" + it.state + ")");
    }
    for (const auto& task : TasksOf(it.job)) {
      if (is_refused && workers_.starts(task) > 0) {
        report.violations.push_back("refused, and it ran: " + name.str());
      }
      if (it.IsFinal() && workers_.IsRunning(task)) {
        report.violations.push_back(it.state + ", and it runs: " + name.str());
      }
    }
  }
}

}  // namespace lapishatch::soak
