#ifndef LAPISHATCH_MEMBERSHIP_MEMBER_H_
#define LAPISHATCH_MEMBERSHIP_MEMBER_H_

#include <cstdint>

#include "wire/wire.h"

namespace lapishatch::membership {

using wire::MemberRecord;
using wire::MemberState;
using wire::ProcessName;

/// Whether the member may be running: it counts where work or messages are
/// given out. A suspect does, so that one lost answer moves nothing.
constexpr bool IsPresent(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/// Whether two records are of the same life of the same process.
bool IsSameLife(const MemberRecord& a, const MemberRecord& b);

/// Whether `a` replaces `b`, a record of the same process name. Lives are
/// ordered by generation, then by incarnation. Within a life, goodbye is final;
/// else the higher refutation wins, and at the same refutation the graver
/// state: alive < suspect < dead.
bool IsNewer(const MemberRecord& a, const MemberRecord& b);

/// A hash of the whole record.
std::uint64_t HashOf(const MemberRecord& record);

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_MEMBER_H_
