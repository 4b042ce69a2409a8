#ifndef LAPISHATCH_HTTP_INTERNAL_STREAM_BUFFER_H_
#define LAPISHATCH_HTTP_INTERNAL_STREAM_BUFFER_H_

#include <cstddef>
#include <mutex>
#include <string>
#include <utility>

#include "http/resources.h"

namespace lapishatch::http::internal {

/// What waits between the writer of a stream, on any thread, and the
/// connection that sends it. Bounded: a peer that does not keep up loses the
/// stream rather than filling the memory. What waits is charged.
class StreamBuffer {
 public:
  /// Charges nothing without `resources`.
  explicit StreamBuffer(std::size_t limit, ResourcesPtr resources = nullptr)
      : limit_(limit), resources_(std::move(resources)) {
    if (!resources_) return;
    charge_ =
        resources_->MakeCharge(ResourceKind::kBytes, base::BudgetUse::kOutput);
  }

  enum class Added { kFirst, kMore, kRefused };

  /// kFirst: the buffer was empty, the connection is to be woken.
  Added Add(std::string bytes) {
    const std::lock_guard lock(mutex_);
    if (dead_ || ended_) return Added::kRefused;
    const auto backlog = waiting_.size() + in_flight_ + bytes.size();
    if (backlog > limit_ || !TryHold(backlog)) {
      dead_ = true;
      return Added::kRefused;
    }
    const bool was_empty = waiting_.empty();
    if (was_empty) {
      waiting_ = std::move(bytes);
    } else {
      waiting_ += bytes;
    }
    return was_empty ? Added::kFirst : Added::kMore;
  }

  /// Everything that waits; it counts as backlog until the next Take.
  std::string Take() {
    const std::lock_guard lock(mutex_);
    in_flight_ = waiting_.size();
    charge_.TryResize(in_flight_);
    return std::exchange(waiting_, {});
  }

  /// No more will be added; false when that was said before.
  bool End() {
    const std::lock_guard lock(mutex_);
    return !std::exchange(ended_, true);
  }

  /// Given up by its writer before its end; false when it had ended. Both marks
  /// are set at once: a broken stream is never seen as a whole one.
  bool Break() {
    const std::lock_guard lock(mutex_);
    if (ended_) return false;
    ended_ = true;
    dead_ = true;
    waiting_.clear();
    return true;
  }

  /// The peer is gone or too slow.
  void Kill() {
    const std::lock_guard lock(mutex_);
    dead_ = true;
    waiting_.clear();
  }

  /// Whether all of it was added and it was not given up.
  bool ended() const {
    const std::lock_guard lock(mutex_);
    return ended_ && !dead_;
  }

  bool dead() const {
    const std::lock_guard lock(mutex_);
    return dead_;
  }

 private:
  bool TryHold(std::size_t bytes) {
    return !resources_ ||
           resources_->TryHold(charge_, bytes, Resources::kKeepConnections);
  }

  const std::size_t limit_;
  const ResourcesPtr resources_;
  mutable std::mutex mutex_;
  std::string waiting_;
  std::size_t in_flight_ = 0;
  base::Charge charge_;
  bool ended_ = false;
  bool dead_ = false;
};

}  // namespace lapishatch::http::internal

#endif  // LAPISHATCH_HTTP_INTERNAL_STREAM_BUFFER_H_
