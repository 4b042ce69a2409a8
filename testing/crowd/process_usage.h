#ifndef LAPISHATCH_TESTING_CROWD_PROCESS_USAGE_H_
#define LAPISHATCH_TESTING_CROWD_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>

namespace lapishatch::crowd {

/// Peak resident memory of a process since its start, in bytes; 0 if there is
/// no such process.
std::size_t PeakMemory(pid_t process);

/// Resident memory of a process now, in bytes; 0 if there is no such process.
std::size_t PresentMemory(pid_t process);

/// Descriptors that a process has open.
std::size_t OpenDescriptors(pid_t process);

}  // namespace lapishatch::crowd

#endif  // LAPISHATCH_TESTING_CROWD_PROCESS_USAGE_H_
