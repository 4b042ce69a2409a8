#include "membership/group.h"

#include <algorithm>
#include <utility>

namespace lapishatch::membership {
namespace {

/// The sequence number of a Ping whose Ack nobody waits for.
constexpr std::uint64_t kNoSequence = 0;

/// Endpoints tried in a round by a process that knows nobody.
constexpr int kLonelyTries = 3;

/// A round comes up to this share of the period early or late, so that the
/// processes do not probe in step.
constexpr int kRoundJitterParts = 20;

}  // namespace

Group::Group(base::EventLoop& loop, wire::Transport& transport,
             GroupOptions options)
    : loop_(loop),
      transport_(transport),
      options_(std::move(options)),
      generation_(options_.generation),
      random_(options_.random_seed) {
  table_.Merge(SelfRecord(), loop_.Now());
}

Group::~Group() { *alive_ = false; }

void Group::Start() {
  running_ = true;
  Round();
}

void Group::Leave() {
  if (!running_) return;
  running_ = false;
  auto record = SelfRecord();
  record.state = MemberState::kLeft;
  table_.Merge(record, loop_.Now());
  const wire::Members goodbye{{record}, {}};
  for (const auto* it : Others()) {
    transport_.Send(PeerOf(it->identity), goodbye);
  }
  for (const auto& domain : table_.Domains()) {
    if (domain == self().domain) continue;
    for (const auto* it : table_.Choose(domain, domain.str(), 1)) {
      transport_.Send(PeerOf(it->identity), goodbye);
    }
  }
}

void Group::SetFound(std::vector<wire::Endpoint> endpoints) {
  found_ = std::move(endpoints);
}

bool Group::IsChosen(std::string_view key) const {
  if (!running_) return false;
  const auto chosen = table_.Choose(self().domain, key, 1);
  return !chosen.empty() && chosen[0]->identity.name == self().name;
}

void Group::Round() {
  if (!running_) return;
  const auto jitter = options_.period / kRoundJitterParts;
  std::uniform_int_distribution<std::int64_t> range(-jitter.count(),
                                                    jitter.count());
  const auto delay = options_.period + base::Duration(range(random_));
  const auto due = loop_.Now() + delay;
  Later(delay, [this, due] {
    if (loop_.Now() - due > options_.late_limit) was_relay_ = false;
    Round();
  });
  ProbeDomain();
  LookForOthers();
  ProbeOtherDomains();
  DropStaleErrands();
  table_.ForgetGone(loop_.Now() - options_.remember_gone);
  UpdateReach();
}

void Group::ProbeDomain() {
  const auto others = Others();
  const auto n = options_.fan_out == 0
                     ? others.size()
                     : std::min<std::size_t>(options_.fan_out, others.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto* target = NextTarget();
    if (target == nullptr) return;
    StartProbe(*target);
  }
}

/// Every member comes up once in a pass, in an order drawn anew for each, so
/// that the time until a member is probed is bounded.
const MemberRecord* Group::NextTarget() {
  if (to_probe_.empty()) {
    for (const auto* it : Others()) to_probe_.push_back(it->identity.name);
    std::shuffle(to_probe_.begin(), to_probe_.end(), random_);
  }
  while (!to_probe_.empty()) {
    const auto* it = table_.Find(to_probe_.back());
    to_probe_.pop_back();
    if (it != nullptr && IsPresent(it->state)) return it;
  }
  return nullptr;
}

/// Pings endpoints behind which nobody is known: seeds, what the VM list
/// shows, and members that are held for dead. So islands that formed during a
/// cut find each other.
void Group::LookForOthers() {
  std::set<wire::Endpoint> unknown(options_.seeds.begin(),
                                   options_.seeds.end());
  unknown.insert(found_.begin(), found_.end());
  for (const auto* it : table_.All()) {
    if (it->state == MemberState::kDead) unknown.insert(it->identity.endpoint);
  }
  bool lonely = true;
  for (const auto* it : table_.Present()) {
    unknown.erase(it->identity.endpoint);
    if (it->identity.name != self().name) lonely = false;
  }
  unknown.erase(self().endpoint);
  std::vector<wire::Endpoint> picked;
  std::sample(unknown.begin(), unknown.end(), std::back_inserter(picked),
              lonely ? kLonelyTries : 1, random_);
  for (const auto& it : picked) {
    transport_.Send(wire::Peer{it, {}}, wire::Ping{kNoSequence, MakeDigest()});
  }
}

void Group::DropStaleErrands() {
  const auto limit = loop_.Now() - 2 * options_.probe_timeout;
  std::erase_if(errands_,
                [&](const auto& it) { return it.second.started < limit; });
}

void Group::StartProbe(const MemberRecord& target) {
  const auto sequence = ++last_sequence_;
  const auto due = loop_.Now() + options_.probe_timeout;
  const auto timer =
      Later(options_.probe_timeout, [this, sequence] { OnProbeDue(sequence); });
  probes_.emplace(sequence, Probe{target, false, due, timer});
  transport_.Send(PeerOf(target.identity), wire::Ping{sequence, MakeDigest()});
}

void Group::OnProbeDue(std::uint64_t sequence) {
  const auto it = probes_.find(sequence);
  if (it == probes_.end()) return;
  auto& probe = it->second;
  if (!running_ || loop_.Now() - probe.due > options_.late_limit) {
    probes_.erase(it);
    return;
  }
  if (probe.indirect_asked) {
    const auto target = probe.target;
    probes_.erase(it);
    Suspect(target);
    return;
  }
  probe.indirect_asked = true;
  probe.due = loop_.Now() + options_.probe_timeout;
  probe.timer =
      Later(options_.probe_timeout, [this, sequence] { OnProbeDue(sequence); });
  const auto peer = PeerOf(probe.target.identity);
  transport_.Reset(peer);
  transport_.Send(peer, wire::Ping{sequence, MakeDigest()});
  AskOthers(sequence, probe);
}

void Group::AskOthers(std::uint64_t sequence, const Probe& probe) {
  auto others = Others();
  std::erase_if(others, [&](const auto* it) {
    return it->identity.name == probe.target.identity.name;
  });
  for (const auto* it : Sample(std::move(others), options_.indirect_probes)) {
    transport_.Send(PeerOf(it->identity),
                    wire::IndirectPing{sequence, probe.target.identity});
  }
}

/// Ends the probe that this answer is for. An answer from another life at the
/// same address is for none.
bool Group::Settle(std::uint64_t sequence, const ProcessName& name,
                   const base::Incarnation& incarnation) {
  const auto it = probes_.find(sequence);
  if (it == probes_.end()) return false;
  const auto& target = it->second.target.identity;
  if (target.name != name || target.incarnation != incarnation) return false;
  loop_.Cancel(it->second.timer);
  probes_.erase(it);
  return true;
}

void Group::OnPing(const wire::Identity& from, const wire::Ping& ping) {
  if (!running_) return;
  Hear(from, ping.digest);
  wire::Ack ack{ping.sequence, MakeDigest(), {}};
  if (ping.digest.view_hash != table_.hash()) {
    ack.domain_hashes = table_.DomainHashes();
  }
  transport_.Send(PeerOf(from), ack);
}

void Group::OnAck(const wire::Identity& from, const wire::Ack& ack) {
  if (!running_) return;
  Hear(from, ack.digest);
  const auto errand = errands_.find(ack.sequence);
  if (errand != errands_.end() && errand->second.target == from.name) {
    transport_.Send(errand->second.origin,
                    wire::IndirectAck{errand->second.origin_sequence, from.name,
                                      from.incarnation});
    errands_.erase(errand);
  }
  Settle(ack.sequence, from.name, from.incarnation);
  if (!ack.domain_hashes.empty()) SyncWith(from, ack.domain_hashes);
}

void Group::OnIndirectPing(const wire::Identity& from,
                           const wire::IndirectPing& ping) {
  if (!running_) return;
  const auto sequence = ++last_sequence_;
  errands_.emplace(sequence, Errand{PeerOf(from), ping.sequence,
                                    ping.target.name, loop_.Now()});
  transport_.Send(PeerOf(ping.target), wire::Ping{sequence, MakeDigest()});
}

void Group::OnIndirectAck(const wire::Identity& from,
                          const wire::IndirectAck& ack) {
  if (!running_) return;
  last_heard_[from.domain] = loop_.Now();
  Settle(ack.sequence, ack.target, ack.incarnation);
}

void Group::Suspect(const MemberRecord& target) {
  const auto* known = table_.Find(target.identity.name);
  if (known == nullptr || !IsSameLife(*known, target)) return;
  if (known->state != MemberState::kAlive) return;
  auto record = *known;
  record.state = MemberState::kSuspect;
  ++counts_.suspicions;
  Take(record);
  Gossip({record});
}

void Group::OnSuspicionDue(const ProcessName& name) {
  const auto it = suspicions_.find(name);
  if (it == suspicions_.end() || !running_) return;
  if (loop_.Now() - it->second.due > options_.late_limit) {
    WatchSuspect(it->second.record);
    return;
  }
  auto record = it->second.record;
  suspicions_.erase(it);
  record.state = MemberState::kDead;
  if (!Take(record)) return;
  ++counts_.deaths_declared;
  Gossip({record});
}

std::vector<const MemberRecord*> Group::Others() const {
  auto out = table_.PresentIn(self().domain);
  std::erase_if(
      out, [&](const auto* it) { return it->identity.name == self().name; });
  return out;
}

std::vector<const MemberRecord*> Group::Sample(
    std::vector<const MemberRecord*> from, int n) {
  std::vector<const MemberRecord*> out;
  std::sample(from.begin(), from.end(), std::back_inserter(out), n, random_);
  return out;
}

base::TimerId Group::Later(base::Duration delay, std::function<void()> task) {
  return loop_.After(delay, [alive = alive_, task = std::move(task)] {
    if (*alive) task();
  });
}

}  // namespace lapishatch::membership
