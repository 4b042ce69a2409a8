#ifndef LAPISHATCH_BASE_HEAP_H_
#define LAPISHATCH_BASE_HEAP_H_

namespace lapishatch::base {

/// Makes large blocks go back to the system when they are freed, however large
/// the blocks before them were. By default, glibc keeps blocks as large as the
/// largest freed one on the heap, where smaller ones pin them. Call before
/// threads start.
void KeepHeapCompact();

/// Gives free pages of the heap back to the system. Costs a walk over the
/// heap.
void ReleaseFreeHeap();

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_HEAP_H_
