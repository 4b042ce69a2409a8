#include "membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace lapishatch::membership {

bool MemberTable::Merge(const MemberRecord& record, base::TimePoint now) {
  const auto it = entries_.find(record.identity.name);
  if (it == entries_.end()) {
    if (!IsPresent(record.state)) return false;
    const Entry entry{record, HashOf(record), now};
    Count(entry);
    entries_.emplace(record.identity.name, entry);
    return true;
  }
  if (!IsNewer(record, it->second.record)) return false;
  Count(it->second);
  it->second = Entry{record, HashOf(record), now};
  Count(it->second);
  return true;
}

const MemberRecord* MemberTable::Find(const ProcessName& name) const {
  const auto it = entries_.find(name);
  return it == entries_.end() ? nullptr : &it->second.record;
}

std::vector<const MemberRecord*> MemberTable::PresentIn(
    const base::DomainName& domain) const {
  auto out = Present();
  std::erase_if(out,
                [&](const auto* it) { return it->identity.domain != domain; });
  return out;
}

std::vector<const MemberRecord*> MemberTable::Present() const {
  auto out = All();
  std::erase_if(out, [](const auto* it) { return !IsPresent(it->state); });
  return out;
}

std::vector<const MemberRecord*> MemberTable::All() const {
  std::vector<const MemberRecord*> out;
  out.reserve(entries_.size());
  for (const auto& [name, it] : entries_) out.push_back(&it.record);
  return out;
}

std::vector<base::DomainName> MemberTable::Domains() const {
  std::set<base::DomainName> domains;
  for (const auto* it : Present()) domains.insert(it->identity.domain);
  return {domains.begin(), domains.end()};
}

std::vector<const MemberRecord*> MemberTable::Choose(
    const base::DomainName& domain, std::string_view key, std::size_t n) const {
  using Scored = std::pair<std::uint64_t, const MemberRecord*>;
  std::vector<Scored> scored;
  for (const auto* it : PresentIn(domain)) {
    const auto& name = it->identity.name.str();
    const auto seed = XXH3_64bits(key.data(), key.size());
    scored.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), seed),
                        it);
  }
  std::sort(scored.begin(), scored.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  scored.resize(std::min(n, scored.size()));
  std::vector<const MemberRecord*> out;
  out.reserve(scored.size());
  for (const auto& it : scored) out.push_back(it.second);
  return out;
}

std::vector<wire::DomainHash> MemberTable::DomainHashes() const {
  std::vector<wire::DomainHash> out;
  for (const auto& [domain, hash] : domain_hashes_) {
    if (hash != 0) out.push_back({domain, hash});
  }
  return out;
}

void MemberTable::ForgetGone(base::TimePoint limit) {
  std::erase_if(entries_, [&](const auto& it) {
    return !IsPresent(it.second.record.state) && it.second.changed < limit;
  });
}

/// Adds a present member to the hashes, or takes it out again.
void MemberTable::Count(const Entry& entry) {
  if (!IsPresent(entry.record.state)) return;
  hash_ ^= entry.hash;
  domain_hashes_[entry.record.identity.domain] ^= entry.hash;
}

}  // namespace lapishatch::membership
