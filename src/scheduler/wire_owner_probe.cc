#include "scheduler/wire_owner_probe.h"

#include <utility>
#include <variant>

namespace lapishatch::scheduler {
namespace {

/// An answer that was not asked for, or none.
ProbeFailed Failure(const wire::AskResult& result) {
  if (const auto* it = std::get_if<wire::AskError>(&result)) {
    return {std::string(base::NameOf(it->failure))};
  }
  return {"the process does not answer such queries"};
}

ProbeResult ResultOf(const wire::AskResult& result, const base::CellName& cell,
                     const base::Incarnation& holder) {
  const auto* answered = std::get_if<wire::Answered>(&result);
  const auto* owner = answered == nullptr
                          ? nullptr
                          : std::get_if<wire::OwnerAnswer>(&answered->answer);
  if (owner == nullptr || owner->cell != cell) return Failure(result);
  ProbeAnswer answer;
  answer.epoch = owner->epoch;
  if (!owner->holds || answered->by.incarnation != holder) return answer;
  answer.state = owner->without_table
                     ? lifecycle::HolderState::kHoldingWithoutTable
                     : lifecycle::HolderState::kHolding;
  return answer;
}

wire::OwnerAnswer OwnerAnswerOf(const base::CellName& cell,
                                const ProbeAnswer& answer) {
  return {cell, answer.state != lifecycle::HolderState::kNotHolding,
          answer.state == lifecycle::HolderState::kHoldingWithoutTable,
          answer.epoch};
}

wire::TextAnswer TextAnswerOf(std::optional<std::string> text) {
  if (!text) return {};
  return {true, std::move(*text)};
}

/// One answer for each kind of query.
struct QueryVisitor {
  const CellQueries& queries;
  const std::function<void(wire::Answer)>& reply;

  void operator()(const wire::OwnerQuery& it) const {
    queries.probe(it.cell, it.holder,
                  [cell = it.cell, reply = reply](ProbeAnswer answer) {
                    reply(OwnerAnswerOf(cell, answer));
                  });
  }
  void operator()(const wire::ExplainQuery& it) const {
    queries.explain(it.job, ReplyText());
  }
  void operator()(const wire::CellStatusQuery& it) const {
    queries.status(it.cell, ReplyText());
  }
  void operator()(const wire::SnapshotQuery&) const { reply(wire::Refusal{}); }

 private:
  std::function<void(std::optional<std::string>)> ReplyText() const {
    return [reply = reply](std::optional<std::string> text) {
      reply(TextAnswerOf(std::move(text)));
    };
  }
};

}  // namespace

void WireOwnerProbe::Ask(const http::Endpoint& at, const base::CellName& cell,
                         const base::Incarnation& holder,
                         std::function<void(ProbeResult)> done) {
  const wire::Peer peer{{at.address, at.port}, holder};
  loop_.Post([this, peer, cell, holder, done = std::move(done)] {
    requests_.Ask(peer, wire::OwnerQuery{cell, holder}, timeout_,
                  [cell, holder, done](const wire::AskResult& result) {
                    done(ResultOf(result, cell, holder));
                  });
  });
}

wire::RequestChannel::Server MakeCellQueryServer(CellQueries queries) {
  return [queries = std::move(queries)](
             const wire::Identity&, const wire::Query& query,
             const std::function<void(wire::Answer)>& reply) {
    std::visit(QueryVisitor{queries, reply}, query);
  };
}

}  // namespace lapishatch::scheduler
