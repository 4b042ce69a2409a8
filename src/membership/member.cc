#include "membership/member.h"

#include <xxhash.h>

#include <string>
#include <tuple>

namespace lapishatch::membership {
namespace {

/// Ends each part, so that moving a letter from one to the next changes the
/// hash.
constexpr char kSeparator = '\0';

}  // namespace

bool IsSameLife(const MemberRecord& a, const MemberRecord& b) {
  return a.identity.incarnation == b.identity.incarnation;
}

bool IsNewer(const MemberRecord& a, const MemberRecord& b) {
  if (!IsSameLife(a, b)) {
    return std::tie(a.generation, a.identity.incarnation) >
           std::tie(b.generation, b.identity.incarnation);
  }
  const bool a_left = a.state == MemberState::kLeft;
  const bool b_left = b.state == MemberState::kLeft;
  if (a_left != b_left) return a_left;
  return std::tie(a.generation, a.refutation, a.state) >
         std::tie(b.generation, b.refutation, b.state);
}

std::uint64_t HashOf(const MemberRecord& record) {
  const auto& it = record.identity;
  std::string text = it.name.str();
  for (const auto& part :
       {it.domain.str(), it.incarnation.str(), wire::TextOf(it.endpoint),
        std::to_string(record.generation), std::to_string(record.refutation),
        std::to_string(static_cast<int>(record.state))}) {
    text += kSeparator;
    text += part;
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace lapishatch::membership
