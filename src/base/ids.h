#ifndef LAPISHATCH_BASE_IDS_H_
#define LAPISHATCH_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lapishatch::base {

/// A string that names one kind of thing and cannot be mixed up with the name
/// of another kind.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text_(std::move(text)) {}

  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend bool operator==(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.text_;
  }

 private:
  std::string text_;
};

using OrganisationName = Id<struct OrganisationTag>;
using ServiceName = Id<struct ServiceTag>;
using JobName = Id<struct JobTag>;
using WorkerName = Id<struct WorkerTag>;
using RunnerName = Id<struct RunnerTag>;
using RackName = Id<struct RackTag>;
using CellName = Id<struct CellTag>;
using DomainName = Id<struct DomainTag>;

/// One life of one process: a restart under the same name and address has
/// another incarnation.
using Incarnation = Id<struct IncarnationTag>;

/// One attempt to run a job or to write a row; unique for ever.
using AttemptId = Id<struct AttemptTag>;

/// Names a caller's request in answers and logs.
using RequestId = Id<struct RequestTag>;

/// The caller's name for a non-idempotent request: the same key never runs
/// twice.
using IdempotencyKey = Id<struct IdempotencyKeyTag>;

/// A new identifier of 128 random bits, as 32 hexadecimal digits, with `prefix`
/// in front. Safe from several threads.
std::string MakeUniqueText(const std::string& prefix);

/// Makes the identifiers that the calling thread draws from now on, and every
/// generator seeded from one, follow from `seed`. For simulations that must be
/// repeatable; identifiers of other threads and processes may then collide.
void SeedUniqueText(std::uint64_t seed);

}  // namespace lapishatch::base

template <typename Tag>
struct std::hash<lapishatch::base::Id<Tag>> {
  std::size_t operator()(const lapishatch::base::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.str());
  }
};

#endif  // LAPISHATCH_BASE_IDS_H_
