#ifndef LAPISHATCH_CONFIG_CONFIG_H_
#define LAPISHATCH_CONFIG_CONFIG_H_

/// Umbrella header of the config package: a program's settings, the operators'
/// resources, their validation and their change logs.

#include "config/capacity.h"
#include "config/change.h"
#include "config/change_source.h"
#include "config/change_writer.h"
#include "config/domain_choice.h"
#include "config/flags.h"
#include "config/housekeeper.h"
#include "config/json_reader.h"
#include "config/log_entry.h"
#include "config/mirror.h"
#include "config/program.h"
#include "config/resource.h"
#include "config/resource_codec.h"
#include "config/resources.h"
#include "config/settings.h"
#include "config/watch.h"

#endif  // LAPISHATCH_CONFIG_CONFIG_H_
