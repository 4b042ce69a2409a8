#include "scheduler/internal/recorder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lapishatch::scheduler::internal {
namespace {

bool WritesIntent(const JobRecord& record) {
  return !std::holds_alternative<KeepIntent>(record.intent);
}

void CallAll(std::vector<Recorder::Done>& done, RecordResult result) {
  for (auto& it : std::exchange(done, {})) {
    if (it) it(result);
  }
}

}  // namespace

Recorder::Recorder(const OwnerOptions& options, base::EventLoop& loop,
                   store::Table& table, store::RowVersion fence_version,
                   Hooks hooks)
    : options_(options),
      loop_(loop),
      table_(table),
      fence_version_(fence_version),
      hooks_(std::move(hooks)),
      random_(options.seed),
      backoff_(options.write_retry_first, options.write_retry_limit),
      scope_(loop) {}

Recorder::~Recorder() = default;

void Recorder::SetVersions(const base::JobName& job, JobVersions versions) {
  versions_[job] = versions;
}

void Recorder::Forget(const base::JobName& job) { versions_.erase(job); }

void Recorder::Record(JobRecord record, Done done) {
  Entry entry;
  entry.record = std::move(record);
  entry.done.push_back(std::move(done));
  Enqueue(std::move(entry));
  Arm(options_.group_window);
}

void Recorder::Enqueue(Entry entry) {
  const auto [it, is_new] =
      place_of_.try_emplace(entry.record.job, last_place_ + 1);
  if (is_new) {
    pending_.emplace(++last_place_, std::move(entry));
    return;
  }
  auto& earlier = pending_.at(it->second);
  std::vector<Done> superseded;
  if (WritesIntent(entry.record)) {
    const bool put = std::holds_alternative<PutIntent>(earlier.record.intent);
    if (put) superseded = std::exchange(earlier.done, {});
    earlier.record.intent = std::move(entry.record.intent);
  }
  earlier.record.status = std::move(entry.record.status);
  std::move(entry.done.begin(), entry.done.end(),
            std::back_inserter(earlier.done));
  CallAll(superseded, RecordResult::kSuperseded);
}

void Recorder::Arm(base::Duration delay) {
  if (armed_ || batch_) return;
  armed_ = true;
  loop_.After(delay, scope_.Guard([this] {
    armed_ = false;
    Flush();
  }));
}

void Recorder::Flush() {
  if (batch_ || pending_.empty()) return;
  TakeBatch();
  Send();
}

void Recorder::TakeBatch() {
  Batch batch;
  while (!pending_.empty() && batch.entries.size() < options_.group_size) {
    auto node = pending_.extract(pending_.begin());
    auto& entry = node.mapped();
    place_of_.erase(entry.record.job);
    entry.write = base::AttemptId(base::MakeUniqueText("write-"));
    batch.entries.push_back(std::move(entry));
  }
  batch.transaction = TransactionOf(batch.entries);
  batch_ = std::move(batch);
}

store::Transaction Recorder::TransactionOf(
    const std::vector<Entry>& entries) const {
  store::Transaction out;
  out.conditions.push_back({FenceKey(options_.cell), fence_version_});
  for (const auto& entry : entries) {
    const auto& record = entry.record;
    const auto found = versions_.find(record.job);
    const auto known = found == versions_.end() ? JobVersions() : found->second;
    const auto status_key = StatusKey(record.job);
    out.conditions.push_back({status_key, known.status});
    out.writes.push_back(
        {status_key, EncodeStatusRow({entry.write, record.status})});
    const auto* put = std::get_if<PutIntent>(&record.intent);
    const bool drop = std::holds_alternative<DropIntent>(record.intent) &&
                      known.intent != store::kAbsent;
    if (put == nullptr && !drop) continue;
    const auto intent_key = IntentKey(record.job);
    out.conditions.push_back({intent_key, known.intent});
    store::Write write{intent_key, std::nullopt};
    if (put != nullptr) write.value = EncodeIntent(put->intent);
    out.writes.push_back(std::move(write));
  }
  return out;
}

void Recorder::Send() {
  if (!hooks_.may_act()) return;
  ++commits_;
  table_.Commit(
      batch_->transaction,
      scope_.OnLoop([this](const store::CommitResult& it) { OnCommit(it); }));
}

void Recorder::OnCommit(const store::CommitResult& result) {
  std::visit([this](const auto& it) { On(it); }, result);
}

void Recorder::On(const store::Committed& result) {
  NoteTable(false);
  const auto& writes = batch_->transaction.writes;
  for (std::size_t i = 0; i < writes.size(); ++i) {
    for (const auto& entry : batch_->entries) {
      const auto& job = entry.record.job;
      if (writes[i].key == StatusKey(job)) {
        versions_[job].status = result.versions.at(i);
      } else if (writes[i].key == IntentKey(job)) {
        versions_[job].intent = result.versions.at(i);
      }
    }
  }
  FinishBatch();
}

