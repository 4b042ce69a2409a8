#include "base/heap.h"

#include <malloc.h>

namespace lapishatch::base {

void KeepHeapCompact() {
#ifdef M_MMAP_THRESHOLD
  // The initial threshold of glibc; setting it keeps it from growing.
  constexpr int kLargeBlock = 128 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlock);
#endif
}

void ReleaseFreeHeap() {
#ifdef __GLIBC__
  ::malloc_trim(0);
#endif
}

}  // namespace lapishatch::base
