#include "scheduler/wire_owner_probe.h"

#include <utility>
#include <variant>

namespace lapishatch::scheduler {
namespace {

/// The second ask goes over a fresh connection.
constexpr int kAsks = 2;

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
  void operator()(const wire::StatusQuery&) const { reply(wire::Refusal{}); }

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
  const Question question{{{at.address, at.port}, holder}, cell};
  loop_.Post([this, question, done = std::move(done)] {
    transport_.Dial(question.peer.endpoint, step_timeout_,
                    [this, question, done](wire::DialResult it) {
                      OnDialled(question, it, done);
                    });
  });
}

void WireOwnerProbe::OnDialled(const Question& question,
                               wire::DialResult result,
                               const std::function<void(ProbeResult)>& done) {
  switch (result) {
    case wire::DialResult::kOpened:
      return AskOwner(question, kAsks, done);
    case wire::DialResult::kRefused:
      return done(ProbeRefused{});
    case wire::DialResult::kSilent:
      return done(ProbeFailed{"no connection"});
  }
}

void WireOwnerProbe::AskOwner(const Question& question, int asks_left,
                              const std::function<void(ProbeResult)>& done) {
  const auto& holder = question.peer.incarnation;
  requests_.Ask(
      question.peer, wire::OwnerQuery{question.cell, holder}, step_timeout_,
      [this, question, asks_left, done](const wire::AskResult& it) {
        // The connection may be the one at fault: a timeout has reset it.
        const bool failed = std::holds_alternative<wire::AskError>(it);
        if (failed && asks_left > 1) {
          return AskOwner(question, asks_left - 1, done);
        }
        done(ResultOf(it, question.cell, question.peer.incarnation));
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
