#ifndef LAPISHATCH_ENTRY_STATUS_PAGE_H_
#define LAPISHATCH_ENTRY_STATUS_PAGE_H_

#include "config/config.h"
#include "entry/system_view.h"
#include "http/http.h"
#include "membership/membership.h"

namespace lapishatch::entry {

/// What /v1/status is made of.
struct StatusSource {
  /// Who answers.
  const config::ProcessSettings& process;
  const base::Incarnation& incarnation;
  const config::Mirror& mirror;
  const SystemView& system;
  /// What the processes say of themselves, this one among them; who is missing
  /// was silent.
  const membership::ProcessStatuses& answers;
};

/// The answer to GET /v1/status.
http::Response StatusPage(const StatusSource& source);

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_STATUS_PAGE_H_
