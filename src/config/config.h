#ifndef LAPISHATCH_CONFIG_CONFIG_H_
#define LAPISHATCH_CONFIG_CONFIG_H_

/// Umbrella header of the config package: a program's settings, the operators'
/// resources, their validation and their change logs.

#include "config/flags.h"
#include "config/program.h"
#include "config/resources.h"
#include "config/settings.h"

#endif  // LAPISHATCH_CONFIG_CONFIG_H_
