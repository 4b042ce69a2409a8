#ifndef LAPISHATCH_DISPATCH_INTERNAL_TASK_TEXT_H_
#define LAPISHATCH_DISPATCH_INTERNAL_TASK_TEXT_H_

#include <string>

#include "jobs/job.h"

namespace lapishatch::dispatch::internal {

/// Returns "job/occurrence/step/index", for logs.
inline std::string TextOf(const jobs::TaskName& task) {
  return task.job.str() + '/' + std::to_string(task.occurrence) + '/' +
         std::to_string(task.step) + '/' + std::to_string(task.index);
}

}  // namespace lapishatch::dispatch::internal

#endif  // LAPISHATCH_DISPATCH_INTERNAL_TASK_TEXT_H_
