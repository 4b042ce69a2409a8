#ifndef LAPISHATCH_TESTING_MATRIX_INTERNAL_GANG_PROCESS_H_
#define LAPISHATCH_TESTING_MATRIX_INTERNAL_GANG_PROCESS_H_

#include <memory>

#include "fakes/fakes.h"
#include "scheduler/scheduler.h"

namespace lapishatch::matrix::internal {

/// The cell of every run.
inline const base::CellName& Cell() {
  static const base::CellName kName("caxias-hall-1");
  return kName;
}

/// One life of one scheduler process.
struct GangProcess {
  GangProcess(fakes::VirtualTime& time, fakes::FakeTable& fake_table,
              fakes::FakeWorkers& fake_workers, fakes::FakeOwners& owners)
      : incarnation(base::MakeUniqueText("scheduler-")),
        loop(time),
        table(fake_table, loop),
        workers(fake_workers, loop),
        probe(owners, loop) {}

  base::Incarnation incarnation;
  http::Endpoint endpoint;
  fakes::FakeProcess loop;
  fakes::FakeTableView table;
  fakes::FakeWorkersView workers;
  fakes::FakeOwnerProbe probe;
  bool paused = false;
  std::unique_ptr<scheduler::CellOwner> owner;
};

using GangProcessPtr = std::shared_ptr<GangProcess>;

}  // namespace lapishatch::matrix::internal

#endif  // LAPISHATCH_TESTING_MATRIX_INTERNAL_GANG_PROCESS_H_
