#include "base/internal/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

namespace lapishatch::base::internal {

void LineWriter::Write(int kind, std::string line, TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (line.size() >= kMaxLineBytes) line.resize(kMaxLineBytes - 1);
  line += '\n';
  if (!HasShare(kind, now)) {
    ++left_out_;
    return;
  }
  const auto missing = left_out_ - left_out_told_;
  if (missing > 0) {
    const auto note = "lines_left_out=" + std::to_string(missing) + '\n';
    if (WriteNow(note)) left_out_told_ = left_out_;
  }
  if (!WriteNow(line)) ++left_out_;
}

std::uint64_t LineWriter::left_out() const {
  const std::lock_guard lock(mutex_);
  return left_out_;
}

bool LineWriter::HasShare(int kind, TimePoint now) {
  constexpr Duration kSecond{1'000};
  if (now - second_ >= kSecond) {
    second_ = now;
    written_.clear();
  }
  return ++written_[kind] <= kLinesPerSecond;
}

/// The descriptor's flags are left alone, since others may share it: a pipe
/// that is ready takes a line of this length whole.
bool LineWriter::WriteNow(const std::string& line) {
  pollfd ready{descriptor_, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  const auto n = ::write(descriptor_, line.data(), line.size());
  return n == static_cast<ssize_t>(line.size());
}

}  // namespace lapishatch::base::internal
