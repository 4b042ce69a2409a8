#include "membership/status_board.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace lapishatch::membership {
namespace {

/// Members of another domain that are asked to gather it, one after the other.
constexpr int kGatherers = 2;

/// Warnings and errors that a process tells of itself.
constexpr std::size_t kOwnEvents = 8;

/// The statuses in an answer; none when there is no such answer.
ProcessStatuses Taken(wire::AskResult result) {
  auto* answered = std::get_if<wire::Answered>(&result);
  if (answered == nullptr) return {};
  auto* status = std::get_if<wire::StatusAnswer>(&answered->answer);
  if (status == nullptr) return {};
  return std::move(status->processes);
}

}  // namespace

wire::ProcessStatus StatusOf(const wire::Identity& self, bool ready,
                             const config::Mirror& mirror) {
  wire::ProcessStatus out;
  out.name = self.name;
  out.incarnation = self.incarnation;
  out.ready = ready;
  out.table_reachable = mirror.is_table_reachable();
  for (const auto log : {config::LogId::kConfig, config::LogId::kJobs}) {
    const auto status = mirror.Status(log);
    out.logs.push_back({wire::LogName(std::string(base::NameOf(log))),
                        status.accepted, status.in_force});
  }
  for (auto& it : base::RecentEvents()) {
    if (out.events.size() == kOwnEvents) break;
    out.events.push_back({it.number, it.age_ms, std::move(it.text)});
  }
  return out;
}

StatusBoard::StatusBoard(base::EventLoop& loop, Node& node, Source own,
                         StatusBoardOptions options)
    : loop_(loop), node_(node), own_(std::move(own)), options_(options) {
  node_.ServeStatus([this](const wire::StatusQuery& query, auto reply) {
    Answer(query, reply);
  });
}

StatusBoard::~StatusBoard() {
  *alive_ = false;
  node_.ServeStatus(nullptr);
}

void StatusBoard::Ask(Done done) {
  if (!Join(system_, std::move(done))) return;
  const auto& self = node_.group().self();
  const auto& table = node_.group().table();
  const auto round = std::make_shared<Round>(Round{&system_, 1, {}});
  for (const auto& domain : table.Domains()) {
    if (domain == self.domain || !node_.group().IsReachable(domain)) continue;
    std::vector<wire::Peer> gatherers;
    for (const auto* it : table.Choose(domain, self.name.str(), kGatherers)) {
      gatherers.push_back(PeerOf(it->identity));
    }
    if (gatherers.empty()) continue;
    ++round->open;
    AskDomain(std::move(gatherers), round);
  }
  GatherDomain([this, alive = alive_, round](const ProcessStatuses& found) {
    if (*alive) Add(round, found);
  });
}

void StatusBoard::Answer(const wire::StatusQuery& query,
                         const std::function<void(wire::Answer)>& reply) {
  if (query.whole_domain) {
    return GatherDomain([this, reply](const ProcessStatuses& found) {
      reply(wire::StatusAnswer{Trimmed(found)});
    });
  }
  own_([reply](wire::ProcessStatus status) {
    reply(wire::StatusAnswer{{std::move(status)}});
  });
}

bool StatusBoard::Join(Shared& shared, Done done) {
  const bool is_fresh =
      shared.last && loop_.Now() - shared.answered_at < options_.keep_for;
  if (is_fresh) {
    done(*shared.last);
    return false;
  }
  shared.waiting.push_back(std::move(done));
  return !std::exchange(shared.is_open, true);
}

void StatusBoard::GatherDomain(Done done) {
  if (!Join(domain_, std::move(done))) return;
  const auto& self = node_.group().self();
  const auto round = std::make_shared<Round>(Round{&domain_, 1, {}});
  for (const auto* it : node_.group().table().PresentIn(self.domain)) {
    if (it->identity.name == self.name) continue;
    ++round->open;
    AskMember(PeerOf(it->identity), round);
  }
  AskOwn(round);
}

/// Cells that do not answer in time must not hold up the others.
void StatusBoard::AskOwn(const std::shared_ptr<Round>& round) {
  const auto told = std::make_shared<bool>(false);
  const auto tell = [this, alive = alive_, round,
                     told](ProcessStatuses statuses) {
    if (!*alive || std::exchange(*told, true)) return;
    Add(round, std::move(statuses));
  };
  loop_.After(options_.member_timeout, [tell] { tell({}); });
  own_([tell](wire::ProcessStatus status) { tell({std::move(status)}); });
}

void StatusBoard::AskMember(const wire::Peer& peer,
                            const std::shared_ptr<Round>& round) {
  node_.requests().Ask(peer, wire::StatusQuery{false}, options_.member_timeout,
                       [this, alive = alive_, round](wire::AskResult result) {
                         if (*alive) Add(round, Taken(std::move(result)));
                       });
}

void StatusBoard::AskDomain(std::vector<wire::Peer> gatherers,
                            const std::shared_ptr<Round>& round) {
  const auto peer = gatherers.front();
  gatherers.erase(gatherers.begin());
  node_.requests().Ask(peer, wire::StatusQuery{true}, options_.domain_timeout,
                       [this, alive = alive_, gatherers = std::move(gatherers),
                        round](wire::AskResult result) {
                         if (!*alive) return;
                         auto found = Taken(std::move(result));
                         if (found.empty() && !gatherers.empty()) {
                           return AskDomain(gatherers, round);
                         }
                         Add(round, std::move(found));
                       });
}

void StatusBoard::Add(const std::shared_ptr<Round>& round,
                      ProcessStatuses found) {
  std::move(found.begin(), found.end(), std::back_inserter(round->found));
  if (--round->open == 0) Finish(*round);
}

void StatusBoard::Finish(Round& round) {
  auto& shared = *round.shared;
  std::sort(round.found.begin(), round.found.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  shared.is_open = false;
  shared.last = std::move(round.found);
  shared.answered_at = loop_.Now();
  const auto answer = *shared.last;
  for (const auto& it : std::exchange(shared.waiting, {})) it(answer);
}

ProcessStatuses StatusBoard::Trimmed(ProcessStatuses statuses) const {
  std::vector<std::int64_t> ages;
  for (const auto& it : statuses) {
    for (const auto& event : it.events) ages.push_back(event.age_ms);
  }
  if (ages.size() <= options_.events_per_domain) return statuses;
  std::sort(ages.begin(), ages.end());
  ages.resize(options_.events_per_domain);
  const auto oldest = ages.empty() ? -1 : ages.back();
  auto of_oldest = std::count(ages.begin(), ages.end(), oldest);
  for (auto& it : statuses) {
    std::erase_if(it.events, [&](const auto& event) {
      if (event.age_ms != oldest) return event.age_ms > oldest;
      return of_oldest-- <= 0;
    });
  }
  return statuses;
}

}  // namespace lapishatch::membership
