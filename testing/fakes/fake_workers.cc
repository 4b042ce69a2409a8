#include "fakes/fake_workers.h"

#include <utility>

namespace lapishatch::fakes {

void FakeWorkers::Add(const http::Endpoint& endpoint,
                      standins::WorkerModelOptions options) {
  auto& worker = workers_[endpoint];
  worker.model = std::make_unique<standins::WorkerModel>(std::move(options));
}

void FakeWorkers::SetReachable(const http::Endpoint& endpoint, bool reachable) {
  workers_.at(endpoint).reachable = reachable;
}

standins::WorkerModel& FakeWorkers::model(const http::Endpoint& endpoint) {
  auto& model = *workers_.at(endpoint).model;
  model.Advance(time_.Now());
  return model;
}

std::vector<http::Endpoint> FakeWorkers::endpoints() const {
  std::vector<http::Endpoint> out;
  for (const auto& [endpoint, worker] : workers_) out.push_back(endpoint);
  return out;
}

int FakeWorkers::RunningTasksOf(const base::JobName& job) {
  int n = 0;
  for (auto& [endpoint, worker] : workers_) {
    worker.model->Advance(time_.Now());
    for (const auto& task : worker.model->Running()) {
      if (task.key.job == job) ++n;
    }
  }
  return n;
}

void FakeWorkers::Carry(
    Worker& worker, lifecycle::WorkerOrder order,
    const std::function<void(lifecycle::OrderOutcome)>& answer) {
  if (change_) change_(*worker.model, order);
  auto outcome = worker.model->Handle(order, time_.Now());
  AnswerPolls(worker);
  Arm(worker);
  if (answer) answer(std::move(outcome));
}

void FakeWorkers::AnswerPolls(Worker& worker) {
  worker.model->Advance(time_.Now());
  auto polls = std::exchange(worker.polls, {});
  for (auto& poll : polls) {
    if (poll->answered) continue;
    if (!worker.model->IsReady(poll->query)) {
      worker.polls.push_back(poll);
      continue;
    }
    poll->answered = true;
    poll->answer(worker.model->Answer(poll->query));
  }
}

void FakeWorkers::Arm(Worker& worker) {
  time_.Cancel(worker.wake_up);
  const auto next = worker.model->NextChange();
  if (!next) return;
  worker.wake_up = time_.After(*next - time_.Now(), [this, &worker] {
    AnswerPolls(worker);
    Arm(worker);
  });
}

void FakeWorkersView::Send(const http::Endpoint& worker,
                           lifecycle::WorkerOrder order,
                           std::function<void(lifecycle::OrderOutcome)> done) {
  if (process_.killed()) return;
  const auto& options = workers_.options_;
  const auto it = workers_.workers_.find(worker);
  const auto fail = [this, &done](base::Duration delay,
                                  lifecycle::OrderOutcome outcome) {
    process_.After(delay, [done = std::move(done),
                           outcome = std::move(outcome)] { done(outcome); });
  };
  if (cut_ || it == workers_.workers_.end()) {
    fail(options.timeout, lifecycle::OrderNotSent{"no connection"});
    return;
  }
  if (!it->second.reachable) {
    fail(options.timeout, lifecycle::OrderOutcomeUnknown{"no answer"});
    return;
  }
  auto fault = fault_ ? fault_(worker, order) : OrderFault::kNone;
  if (fault == OrderFault::kNone && workers_.fault_) {
    fault = workers_.fault_(worker, order);
  }
  if (fault == OrderFault::kNotSent) {
    fail(options.latency, lifecycle::OrderNotSent{"connection refused"});
    return;
  }
  auto& target = it->second;
  const bool silent = fault == OrderFault::kOrderLost ||
                      fault == OrderFault::kAnswerLost ||
                      fault == OrderFault::kLate;
  if (silent) {
    fail(options.timeout, lifecycle::OrderOutcomeUnknown{"no answer"});
  }
  if (fault == OrderFault::kOrderLost) return;
  const auto delay =
      fault == OrderFault::kLate ? options.late : options.latency;
  std::function<void(lifecycle::OrderOutcome)> answer;
  if (!silent) {
    answer = [this, done = std::move(done),
              latency = options.latency](lifecycle::OrderOutcome outcome) {
      process_.After(latency,
                     [done, outcome = std::move(outcome)] { done(outcome); });
    };
  }
  workers_.time_.After(delay, [this, &target, fault, order = std::move(order),
                               answer = std::move(answer)] {
    if (fault == OrderFault::kDoubled) workers_.Carry(target, order, {});
    workers_.Carry(target, order, answer);
  });
}

void FakeWorkersView::FetchReport(
    const http::Endpoint& worker, backends::ReportQuery query,
    std::function<void(backends::ReportResult)> done) {
  const auto& options = workers_.options_;
  const auto it = workers_.workers_.find(worker);
  if (cut_ || it == workers_.workers_.end() || !it->second.reachable) {
    process_.After(options.timeout, [done = std::move(done)] {
      done(backends::ReportFailed{"no answer"});
    });
    return;
  }
  auto& target = it->second;
  workers_.time_.After(options.latency, [this, &target, &options, query,
                                         done = std::move(done)] {
    auto& model = *target.model;
    const auto now = workers_.time_.Now();
    model.Note(query, now);
    workers_.Arm(target);
    auto poll = std::make_shared<FakeWorkers::Poll>();
    poll->query = query;
    poll->answer = [this, &target, &options,
                    done](backends::ReportResult result) {
      if (!target.reachable || cut_) result = backends::ReportFailed{"cut"};
      process_.After(options.latency,
                     [done, result = std::move(result)] { done(result); });
    };
    target.polls.push_back(poll);
    workers_.AnswerPolls(target);
    workers_.time_.After(query.wait, [&target, poll] {
      if (poll->answered) return;
      poll->answered = true;
      std::erase(target.polls, poll);
      poll->answer(target.model->Answer(poll->query));
    });
  });
}

}  // namespace lapishatch::fakes