void Recorder::On(const store::Conflict& result) {
  NoteTable(false);
  if (result.key == FenceKey(options_.cell)) return hooks_.deposed();
  // An earlier copy took effect, or the rows are not as this owner knew them.
  ReadBack();
}

void Recorder::On(const store::NotDone&) {
  NoteTable(true);
  Dissolve();
  Arm(backoff_.Next(random_));
}

void Recorder::On(const store::UnknownOutcome&) {
  NoteTable(true);
  ReadBack();
}

void Recorder::ReadBack() {
  if (!hooks_.may_act()) return;
  table_.Read(
      StatusKey(batch_->entries.front().record.job),
      scope_.OnLoop([this](const store::ReadResult& it) { OnReadBack(it); }));
}

void Recorder::OnReadBack(const store::ReadResult& result) {
  const auto* row = std::get_if<std::optional<store::Row>>(&result);
  if (row == nullptr) {
    NoteTable(true);
    return Retry(&Recorder::ReadBack);
  }
  NoteTable(false);
  std::optional<StatusRow> status;
  if (*row) status = DecodeStatusRow((*row)->value);
  const bool ours = status && status->write == batch_->entries.front().write;
  foreign_.clear();
  ReadVersions(0, ours);
}

void Recorder::ReadVersions(std::size_t index, bool took_effect) {
  if (index == batch_->entries.size()) {
    if (took_effect) return FinishBatch();
    // Same rows, same write ids; only versions that had moved are new.
    batch_->transaction = TransactionOf(batch_->entries);
    return foreign_.empty() ? Send() : RefuseForeign();
  }
  const auto& job = batch_->entries[index].record.job;
  table_.Read(
      StatusKey(job),
      scope_.OnLoop([this, index, took_effect](const store::ReadResult& it) {
        OnStatusVersion(index, took_effect, it);
      }));
}

void Recorder::OnStatusVersion(std::size_t index, bool took_effect,
                               const store::ReadResult& result) {
  const auto* row = std::get_if<std::optional<store::Row>>(&result);
  if (row == nullptr) return Retry(&Recorder::ReadBack);
  const auto& job = batch_->entries[index].record.job;
  versions_[job].status = *row ? (*row)->version : store::kAbsent;
  table_.Read(
      IntentKey(job),
      scope_.OnLoop([this, index, took_effect](const store::ReadResult& it) {
        OnIntentVersion(index, took_effect, it);
      }));
}

void Recorder::OnIntentVersion(std::size_t index, bool took_effect,
                               const store::ReadResult& result) {
  const auto* row = std::get_if<std::optional<store::Row>>(&result);
  if (row == nullptr) return Retry(&Recorder::ReadBack);
  const auto& entry = batch_->entries[index];
  auto& known = versions_[entry.record.job];
  const auto present = *row ? (*row)->version : store::kAbsent;
  const bool moved = present != known.intent;
  if (!took_effect && moved && ForeignIntentAt(entry, *row)) {
    foreign_.push_back(entry.record.job);
  }
  known.intent = present;
  ReadVersions(index + 1, took_effect);
}

bool Recorder::ForeignIntentAt(const Entry& entry,
                               const std::optional<store::Row>& row) const {
  const auto* put = std::get_if<PutIntent>(&entry.record.intent);
  if (put == nullptr || !row) return false;
  const auto intent = DecodeIntent(row->value);
  return !intent || intent->attempt != put->intent.attempt;
}

void Recorder::FinishBatch() {
  auto entries = std::move(batch_->entries);
  batch_.reset();
  Arm(base::Duration(0));
  for (auto& entry : entries) CallAll(entry.done, RecordResult::kRecorded);
}

void Recorder::RefuseForeign() {
  auto entries = std::exchange(batch_->entries, {});
  std::vector<Entry> refused;
  for (auto& entry : entries) {
    const auto& job = entry.record.job;
    const bool foreign =
        std::find(foreign_.begin(), foreign_.end(), job) != foreign_.end();
    auto& list = foreign ? refused : batch_->entries;
    list.push_back(std::move(entry));
  }
  foreign_.clear();
  Dissolve();
  Arm(base::Duration(0));
  for (auto& entry : refused) {
    CallAll(entry.done, RecordResult::kForeignIntent);
  }
}

void Recorder::Dissolve() {
  auto entries = std::move(batch_->entries);
  batch_.reset();
  auto later = std::exchange(pending_, {});
  place_of_.clear();
  for (auto& entry : entries) Enqueue(std::move(entry));
  for (auto& [place, entry] : later) Enqueue(std::move(entry));
}

void Recorder::Retry(void (Recorder::*step)()) {
  loop_.After(backoff_.Next(random_),
              scope_.Guard([this, step] { (this->*step)(); }));
}

void Recorder::NoteTable(bool out) {
  if (out == table_out_) return;
  table_out_ = out;
  if (out) return hooks_.table_lost();
  backoff_.Reset();
  hooks_.table_back();
}

}  // namespace lapishatch::scheduler::internal
