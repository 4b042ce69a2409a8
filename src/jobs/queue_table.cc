#include "jobs/queue_table.h"

#include <algorithm>
#include <utility>

namespace lapishatch::jobs {

QueueTable::QueueTable(QueueConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (const auto& it : configuration_.queues) {
    by_host_[it.host].push_back(&it);
  }
  for (auto& [host, queues] : by_host_) {
    std::stable_sort(queues.begin(), queues.end(),
                     [](const Queue* a, const Queue* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const auto& organisation : configuration_.organisations) {
    for (const auto& key : organisation.api_keys) by_key_[key] = &organisation;
  }
}

const Queue* QueueTable::FindQueue(std::string_view host,
                                   std::string_view path) const {
  const auto it = by_host_.find(host.substr(0, host.find(':')));
  if (it == by_host_.end()) return nullptr;
  for (const auto* queue : it->second) {
    if (path.starts_with(queue->path_prefix)) return queue;
  }
  return nullptr;
}

const QueueOrganisation* QueueTable::FindOrganisationByKey(
    std::string_view key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : it->second;
}

}  // namespace lapishatch::jobs
