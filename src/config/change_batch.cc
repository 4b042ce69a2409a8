#include "config/change_batch.h"

#include <boost/json/serialize.hpp>
#include <map>
#include <utility>

namespace lapishatch::config {
namespace {

constexpr std::size_t kLogCount = base::kEnumSize<LogId>;

constexpr std::size_t Index(LogId log) { return static_cast<std::size_t>(log); }

/// Puts planned sets together into one transaction.
class Builder {
 public:
  Builder(const LogHeads& heads, ChangeBatch& batch)
      : heads_(heads), batch_(batch) {}

  void Add(const PlannedChanges& plan) {
    for (std::size_t i = 0; i < kLogCount; ++i) {
      rests_on_[i] = rests_on_[i] || plan.rests_on[i];
    }
    std::array<std::vector<std::shared_ptr<LogEntry>>, kLogCount> added;
    for (const auto& planned : plan.entries) {
      const auto log = Index(LogOf(planned.resource->ref.kind));
      added[log].push_back(MakeEntry(planned));
      WriteRow(planned);
      if (planned.status_row_version) {
        batch_.transaction.conditions.push_back(
            {StatusKey(planned.resource->ref.name),
             *planned.status_row_version});
      }
    }
    for (std::size_t log = 0; log < kLogCount; ++log) {
      for (std::size_t i = 0; i < added[log].size(); ++i) {
        added[log][i]->more = i + 1 < added[log].size();
        batch_.entries[log].push_back(added[log][i]);
      }
    }
  }

  void Finish() {
    for (std::size_t i = 0; i < kLogCount; ++i) {
      const bool written = !batch_.entries[i].empty();
      if (written) WriteHead(static_cast<LogId>(i));
      if (!written && !rests_on_[i]) continue;
      batch_.transaction.conditions.push_back(
          {HeadKey(static_cast<LogId>(i)), heads_[i].row_version});
    }
    if (!batch_.writes()) {
      batch_.transaction = {};
      return;
    }
    for (auto& [key, value] : rows_) {
      batch_.transaction.writes.push_back({key, std::move(value)});
    }
  }

 private:
  std::shared_ptr<LogEntry> MakeEntry(const PlannedEntry& planned) const {
    auto entry = std::make_shared<LogEntry>();
    entry->version = planned.version;
    entry->type = planned.type;
    entry->resource = planned.resource;
    entry->attempt = batch_.attempt;
    return entry;
  }

  void WriteRow(const PlannedEntry& planned) {
    const auto& resource = *planned.resource;
    if (planned.type == EntryType::kPut) {
      rows_[ResourceKey(resource.ref)] =
          boost::json::serialize(ToStored(resource));
      return;
    }
    rows_[ResourceKey(resource.ref)] = std::nullopt;
    // A job that is submitted under the same name later is another one.
    if (resource.ref.kind == ResourceKind::kJob) {
      rows_[StatusKey(resource.ref.name)] = std::nullopt;
    }
  }

  void WriteHead(LogId log) {
    const auto i = Index(log);
    auto& head = batch_.heads[i];
    head = heads_[i];
    head.version = batch_.entries[i].back()->version;
    head.attempt = batch_.attempt;
    auto& writes = batch_.transaction.writes;
    batch_.head_writes[i] = writes.size();
    writes.push_back({HeadKey(log), ToText(head)});
    writes.push_back(
        {EntryKey(log, head.version), BatchText(batch_.entries[i])});
  }

  const LogHeads& heads_;
  ChangeBatch& batch_;
  std::array<bool, kLogCount> rests_on_{};
  /// The last value of each resource row.
  std::map<std::string, std::optional<std::string>> rows_;
};

ChangesAccepted AcceptedOf(const PlannedChanges& plan, const LogHeads& heads) {
  ChangesAccepted accepted;
  accepted.changes = plan.changes;
  for (std::size_t i = 0; i < kLogCount; ++i) {
    accepted.versions[i] = heads[i].version;
  }
  for (const auto& it : plan.entries) {
    accepted.versions[Index(LogOf(it.resource->ref.kind))] = it.version;
  }
  return accepted;
}

}  // namespace

std::string StatusKey(const std::string& job) { return "status/" + job; }

ChangeBatch MakeBatch(const std::vector<WaitingSet>& sets, const Mirror& mirror,
                      const LogHeads& heads, const Judge& judge) {
  ChangeBatch batch;
  batch.attempt = base::AttemptId(base::MakeUniqueText("c-"));
  batch.heads = heads;
  std::array<LogVersion, kLogCount> versions{};
  for (std::size_t i = 0; i < kLogCount; ++i) versions[i] = heads[i].version;
  Draft draft(mirror, versions);
  Builder builder(heads, batch);
  for (const auto& it : sets) {
    auto result = Plan(it.set, judge, draft);
    if (auto* refused = std::get_if<ChangesRefused>(&result)) {
      batch.outcomes.emplace_back(std::move(*refused));
      continue;
    }
    const auto& plan = std::get<PlannedChanges>(result);
    batch.outcomes.emplace_back(AcceptedOf(plan, heads));
    if (!it.set.dry_run) builder.Add(plan);
  }
  builder.Finish();
  return batch;
}

}  // namespace lapishatch::config
