#ifndef LAPISHATCH_STORE_STORE_H_
#define LAPISHATCH_STORE_STORE_H_

/// Umbrella header of the store package: the platform's table, object store and
/// VM list behind narrow interfaces, and their HTTP implementations.

#include "store/http_platform.h"
#include "store/object_store.h"
#include "store/table.h"
#include "store/vm_list.h"

#endif  // LAPISHATCH_STORE_STORE_H_
