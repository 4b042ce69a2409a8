#include "scheduler/internal/lease_keeper.h"

#include <charconv>
#include <utility>

#include "scheduler/rows.h"

namespace lapishatch::scheduler::internal {
namespace {

/// The endpoint in "address:port", or one with port 0 when it is none.
http::Endpoint EndpointOf(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return {text, 0};
  http::Endpoint endpoint{text.substr(0, colon), 0};
  std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                  endpoint.port);
  return endpoint;
}

lifecycle::LeaseEvent EventOf(const store::CommitResult& result) {
  struct Visitor {
    lifecycle::LeaseEvent operator()(const store::Committed& it) const {
      lifecycle::RowWritten written;
      written.row_version = it.versions.at(0);
      if (it.versions.size() > 1) written.fence_version = it.versions[1];
      return written;
    }
    lifecycle::LeaseEvent operator()(const store::Conflict&) const {
      return lifecycle::RowWriteConflict{};
    }
    lifecycle::LeaseEvent operator()(const store::NotDone&) const {
      return lifecycle::RowWriteFailed{};
    }
    lifecycle::LeaseEvent operator()(const store::UnknownOutcome&) const {
      return lifecycle::RowWriteUnknown{};
    }
  };
  return std::visit(Visitor(), result);
}

struct ProbeVisitor {
  lifecycle::LeaseEvent operator()(const ProbeAnswer& it) const {
    return lifecycle::HolderAnswered{it.state};
  }
  lifecycle::LeaseEvent operator()(const ProbeFailed&) const {
    return lifecycle::HolderTimedOut{};
  }
  lifecycle::LeaseEvent operator()(const ProbeRefused&) const {
    return lifecycle::HolderConnectionRefused{};
  }
};

}  // namespace

LeaseKeeper::LeaseKeeper(const OwnerOptions& options, base::EventLoop& loop,
                         store::Table& table, OwnerProbe& probe,
                         GroupWord group, Hooks hooks)
    : options_(options),
      loop_(loop),
      table_(table),
      probe_(probe),
      group_(std::move(group)),
      hooks_(std::move(hooks)),
      lease_(options.incarnation,
             options.endpoint.address + ":" +
                 std::to_string(options.endpoint.port),
             options.lease),
      scope_(loop) {}

LeaseKeeper::~LeaseKeeper() { loop_.Cancel(timer_); }

void LeaseKeeper::Begin() { Run(lease_.Begin(loop_.Now())); }

void LeaseKeeper::Tell(const lifecycle::LeaseEvent& event) {
  Run(lease_.Handle(event, loop_.Now()));
}

bool LeaseKeeper::MayAct() {
  if (lease_.MayAct(loop_.Now())) return true;
  Tell(lifecycle::LeaseTimerFired{});
  return false;
}

void LeaseKeeper::Run(const std::vector<lifecycle::LeaseCommand>& commands) {
  for (const auto& command : commands) {
    std::visit([this](const auto& it) { Do(it); }, command);
  }
  Arm();
}

void LeaseKeeper::Arm() {
  loop_.Cancel(timer_);
  const auto delay =
      std::max(lease_.wake_at() - loop_.Now(), base::Duration(1));
  timer_ = loop_.After(
      delay, scope_.Guard([this] { Tell(lifecycle::LeaseTimerFired{}); }));
}

void LeaseKeeper::Do(const lifecycle::ReadRow&) {
  table_.Read(
      CellKey(options_.cell),
      scope_.OnLoop([this](const store::ReadResult& it) { OnRow(it); }));
}

void LeaseKeeper::OnRow(const store::ReadResult& result) {
  const auto* found = std::get_if<std::optional<store::Row>>(&result);
  if (found == nullptr) return Tell(lifecycle::RowReadFailed{});
  lifecycle::RowRead row;
  if (*found) {
    row.row = DecodeHolder((*found)->value);
    row.row_version = (*found)->version;
  }
  // Only a holder needs the fence: every take writes both rows.
  const bool ours = row.row && row.row->holder == options_.incarnation;
  if (!ours) {
    if (row.row) row.suspicion = DoubtOf(*row.row);
    return Tell(row);
  }
  table_.Read(
      FenceKey(options_.cell),
      scope_.OnLoop([this, row = std::move(row)](const store::ReadResult& it) {
        OnFence(row, it);
      }));
}

lifecycle::HolderSuspicion LeaseKeeper::DoubtOf(
    const lifecycle::HolderRow& row) const {
  if (!group_ || row.holder.empty()) return lifecycle::HolderSuspicion::kNone;
  return group_(row.holder, EndpointOf(row.endpoint));
}

void LeaseKeeper::OnFence(lifecycle::RowRead row,
                          const store::ReadResult& result) {
  const auto* found = std::get_if<std::optional<store::Row>>(&result);
  if (found == nullptr) return Tell(lifecycle::RowReadFailed{});
  if (*found) row.fence_version = (*found)->version;
  Tell(row);
}

void LeaseKeeper::Do(const lifecycle::WriteRow& command) {
  store::Transaction transaction;
  const auto value = EncodeHolder(command.row);
  transaction.conditions = {{CellKey(options_.cell), command.row_version}};
  transaction.writes = {{CellKey(options_.cell), value}};
  if (command.acquire) {
    transaction.writes.push_back({FenceKey(options_.cell), value});
  }
  table_.Commit(
      std::move(transaction),
      scope_.OnLoop([this](const store::CommitResult& it) { OnCommit(it); }));
}

void LeaseKeeper::OnCommit(const store::CommitResult& result) {
  Tell(EventOf(result));
}

void LeaseKeeper::Do(const lifecycle::QueryHolder& command) {
  probe_.Ask(EndpointOf(command.endpoint), options_.cell, command.holder,
             scope_.OnLoop([this](const ProbeResult& it) { OnProbe(it); }));
}

void LeaseKeeper::OnProbe(const ProbeResult& result) {
  Tell(std::visit(ProbeVisitor(), result));
}

void LeaseKeeper::Do(const lifecycle::LeaseGranted& command) {
  hooks_.granted(command);
}

void LeaseKeeper::Do(const lifecycle::LeaseLost& command) {
  hooks_.lost(command);
}

void LeaseKeeper::Do(const lifecycle::LeaseReleased&) { hooks_.released(); }

}  // namespace lapishatch::scheduler::internal
