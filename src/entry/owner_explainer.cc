#include "entry/owner_explainer.h"

#include <utility>

namespace lapishatch::entry {
namespace {

constexpr base::Duration kAnswerTimeout{1'000};

/// Where the job runs or may run; empty for anywhere.
base::DomainName DomainOf(const config::Resource& job) {
  if (job.status && !job.status->domain.empty()) return job.status->domain;
  return std::get<config::JobSpec>(job.spec).failure_domain;
}

}  // namespace

void OwnerExplainer::Explain(
    const config::ResourcePtr& job,
    std::function<void(std::optional<std::string>)> done) {
  loop_.Post([this, job, done = std::move(done)] {
    const wire::ExplainQuery query{base::JobName(job->ref.name)};
    membership::AskSchedulers(node_, DomainOf(*job), query, kAnswerTimeout,
                              [done](membership::SchedulerQueryResult result) {
                                auto* text = std::get_if<std::string>(&result);
                                done(text != nullptr
                                         ? std::optional(std::move(*text))
                                         : std::nullopt);
                              });
  });
}

}  // namespace lapishatch::entry
