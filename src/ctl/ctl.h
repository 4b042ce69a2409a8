#ifndef LAPISHATCH_CTL_CTL_H_
#define LAPISHATCH_CTL_CTL_H_

/// Umbrella header of the ctl package: what stands behind `lapishatchctl`.

#include "ctl/api_client.h"
#include "ctl/commands.h"
#include "ctl/ctl_settings.h"
#include "ctl/error.h"
#include "ctl/settings_check.h"
#include "ctl/status_view.h"
#include "ctl/text_table.h"
#include "ctl/views.h"
#include "ctl/watch.h"

#endif  // LAPISHATCH_CTL_CTL_H_
