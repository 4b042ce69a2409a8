#include "soak/job_callers.h"

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

constexpr int kTries = 5;
constexpr base::Duration kTryAgain{400};
constexpr base::Duration kCallLimit{3'000};
/// Within this a job must be known to whoever asks.
constexpr base::Duration kVisible{3'000};

http::ClientLimits CallerLimits() {
  http::ClientLimits out;
  out.connect_timeout = base::Duration(500);
  return out;
}

/// The state in the answer to a question for one.
std::string StateIn(const http::Response& response) {
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

JobCallers::JobCallers(boost::asio::io_context& io, base::EventLoop& loop,
                       std::vector<http::Endpoint> fronts,
                       const fakes::FakeTaskWorkers& workers,
                       std::uint64_t seed)
    : loop_(loop),
      fronts_(std::move(fronts)),
      workers_(workers),
      random_(seed),
      client_(io, CallerLimits()) {}

int JobCallers::Draw(int from, int to) {
  return std::uniform_int_distribution<int>(from, to)(random_);
}

jobs::Job JobCallers::MakeJob() {
  jobs::Job out;
  char name[17];
  std::snprintf(name, sizeof name, "%016llx",
                static_cast<unsigned long long>(random_()));
  out.name = base::JobName(name);
  out.spec = "soak";
  constexpr int kGangs = 40;
  constexpr int kPercent = 100;
  const int steps = Draw(1, 2);
  for (int i = 0; i < steps; ++i) {
    jobs::Step step;
    step.tasks = Draw(1, 4);
    step.is_gang = step.tasks > 1 && Draw(1, kPercent) <= kGangs;
    step.needs = {1'000, 1'000, Draw(1, 4)};
    step.run_time_estimate = base::Duration(Draw(200, 1'500));
    if (i > 0) step.depends_on = {i - 1};
    out.steps.push_back(step);
  }
  return out;
}

void JobCallers::HandIn() {
  auto job = MakeJob();
  const auto name = job.name;
  auto& called = jobs_[name];
  called.job = std::move(job);
  called.tries_left = kTries;
  Post(name);
}

void JobCallers::Call(std::string method, const base::JobName& name,
                      std::string body,
                      std::function<void(const http::ClientResult&)> done) {
  const auto& front = fronts_[static_cast<std::size_t>(
      Draw(0, static_cast<int>(fronts_.size()) - 1))];
  http::Request request;
  request.method = std::move(method);
  request.target = kPrefix + name.str();
  request.headers.Set("Content-Type", "application/json");
  request.body = std::move(body);
  client_.Send(front, std::move(request), kCallLimit, std::move(done));
}

void JobCallers::Post(const base::JobName& name) {
  auto& called = jobs_.at(name);
  --called.tries_left;
  Call("POST", name, platform::standin::EncodeJobBody(called.job),
       [this, name](const http::ClientResult& it) { OnPosted(name, it); });
}

void JobCallers::OnPosted(const base::JobName& name,
                          const http::ClientResult& result) {
  auto& called = jobs_.at(name);
  const auto* error = std::get_if<http::ClientError>(&result);
  const auto* response = std::get_if<http::Response>(&result);
  if (response != nullptr && response->status == kOk) {
    called.is_accepted = true;
    called.accepted_at = loop_.Now();
    constexpr int kCancelled = 8;
    if (Draw(1, 100) <= kCancelled) {
      called.is_cancel_sent = true;
      loop_.After(base::Duration(Draw(0, 1'500)),
                  [this, name] { Cancel(name, kTries); });
    }
    return;
  }
  const bool has_not_run =
      (error != nullptr && error->progress == http::Progress::kNothingSent) ||
      (response != nullptr &&
       (response->status == kUnavailable || response->status == kTooMany));
  called.is_open = called.is_open || !has_not_run;
  constexpr int kBadRequest = 400;
  constexpr int kServerError = 500;
  const bool is_wrong = response != nullptr && !has_not_run &&
                        response->status >= kBadRequest &&
                        response->status < kServerError;
  if (is_wrong) {
    broken_.push_back("a good job was answered " +
                      std::to_string(response->status));
  }
  if (called.tries_left == 0) return;
  loop_.After(kTryAgain, [this, name] { Post(name); });
}

void JobCallers::Cancel(const base::JobName& name, int tries_left) {
  if (tries_left == 0) return;
  Call("DELETE", name, "",
       [this, name, tries_left](const http::ClientResult& result) {
         const auto* response = std::get_if<http::Response>(&result);
         if (response != nullptr && response->status == kOk) {
           jobs_.at(name).is_cancelled = true;
           return;
         }
         loop_.After(kTryAgain, [this, name, tries_left] {
           Cancel(name, tries_left - 1);
         });
       });
}

void JobCallers::AskAll() {
  for (const auto& [name, it] : jobs_) {
    if (it.is_accepted && !it.IsFinal() && !it.is_asking) Ask(name);
  }
}

void JobCallers::Ask(const base::JobName& name) {
  jobs_.at(name).is_asking = true;
  Call("GET", name, "",
       [this, name](const http::ClientResult& it) { OnState(name, it); });
}

void JobCallers::OnState(const base::JobName& name,
                         const http::ClientResult& result) {
  auto& called = jobs_.at(name);
  called.is_asking = false;
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) return;
  if (response->status == kGone &&
      loop_.Now() > called.accepted_at + kVisible) {
    broken_.push_back("an accepted job is not known: " + name.str());
  }
  if (response->status != kOk) return;
  called.state = StateIn(*response);
  if (called.state == "cancelled" && !called.is_cancel_sent) {
    broken_.push_back("nobody cancelled the job: " + name.str());
  }
  if (called.state != "completed") return;
  for (const auto& task : TasksOf(called.job)) {
    if (workers_.starts(task) > 0) continue;
    const auto& step = called.job.steps[static_cast<std::size_t>(task.step)];
    if (step.is_gang) continue;
    broken_.push_back("completed, and a task never ran: " + name.str());
  }
}

bool JobCallers::AllEnded() const {
  for (const auto& [name, it] : jobs_) {
    if (it.is_accepted && !it.IsFinal()) return false;
    if (!it.is_accepted && it.tries_left > 0) return false;
  }
  return true;
}

const jobs::Job* JobCallers::Find(const base::JobName& name) const {
  const auto it = jobs_.find(name);
  return it == jobs_.end() ? nullptr : &it->second.job;
}

void JobCallers::Conclude(SoakReport& report) const {
  report.broken.insert(report.broken.end(), broken_.begin(), broken_.end());
  const bool any = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& it) {
    return it.second.is_accepted;
  });
  if (!any) report.broken.emplace_back("no job was accepted");
  for (const auto& [name, it] : jobs_) {
    const bool is_refused = !it.is_accepted && !it.is_open;
    if (it.is_accepted) ++report.accepted;
    if (is_refused) ++report.refused;
    if (!it.is_accepted && it.is_open) ++report.unknown;
    if (it.is_accepted && !it.IsFinal()) {
      report.broken.push_back("an accepted job has not ended: " + name.str() +
                              " (" + it.state + ")");
    }
    for (const auto& task : TasksOf(it.job)) {
      if (is_refused && workers_.starts(task) > 0) {
        report.broken.push_back("refused, and it ran: " + name.str());
      }
      if (it.IsFinal() && workers_.IsRunning(task)) {
        report.broken.push_back(it.state + ", and it runs: " + name.str());
      }
    }
  }
}

}  // namespace lapishatch::soak
