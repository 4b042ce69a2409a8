// How a spreader fetches the whole state of a log from a peer, and gives it.

#include <algorithm>
#include <utility>

#include "membership/spreader.h"

namespace lapishatch::membership {
namespace {

/// Wait for the answer to one chunk.
constexpr base::Duration kChunkTimeout{1'000};

/// Times in a row that a chunk is asked for in vain before the peer is given
/// up.
constexpr int kChunkTries = 4;

}  // namespace

void Spreader::StartTransfer(Log& log, const wire::Peer& peer) {
  if (log.transfer) return;
  log.transfer = Transfer{peer, 0, 0, {}, 0, nullptr};
  AskChunk(log);
}

void Spreader::Fetch(const LogName& log,
                     std::function<void(std::optional<std::string>)> done) {
  auto* it = Find(log);
  const auto peer = SomePeer();
  if (it == nullptr || it->transfer || !peer) {
    loop_.Post([done = std::move(done)] { done(std::nullopt); });
    return;
  }
  StartTransfer(*it, *peer);
  it->transfer->done = std::move(done);
}

void Spreader::AskChunk(Log& log) {
  const auto& transfer = *log.transfer;
  requests_.Ask(
      transfer.peer,
      wire::SnapshotQuery{log.name, transfer.version, transfer.bytes.size()},
      kChunkTimeout,
      [alive = alive_, this, name = log.name](wire::AskResult result) {
        if (*alive) OnChunk(name, std::move(result));
      });
}

/// Adds a chunk, or asks for it again when no answer came. Anything unexpected
/// ends the transfer; the next head that is heard begins another, from whoever
/// tells of it.
void Spreader::OnChunk(const LogName& name, wire::AskResult result) {
  auto& log = *Find(name);
  if (!log.transfer) return;
  auto& transfer = *log.transfer;
  auto* answered = std::get_if<wire::Answered>(&result);
  if (answered == nullptr) {
    if (++transfer.failures < kChunkTries) {
      AskChunk(log);
    } else {
      GiveUpTransfer(log);
    }
    return;
  }
  const auto* chunk = std::get_if<wire::SnapshotAnswer>(&answered->answer);
  const bool fits = chunk != nullptr &&
                    chunk->offset == transfer.bytes.size() &&
                    chunk->total_bytes <= options_.max_snapshot_bytes &&
                    (!log.has_base || chunk->version > log.version);
  if (!fits) {
    GiveUpTransfer(log);
    return;
  }
  transfer.failures = 0;
  transfer.version = chunk->version;
  transfer.total_bytes = chunk->total_bytes;
  transfer.bytes += chunk->bytes;
  if (transfer.bytes.size() >= transfer.total_bytes) {
    FinishTransfer(log);
  } else if (chunk->bytes.empty()) {
    GiveUpTransfer(log);
  } else {
    AskChunk(log);
  }
}

void Spreader::FinishTransfer(Log& log) {
  auto transfer = *std::exchange(log.transfer, std::nullopt);
  log.pull_until = base::TimePoint();
  if (transfer.done) {
    transfer.done(std::move(transfer.bytes));
    return;
  }
  if (!log.follower->OnSnapshot(transfer.version, transfer.bytes)) return;
  ++counts_.snapshots_installed;
  SkipTo(log.name, transfer.version);
}

void Spreader::GiveUpTransfer(Log& log) {
  const auto transfer = *std::exchange(log.transfer, std::nullopt);
  if (transfer.done) transfer.done(std::nullopt);
}

wire::Answer Spreader::AnswerSnapshot(const wire::SnapshotQuery& query) {
  auto* log = Find(query.log);
  if (log == nullptr || !log->has_base) {
    return wire::Refusal{wire::RefusalReason::kNotReady, "no such log here"};
  }
  auto& served = log->served;
  if (query.version == 0 && (!served || served->version != log->version)) {
    auto bytes = log->follower->TakeSnapshot();
    if (!bytes) {
      return wire::Refusal{wire::RefusalReason::kNotReady, "not loaded yet"};
    }
    served = Snapshot{log->version, std::move(*bytes)};
  }
  const bool is_served =
      served && (query.version == 0 || query.version == served->version) &&
      query.offset <= served->bytes.size();
  if (!is_served) {
    return wire::Refusal{wire::RefusalReason::kNotReady,
                         "the snapshot has been replaced by a newer one"};
  }
  return wire::SnapshotAnswer{
      served->version, served->bytes.size(), query.offset,
      served->bytes.substr(query.offset, options_.snapshot_chunk_bytes)};
}

}  // namespace lapishatch::membership
