#ifndef LAPISHATCH_PLACEMENT_SHAPE_H_
#define LAPISHATCH_PLACEMENT_SHAPE_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

#include "base/base.h"

namespace lapishatch::placement {

/// How close together the accelerators of one gang or one guaranteed shape must
/// be.
enum class Adjacency : std::uint8_t {
  /// All on one worker.
  kWorker,
  /// All in one rack.
  kRack,
  /// Anywhere in one failure domain.
  kDomain,
};

/// A block of accelerators of one adjacency, the unit in which guarantees are
/// given.
struct Shape {
  int accelerators = 0;
  Adjacency adjacency = Adjacency::kRack;

  friend auto operator<=>(const Shape&, const Shape&) = default;
};

/// `count` blocks of `shape` that one organisation can reclaim at any time.
struct Guarantee {
  base::OrganisationName organisation;
  Shape shape;
  int count = 0;

  friend bool operator==(const Guarantee&, const Guarantee&) = default;
};

}  // namespace lapishatch::placement

namespace lapishatch::base {
template <>
struct EnumNames<placement::Adjacency> {
  static constexpr std::array<std::string_view, 3> kNames = {"worker", "rack",
                                                             "domain"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_PLACEMENT_SHAPE_H_
