#include "entry/owner_explainer.h"

#include <utility>

namespace lapishatch::entry {
namespace {

constexpr base::Duration kAnswerTimeout{1'000};

}  // namespace

void OwnerExplainer::Explain(
    const config::ResourcePtr& job,
    std::function<void(std::optional<std::string>)> done) {
  loop_.Post([this, job, done = std::move(done)] {
    const wire::ExplainQuery query{base::JobName(job->ref.name)};
    membership::AskSchedulers(
        node_, config::DomainOf(*job), query, kAnswerTimeout,
        [done](membership::SchedulerQueryResult result) {
          auto* text = std::get_if<std::string>(&result);
          done(text != nullptr ? std::optional(std::move(*text))
                               : std::nullopt);
        });
  });
}

}  // namespace lapishatch::entry
