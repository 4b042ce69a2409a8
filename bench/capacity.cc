// Slopes that docs/CAPACITY.md builds on and that no other program here
// measures: the memory of a job and of an organisation in the mirror that every
// process keeps, and their size in a change log.

#include <malloc.h>

#include <cstddef>
#include <cstdio>
#include <memory>
#include <string>

#include "config/config.h"

namespace lapishatch::bench {
namespace {

using config::LogId;
using config::LogReplica;
using config::LogSnapshot;
using config::Resource;

constexpr std::size_t kHistory = 2'048;
constexpr int kGuarantees = 2;
constexpr int kTasks = 8;

std::size_t HeapInUse() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

config::ResourcePtr MakeOrganisation(std::size_t i) {
  config::OrganisationSpec spec;
  for (int n = 0; n < kGuarantees; ++n) {
    spec.guarantees.push_back({base::DomainName("caxias-hall"),
                               {16, placement::Adjacency::kRack},
                               1});
  }
  auto resource = std::make_shared<Resource>();
  resource->ref = {config::ResourceKind::kOrganisation,
                   "organisation-" + std::to_string(i)};
  resource->version = i + 1;
  resource->spec = spec;
  resource->changed_by = "operator-17";
  return resource;
}

config::ResourcePtr MakeJob(std::size_t i) {
  config::JobSpec spec;
  spec.organisation = base::OrganisationName("organisation-17");
  spec.tasks = kTasks;
  spec.needs = {1, 8, 32'768};
  spec.payload = R"({"image":"coverage-map","tile":12345,"resolution_m":30})";
  config::JobStatus status;
  status.phase = config::JobPhase::kRunning;
  status.cell = base::CellName("caxias-hall-1");
  status.domain = base::DomainName("caxias-hall");
  status.attempt = base::AttemptId(base::MakeUniqueText("attempt-"));
  status.attempts = 1;
  for (int n = 0; n < kTasks; ++n) {
    status.members.push_back(
        {n, base::WorkerName("worker-" + std::to_string(i % 650)), 1});
  }
  auto resource = std::make_shared<Resource>();
  resource->ref = {config::ResourceKind::kJob,
                   "coverage-map-" + std::to_string(i)};
  resource->version = i + 1;
  resource->spec = spec;
  resource->status = status;
  resource->changed_by = "operator-17";
  return resource;
}

/// Prints heap bytes and log bytes of one resource, as the mean over `n`.
void Measure(const char* kind, LogId log, std::size_t n,
             config::ResourcePtr (*make)(std::size_t)) {
  const auto before = HeapInUse();
  LogReplica replica(log, kHistory);
  {
    LogSnapshot snapshot;
    snapshot.log = log;
    snapshot.version = n;
    for (std::size_t i = 0; i < n; ++i) snapshot.resources.push_back(make(i));
    replica.Install(snapshot);
  }
  const auto per_one = (HeapInUse() - before) / n;
  std::printf("capacity.%s_heap %zu bytes\n", kind, per_one);
  config::LogEntry entry;
  entry.version = n;
  entry.resource = make(n);
  entry.attempt = base::AttemptId(base::MakeUniqueText("write-"));
  std::printf("capacity.%s_log_entry %zu bytes\n", kind,
              config::ToText(entry).size());
}

}  // namespace
}  // namespace lapishatch::bench

int main() {
  using lapishatch::bench::Measure;
  using lapishatch::config::LogId;
  Measure("organisation", LogId::kConfig, 730,
          lapishatch::bench::MakeOrganisation);
  Measure("job", LogId::kJobs, 28'000, lapishatch::bench::MakeJob);
  return 0;
}
