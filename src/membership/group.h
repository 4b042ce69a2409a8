#ifndef LAPISHATCH_MEMBERSHIP_GROUP_H_
#define LAPISHATCH_MEMBERSHIP_GROUP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "membership/group_options.h"
#include "membership/member_table.h"
#include "wire/wire.h"

namespace lapishatch::membership {

/// What a change of the group was; for counts and logs.
struct GroupCounts {
  std::uint64_t suspicions = 0;
  std::uint64_t deaths_declared = 0;
  std::uint64_t refutations = 0;
  std::uint64_t syncs = 0;
};

/// Who the other processes are. Each round it probes a few members of its own
/// failure domain (SWIM: direct, then over a fresh connection and through
/// others, then suspicion, then death), and only they decide about each other.
/// The relays of a domain probe one relay of every other domain; when none
/// answers, the domain is unreachable and its members stay what they were.
/// Probes carry a hash of the member table, and tables that differ are brought
/// together. To be used on the loop only.
class Group {
 public:
  /// Adds the heads of the logs to a digest, and looks at a peer's.
  struct DigestHooks {
    std::function<std::vector<wire::LogHead>()> heads;
    std::function<void(const wire::Identity& from,
                       const std::vector<wire::LogHead>& heads)>
        on_heads;
  };

  Group(base::EventLoop& loop, wire::Transport& transport,
        GroupOptions options);
  ~Group();
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  void SetDigestHooks(DigestHooks hooks) { hooks_ = std::move(hooks); }

  /// Called on the loop after the table or the unreachable domains changed;
  /// several changes of one moment are one call.
  void OnChange(std::function<void()> changed) {
    on_change_ = std::move(changed);
  }

  /// Called once when a newer life of this process has joined. This one takes
  /// no further part and should stop.
  void OnSuperseded(std::function<void()> superseded) {
    on_superseded_ = std::move(superseded);
  }

  void Start();

  /// Says goodbye and takes no further part.
  void Leave();

  /// More endpoints to look for, as the VM list gives them; replaces those of
  /// the last call.
  void SetFound(std::vector<wire::Endpoint> endpoints);

  // The messages of membership, as the transport handed them over.
  void OnPing(const wire::Identity& from, const wire::Ping& ping);
  void OnAck(const wire::Identity& from, const wire::Ack& ack);
  void OnIndirectPing(const wire::Identity& from,
                      const wire::IndirectPing& ping);
  void OnIndirectAck(const wire::Identity& from, const wire::IndirectAck& ack);
  void OnMembers(const wire::Identity& from, const wire::Members& members);

  const MemberTable& table() const { return table_; }
  const wire::Identity& self() const { return options_.self; }
  const GroupCounts& counts() const { return counts_; }
  bool superseded() const { return superseded_; }

  /// Whether any process of `domain` answers this domain.
  bool IsReachable(const base::DomainName& domain) const;

  /// Whether this process is the one of its domain that `key` falls to, for
  /// example to read the table for all. Several may be while views differ.
  bool IsChosen(std::string_view key) const;

  /// Whether this process keeps in touch with the other domains.
  bool IsRelay() const;

 private:
  struct Probe {
    MemberRecord target;
    bool indirect_asked = false;
    base::TimePoint due;
    base::TimerId timer = 0;
  };
  /// A probe for somebody else.
  struct Errand {
    wire::Peer origin;
    std::uint64_t origin_sequence = 0;
    ProcessName target;
    base::TimePoint started;
  };
  struct Suspicion {
    MemberRecord record;
    base::TimePoint due;
    base::TimerId timer = 0;
  };
  /// What a relay of this domain said last.
  struct RelayWord {
    std::set<base::DomainName> unreachable;
  };

  // Rounds.
  void Round();
  void ProbeDomain();
  void LookForOthers();
  void ProbeOtherDomains();
  void DropStaleErrands();
  const MemberRecord* NextTarget();

  // Probes.
  void StartProbe(const MemberRecord& target);
  void OnProbeDue(std::uint64_t sequence);
  void AskOthers(std::uint64_t sequence, const Probe& probe);
  bool Settle(std::uint64_t sequence, const ProcessName& name,
              const base::Incarnation& incarnation);
  void Suspect(const MemberRecord& target);
  void OnSuspicionDue(const ProcessName& name);

  // Records.
  wire::Digest MakeDigest() const;
  MemberRecord SelfRecord() const;
  void Hear(const wire::Identity& from, const wire::Digest& digest);
  bool Take(const MemberRecord& record);
  void TakeOwn(const MemberRecord& record);
  void OnTaken(const MemberRecord& record, bool was_known);
  void WatchSuspect(const MemberRecord& record);
  void ForgetSuspicion(const ProcessName& name);
  void Outbid(std::uint64_t generation);
  void BeSuperseded();
  void Gossip(std::vector<MemberRecord> records);
  void SyncWith(const wire::Identity& from,
                const std::vector<wire::DomainHash>& theirs);
  bool IsJoining() const;
  bool IsOwnDomain(const wire::Identity& identity) const;

  // Reach.
  void UpdateReach();
  bool IsDomainSilent(const base::DomainName& domain) const;
  void Changed();

  std::vector<const MemberRecord*> Others() const;
  std::vector<const MemberRecord*> Sample(std::vector<const MemberRecord*> from,
                                          int n);
  /// `task` on the loop after `delay`, unless the group is gone by then.
  base::TimerId Later(base::Duration delay, std::function<void()> task);

  base::EventLoop& loop_;
  wire::Transport& transport_;
  GroupOptions options_;
  DigestHooks hooks_;
  std::function<void()> on_change_;
  std::function<void()> on_superseded_;

  MemberTable table_;
  std::uint64_t generation_ = 0;
  std::uint64_t refutation_ = 0;
  bool running_ = false;
  bool superseded_ = false;
  base::TimePoint first_contact_;
  bool contacted_ = false;

  std::uint64_t last_sequence_ = 0;
  std::unordered_map<std::uint64_t, Probe> probes_;
  std::unordered_map<std::uint64_t, Errand> errands_;
  std::map<ProcessName, Suspicion> suspicions_;
  /// Own-domain members still to be probed in this pass.
  std::vector<ProcessName> to_probe_;
  std::vector<wire::Endpoint> found_;
  base::TimePoint last_sync_;

  std::uint64_t domain_probes_ = 0;
  std::map<base::DomainName, base::TimePoint> last_domain_probe_;
  /// Since when this process has been a relay without a break.
  base::TimePoint relay_since_;
  bool was_relay_ = false;
  std::map<base::DomainName, base::TimePoint> last_heard_;
  std::map<ProcessName, RelayWord> relay_words_;
  std::set<base::DomainName> unreachable_;

  bool change_posted_ = false;
  base::Random random_;
  GroupCounts counts_;
  /// Lets tasks that run later find out that the group is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_GROUP_H_
