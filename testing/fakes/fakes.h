#ifndef LAPISHATCH_TESTING_FAKES_FAKES_H_
#define LAPISHATCH_TESTING_FAKES_FAKES_H_

/// Umbrella header of the fakes package: virtual time and what stands behind
/// the interfaces in tests.

#include "fakes/busy_processor.h"
#include "fakes/fake_group.h"
#include "fakes/fake_job_feed.h"
#include "fakes/fake_network.h"
#include "fakes/fake_objects.h"
#include "fakes/fake_owner_probe.h"
#include "fakes/fake_process.h"
#include "fakes/fake_row_store.h"
#include "fakes/fake_runners.h"
#include "fakes/fake_table.h"
#include "fakes/fake_task_workers.h"
#include "fakes/fake_workers.h"
#include "fakes/virtual_time.h"

#endif  // LAPISHATCH_TESTING_FAKES_FAKES_H_
