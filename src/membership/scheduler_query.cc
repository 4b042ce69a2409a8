#include "membership/scheduler_query.h"

#include <memory>
#include <utility>
#include <vector>

namespace lapishatch::membership {
namespace {

/// The answers that are still to come.
struct Round {
  std::size_t open = 0;
  int silent = 0;
  std::function<void(SchedulerQueryResult)> done;
};

void Finish(Round& round, SchedulerQueryResult result) {
  if (!round.done) return;
  std::exchange(round.done, nullptr)(std::move(result));
}

void FinishWithout(Round& round) {
  if (round.silent > 0) {
    Finish(round, NotAllAnswered{round.silent});
  } else {
    Finish(round, NobodyKnows{});
  }
}

void OnAnswer(Round& round, wire::AskResult result) {
  auto* answered = std::get_if<wire::Answered>(&result);
  auto* text = answered == nullptr
                   ? nullptr
                   : std::get_if<wire::TextAnswer>(&answered->answer);
  if (text == nullptr) ++round.silent;
  if (text != nullptr && text->found) Finish(round, std::move(text->text));
  if (--round.open == 0) FinishWithout(round);
}

}  // namespace

void AskSchedulers(Node& node, const base::DomainName& domain,
                   const wire::Query& query, base::Duration timeout,
                   std::function<void(SchedulerQueryResult)> done) {
  std::vector<wire::Peer> schedulers;
  for (const auto* it : node.group().table().Present()) {
    const auto& identity = it->identity;
    if (identity.role != wire::Role::kScheduler) continue;
    if (!domain.empty() && identity.domain != domain) continue;
    schedulers.push_back(PeerOf(identity));
  }
  const auto round = std::make_shared<Round>();
  round->open = schedulers.size();
  round->done = std::move(done);
  for (const auto& it : schedulers) {
    node.requests().Ask(it, query, timeout, [round](wire::AskResult result) {
      OnAnswer(*round, std::move(result));
    });
  }
  if (schedulers.empty()) Finish(*round, NotAllAnswered{0});
}

}  // namespace lapishatch::membership
