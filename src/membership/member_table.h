#ifndef LAPISHATCH_MEMBERSHIP_MEMBER_TABLE_H_
#define LAPISHATCH_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "membership/member.h"

namespace lapishatch::membership {

/// What one process knows of all members, itself among them. Merging the same
/// records in any order, any number of times, gives the same table. Pure.
class MemberTable {
 public:
  /// Takes `record` if it is newer than what is known. A record of somebody
  /// who is gone is not taken when nobody of that name was known.
  bool Merge(const MemberRecord& record, base::TimePoint now);

  /// The record of `name`, or null. Valid until the next Merge or Forget.
  const MemberRecord* Find(const ProcessName& name) const;

  /// Present members of `domain`, by name.
  std::vector<const MemberRecord*> PresentIn(
      const base::DomainName& domain) const;

  /// All present members, by name.
  std::vector<const MemberRecord*> Present() const;

  /// Every record, those who are gone included, by name.
  std::vector<const MemberRecord*> All() const;

  /// The failure domains that have a present member.
  std::vector<base::DomainName> Domains() const;

  /// The `n` present members of `domain` whose hash with `key` is highest
  /// (rendezvous hashing): a member that comes or goes moves only the choices
  /// that it takes or had.
  std::vector<const MemberRecord*> Choose(const base::DomainName& domain,
                                          std::string_view key,
                                          std::size_t n) const;

  /// Of all present members; the same in two tables that hold the same.
  std::uint64_t hash() const { return hash_; }

  std::vector<wire::DomainHash> DomainHashes() const;

  /// Forgets those who have been gone since before `limit`.
  void ForgetGone(base::TimePoint limit);

 private:
  struct Entry {
    MemberRecord record;
    std::uint64_t hash = 0;
    base::TimePoint changed;
  };

  void Count(const Entry& entry);

  std::map<ProcessName, Entry> entries_;
  /// Exclusive or of the hashes of the present members.
  std::uint64_t hash_ = 0;
  std::map<base::DomainName, std::uint64_t> domain_hashes_;
};

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_MEMBER_TABLE_H_
