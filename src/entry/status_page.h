#ifndef LAPISHATCH_ENTRY_STATUS_PAGE_H_
#define LAPISHATCH_ENTRY_STATUS_PAGE_H_

#include "config/config.h"
#include "entry/system_view.h"
#include "http/http.h"

namespace lapishatch::entry {

/// Who answers, for /v1/status.
struct StatusSource {
  const config::ProcessSettings& process;
  const base::Incarnation& incarnation;
  const config::Mirror& mirror;
  const SystemView& system;
};

/// The answer to GET /v1/status.
http::Response StatusPage(const StatusSource& source);

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_STATUS_PAGE_H_
