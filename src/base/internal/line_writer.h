#ifndef LAPISHATCH_BASE_INTERNAL_LINE_WRITER_H_
#define LAPISHATCH_BASE_INTERNAL_LINE_WRITER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace lapishatch::base::internal {

/// Writes whole lines to a file descriptor without ever waiting for its reader:
/// a line that a full pipe does not take is left out, and so is one of a kind
/// of which a second has had its share. The next line that is written says how
/// many were left out. Safe from several threads.
class LineWriter {
 public:
  /// Lines of one kind in a second. A standard day with 48 workers had at most
  /// 125 of its most frequent kind; with 350 workers bursts reach the bound and
  /// lines are left out.
  static constexpr int kLinesPerSecond = 300;

  /// A pipe that can be written to takes so much at once.
  static constexpr std::size_t kMaxLineBytes = 4'000;

  explicit LineWriter(int descriptor) : descriptor_(descriptor) {}

  /// `kind` is what the share is counted by. A longer line is cut.
  void Write(int kind, std::string line, TimePoint now);

  std::uint64_t left_out() const;

 private:
  bool HasShare(int kind, TimePoint now);
  bool WriteNow(const std::string& line);

  mutable std::mutex mutex_;
  const int descriptor_;
  std::map<int, int> written_;
  TimePoint second_{};
  std::uint64_t left_out_ = 0;
  std::uint64_t left_out_told_ = 0;
};

}  // namespace lapishatch::base::internal

#endif  // LAPISHATCH_BASE_INTERNAL_LINE_WRITER_H_
