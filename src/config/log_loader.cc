#include "config/log_loader.h"

#include <algorithm>
#include <utility>

#include "config/log_replica.h"
#include "config/row_reader.h"

namespace lapishatch::config {
LogVersion LastChange(const Resource& resource) {
  return std::max(resource.version, resource.status_version);
}

void LogLoader::Load(LoopTable& table, LogId log, Limits limits, Done done) {
  const std::shared_ptr<LogLoader> loader(
      new LogLoader(table, log, limits, std::move(done)));
  loader->ReadHead();
}

LogLoader::LogLoader(LoopTable& table, LogId log, Limits limits, Done done)
    : table_(table),
      log_(log),
      limits_(limits),
      done_(std::move(done)),
      kinds_(KindsOf(log)) {}

void LogLoader::ReadHead() {
  table_.Scan(HeadKey(log_), "", 1,
              [self = shared_from_this()](const store::ScanResult& result) {
                self->TakeHead(result);
              });
}

void LogLoader::TakeHead(const store::ScanResult& result) {
  const auto* page = std::get_if<store::RowPage>(&result);
  if (page == nullptr) {
    Fail(std::get<store::ReadFailed>(result).detail);
    return;
  }
  if (!page->rows.empty()) {
    const auto head = HeadOf(page->rows.front());
    if (!head) {
      Fail("the head row makes no sense");
      return;
    }
    head_ = *head;
  }
  ReadKind(0, "");
}

void LogLoader::ReadKind(std::size_t kind_index, std::string after) {
  if (kind_index == kinds_.size()) {
    const auto oldest_wanted =
        head_.version > limits_.recent ? head_.version - limits_.recent : 0;
    const auto oldest_kept = head_.first_kept > 0 ? head_.first_kept - 1 : 0;
    ReadEntries(EntryKey(log_, std::max(oldest_wanted, oldest_kept)));
    return;
  }
  table_.Scan(
      ResourcePrefix(kinds_[kind_index]), std::move(after), limits_.page,
      [self = shared_from_this(), kind_index](const store::ScanResult& result) {
        self->TakeKind(kind_index, result);
      });
}

void LogLoader::TakeKind(std::size_t kind_index,
                         const store::ScanResult& result) {
  const auto* page = std::get_if<store::RowPage>(&result);
  if (page == nullptr) {
    Fail(std::get<store::ReadFailed>(result).detail);
    return;
  }
  for (const auto& row : page->rows) {
    auto resource = ResourceOf(row);
    if (!resource) {
      Fail("a resource row makes no sense");
      return;
    }
    auto ref = resource->ref;
    resources_[std::move(ref)] =
        std::make_shared<const Resource>(std::move(*resource));
  }
  if (page->more) {
    ReadKind(kind_index, page->rows.back().key);
  } else {
    ReadKind(kind_index + 1, "");
  }
}

void LogLoader::ReadEntries(std::string after) {
  table_.Scan(EntryPrefix(log_), std::move(after), limits_.page,
              [self = shared_from_this()](const store::ScanResult& result) {
                self->TakeEntries(result);
              });
}

void LogLoader::TakeEntries(const store::ScanResult& result) {
  const auto* page = std::get_if<store::RowPage>(&result);
  if (page == nullptr) {
    Fail(std::get<store::ReadFailed>(result).detail);
    return;
  }
  for (const auto& row : page->rows) {
    const auto batch = BatchOf(row);
    if (!batch) {
      Fail("an entry row makes no sense");
      return;
    }
    entries_.insert(entries_.end(), batch->begin(), batch->end());
  }
  if (page->more) {
    ReadEntries(page->rows.back().key);
    return;
  }
  if (!IsConsecutive()) {
    Fail("the entries have a gap");
    return;
  }
  Replay();
  Finish();
}

/// A row may be newer than an entry, when it was read after the entry's change;
/// then the row stays.
void LogLoader::Replay() {
  for (const auto& entry : entries_) {
    const auto& ref = entry->resource->ref;
    const auto it = resources_.find(ref);
    const auto have =
        it == resources_.end() ? LogVersion{0} : LastChange(*it->second);
    if (have >= entry->version) continue;
    if (entry->type == EntryType::kPut) {
      resources_[ref] = entry->resource;
    } else if (it != resources_.end()) {
      resources_.erase(it);
    }
  }
}

bool LogLoader::IsConsecutive() const {
  for (std::size_t i = 1; i < entries_.size(); ++i) {
    if (entries_[i]->version != entries_[i - 1]->version + 1) return false;
  }
  return entries_.empty() || entries_.back()->version >= head_.version;
}

void LogLoader::Finish() {
  LogSnapshot snapshot;
  snapshot.log = log_;
  snapshot.version =
      entries_.empty() ? head_.version : entries_.back()->version;
  for (const auto& [ref, resource] : resources_) {
    snapshot.resources.push_back(resource);
  }
  snapshot.recent = std::move(entries_);
  done_(std::move(snapshot));
}

void LogLoader::Fail(const std::string& detail) {
  base::Log(base::events::kLogUnreadable,
            {{"log", base::NameOf(log_)}, {"detail", detail}});
  done_(std::nullopt);
}

}  // namespace lapishatch::config
