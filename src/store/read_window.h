#ifndef LAPISHATCH_STORE_READ_WINDOW_H_
#define LAPISHATCH_STORE_READ_WINDOW_H_

#include <algorithm>

#include "base/base.h"

namespace lapishatch::store {

/// How many parts of a table may be read at once, by how long each takes. Whole
/// tables read at once over a thin link would hold up a lease's renewals behind
/// them for seconds; over a store that is merely slow, many at once are best.
class ReadWindow {
 public:
  int size() const { return size_; }

  /// A part was read in `took`. One that takes clearly longer than the quickest
  /// has waited behind others.
  void OnRead(base::Duration took) {
    least_ = std::min(least_, took);
    const bool has_waited = took > 2 * least_ + kSlack;
    size_ =
        has_waited ? std::max(size_ / 2, kLeast) : std::min(size_ + 1, kMost);
  }

 private:
  static constexpr int kFirst = 8;
  static constexpr int kLeast = 2;
  static constexpr int kMost = 64;
  /// Far below what a renewal may take.
  static constexpr base::Duration kSlack{100};

  int size_ = kFirst;
  base::Duration least_ = base::Duration::max() / 4;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_READ_WINDOW_H_
