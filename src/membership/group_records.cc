// How a group takes in what it hears of members, itself among them.

#include <algorithm>
#include <utility>

#include "membership/group.h"

namespace lapishatch::membership {
namespace {

/// Between two whole exchanges of records that this process begins.
constexpr base::Duration kSyncGap{300};

void LogState(const MemberRecord& record) {
  const auto& it = record.identity;
  const auto fields = {base::LogField("member", it.name),
                       base::LogField("domain", it.domain),
                       base::LogField("incarnation", it.incarnation)};
  switch (record.state) {
    case MemberState::kAlive:
      base::Log(base::events::kMemberAlive, fields);
      return;
    case MemberState::kSuspect:
      base::Log(base::events::kMemberSuspect, fields);
      return;
    case MemberState::kDead:
      base::Log(base::events::kMemberDead, fields);
      return;
    case MemberState::kLeft:
      base::Log(base::events::kMemberLeft, fields);
      return;
  }
}

}  // namespace

wire::Digest Group::MakeDigest() const {
  wire::Digest digest;
  digest.generation = generation_;
  digest.refutation = refutation_;
  digest.view_hash = table_.hash();
  if (hooks_.heads) digest.heads = hooks_.heads();
  if (IsRelay()) {
    for (const auto& it : table_.Domains()) {
      if (IsDomainSilent(it)) digest.unreachable_domains.push_back(it);
    }
  }
  return digest;
}

MemberRecord Group::SelfRecord() const {
  return MemberRecord{self(), generation_, refutation_, MemberState::kAlive};
}

/// A message says that its sender lives. Where that is no news but an older
/// life, or one that is held for gone, the sender is told, so that it can
/// object or stop.
void Group::Hear(const wire::Identity& from, const wire::Digest& digest) {
  last_heard_[from.domain] = loop_.Now();
  if (!contacted_) {
    contacted_ = true;
    first_contact_ = loop_.Now();
  }
  const MemberRecord said{from, digest.generation, digest.refutation,
                          MemberState::kAlive};
  if (Take(said)) {
    if (!IsJoining()) Gossip({said});
  } else if (const auto* known = table_.Find(from.name);
             known != nullptr && IsNewer(*known, said)) {
    transport_.Send(PeerOf(from), wire::Members{{*known}, {}});
  }
  if (IsOwnDomain(from)) {
    relay_words_[from.name] = RelayWord{
        {digest.unreachable_domains.begin(), digest.unreachable_domains.end()}};
  }
  if (hooks_.on_heads) hooks_.on_heads(from, digest.heads);
}

/// Merges a record and does what follows from it. Whether it was news.
bool Group::Take(const MemberRecord& record) {
  if (record.identity.name == self().name) {
    TakeOwn(record);
    return false;
  }
  const auto* known = table_.Find(record.identity.name);
  const bool was_present =
      known != nullptr && IsPresent(known->state) && IsSameLife(*known, record);
  const bool same_state = known != nullptr && known->state == record.state;
  if (!table_.Merge(record, loop_.Now())) return false;
  if (!was_present || !same_state) LogState(record);
  if (record.state == MemberState::kSuspect && IsOwnDomain(record.identity)) {
    WatchSuspect(record);
  } else {
    ForgetSuspicion(record.identity.name);
  }
  Changed();
  return true;
}

/// What others hold of this process's name.
void Group::TakeOwn(const MemberRecord& record) {
  if (!running_) return;
  const auto own = SelfRecord();
  if (!IsNewer(record, own)) return;
  if (!IsSameLife(record, own)) {
    if (IsJoining() || !IsPresent(record.state)) {
      Outbid(record.generation);
    } else {
      BeSuperseded();
    }
    return;
  }
  if (record.state == MemberState::kAlive) return;
  refutation_ = record.refutation + 1;
  ++counts_.refutations;
  table_.Merge(SelfRecord(), loop_.Now());
  Gossip({SelfRecord()});
  Changed();
}

/// This life is the newest: its clock was only behind that of an earlier one.
void Group::Outbid(std::uint64_t generation) {
  generation_ = generation + 1;
  table_.Merge(SelfRecord(), loop_.Now());
  Gossip({SelfRecord()});
  Changed();
}

void Group::BeSuperseded() {
  running_ = false;
  superseded_ = true;
  base::Log(base::events::kProcessSuperseded,
            {{"name", self().name}, {"incarnation", self().incarnation}});
  if (!on_superseded_) return;
  loop_.Post([alive = alive_, this] {
    if (*alive) on_superseded_();
  });
}

void Group::WatchSuspect(const MemberRecord& record) {
  const auto& name = record.identity.name;
  ForgetSuspicion(name);
  const auto due = loop_.Now() + options_.suspicion;
  const auto timer =
      Later(options_.suspicion, [this, name] { OnSuspicionDue(name); });
  suspicions_.emplace(name, Suspicion{record, due, timer});
}

void Group::ForgetSuspicion(const ProcessName& name) {
  const auto it = suspicions_.find(name);
  if (it == suspicions_.end()) return;
  loop_.Cancel(it->second.timer);
  suspicions_.erase(it);
}

/// Tells some of the own domain, and the suspects themselves, of news.
void Group::Gossip(std::vector<MemberRecord> records) {
  if (records.empty()) return;
  std::set<wire::Peer> peers;
  for (const auto* it : Sample(Others(), options_.gossip_fan_out)) {
    peers.insert(PeerOf(it->identity));
  }
  for (const auto& it : records) {
    if (it.state == MemberState::kSuspect) peers.insert(PeerOf(it.identity));
  }
  const wire::Members message{std::move(records), {}};
  for (const auto& it : peers) transport_.Send(it, message);
}

/// Sends what this process knows of the failure domains in which the two
/// tables differ; the peer answers with what is newer there.
void Group::SyncWith(const wire::Identity& from,
                     const std::vector<wire::DomainHash>& theirs) {
  if (loop_.Now() - last_sync_ < kSyncGap) return;
  std::map<base::DomainName, std::uint64_t> differing;
  for (const auto& it : table_.DomainHashes()) differing[it.domain] ^= it.hash;
  for (const auto& it : theirs) differing[it.domain] ^= it.hash;
  wire::Members message;
  for (const auto& [domain, difference] : differing) {
    if (difference == 0) continue;
    message.whole_domains.push_back(domain);
    for (const auto* it : table_.PresentIn(domain)) {
      message.records.push_back(*it);
    }
  }
  if (message.whole_domains.empty()) return;
  last_sync_ = loop_.Now();
  ++counts_.syncs;
  transport_.Send(PeerOf(from), message);
}

void Group::OnMembers(const wire::Identity& from,
                      const wire::Members& members) {
  if (!running_) return;
  last_heard_[from.domain] = loop_.Now();
  std::vector<MemberRecord> taken;
  wire::Members newer;
  std::set<ProcessName> told;
  for (const auto& it : members.records) {
    told.insert(it.identity.name);
    if (Take(it)) {
      taken.push_back(it);
      continue;
    }
    const auto* known = table_.Find(it.identity.name);
    if (known == nullptr || !IsNewer(*known, it)) continue;
    newer.records.push_back(*known);
  }
  for (const auto& domain : members.whole_domains) {
    for (const auto* it : table_.PresentIn(domain)) {
      if (!told.contains(it->identity.name)) newer.records.push_back(*it);
    }
  }
  if (!newer.records.empty()) transport_.Send(PeerOf(from), newer);
  const bool is_gossip = members.whole_domains.empty();
  if (IsJoining() || (IsOwnDomain(from) && !is_gossip)) return;
  Gossip(std::move(taken));
}

bool Group::IsJoining() const {
  return !contacted_ || loop_.Now() - first_contact_ < options_.join_window;
}

bool Group::IsOwnDomain(const wire::Identity& identity) const {
  return identity.domain == self().domain;
}

void Group::Changed() {
  if (change_posted_ || !on_change_) return;
  change_posted_ = true;
  loop_.Post([alive = alive_, this] {
    if (!*alive) return;
    change_posted_ = false;
    on_change_();
  });
}

}  // namespace lapishatch::membership
