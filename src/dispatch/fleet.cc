#include "dispatch/fleet.h"

#include <algorithm>

namespace lapishatch::dispatch {

bool FleetWorker::HasLabel(const std::string& label) const {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

jobs::Resources ResourcesPerTask(const jobs::Step& step) {
  auto out = step.needs;
  if (step.uses_spare_cpu) out.cpu_millis = 0;
  return out;
}

void Fleet::Put(const WorkerRegistration& registration) {
  auto& worker = workers_[registration.name];
  worker.name = registration.name;
  worker.rack = registration.rack;
  worker.domain = registration.domain;
  worker.address = registration.endpoint;
  worker.labels = registration.labels;
  worker.capacity = registration.capacity;
  worker.is_known = true;
}

void Fleet::Remove(const base::WorkerName& name) {
  const auto it = workers_.find(name);
  if (it == workers_.end()) return;
  if (it->second.used == jobs::Resources{}) {
    workers_.erase(it);
    return;
  }
  it->second.is_known = false;
  it->second.is_schedulable = false;
}

FleetWorker* Fleet::Find(const base::WorkerName& name) {
  const auto it = workers_.find(name);
  return it == workers_.end() ? nullptr : &it->second;
}

void Fleet::Allocate(const base::WorkerName& name,
                     const jobs::Resources& resources) {
  auto& worker = workers_[name];
  worker.name = name;
  worker.used += resources;
}

void Fleet::Release(const base::WorkerName& name,
                    const jobs::Resources& resources) {
  const auto it = workers_.find(name);
  if (it == workers_.end()) return;
  it->second.used -= resources;
  const bool is_unused = it->second.used == jobs::Resources{};
  if (!it->second.is_known && is_unused) workers_.erase(it);
}

void Fleet::AddSuspectTasks(const base::WorkerName& name, int n) {
  const auto it = workers_.find(name);
  if (it != workers_.end()) it->second.suspect_tasks += n;
}

}  // namespace lapishatch::dispatch
