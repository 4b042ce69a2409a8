#ifndef LAPISHATCH_STORE_STORE_H_
#define LAPISHATCH_STORE_STORE_H_

/// Umbrella header of the store package: the platform's table, object store and
/// VM list behind narrow interfaces, their HTTP implementations, and what makes
/// the table cheap and safe to use: group commit and reading back.

#include "store/commit_patience.h"
#include "store/feed_follower.h"
#include "store/group_commit.h"
#include "store/http_platform.h"
#include "store/object_store.h"
#include "store/read_back.h"
#include "store/read_window.h"
#include "store/row_store.h"
#include "store/store_health.h"
#include "store/table.h"
#include "store/vm_list.h"

#endif  // LAPISHATCH_STORE_STORE_H_
