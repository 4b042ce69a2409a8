#ifndef LAPISHATCH_BASE_INTERNAL_EVENT_RING_H_
#define LAPISHATCH_BASE_INTERNAL_EVENT_RING_H_

#include <string>

namespace lapishatch::base::internal {

/// Remembers an event for RecentEvents.
void Remember(int number, std::string text);

}  // namespace lapishatch::base::internal

#endif  // LAPISHATCH_BASE_INTERNAL_EVENT_RING_H_
