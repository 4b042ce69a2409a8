#ifndef LAPISHATCH_CTL_CTL_SETTINGS_H_
#define LAPISHATCH_CTL_CTL_SETTINGS_H_

#include <vector>

#include "config/config.h"

namespace lapishatch::ctl {

/// What lapishatchctl reads from its settings file.
struct CtlSettings {
  std::vector<http::Endpoint> entries;
};

/// The section [ctl].
config::Section Describe(CtlSettings& settings);

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_CTL_SETTINGS_H_
