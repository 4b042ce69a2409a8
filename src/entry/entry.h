#ifndef LAPISHATCH_ENTRY_ENTRY_H_
#define LAPISHATCH_ENTRY_ENTRY_H_

/// Umbrella header of the entry package: what one entry VM serves to callers
/// and operators.

#include "entry/directories.h"
#include "entry/entry_options.h"
#include "entry/entry_process.h"
#include "entry/entry_view.h"
#include "entry/explanation.h"
#include "entry/owner_explainer.h"
#include "entry/platform_view.h"
#include "entry/preconditions.h"
#include "entry/refusal.h"
#include "entry/request_handler.h"
#include "entry/resource_api.h"
#include "entry/status_page.h"
#include "entry/system_view.h"
#include "entry/watch_handler.h"

#endif  // LAPISHATCH_ENTRY_ENTRY_H_
