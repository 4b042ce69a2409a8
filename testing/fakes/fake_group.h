#ifndef LAPISHATCH_TESTING_FAKES_FAKE_GROUP_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_GROUP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_network.h"
#include "fakes/fake_process.h"
#include "membership/membership.h"

namespace lapishatch::fakes {

/// Keeps every change of a log, when it came, and whether the order broke.
class RecordingFollower final : public membership::LogFollower {
 public:
  explicit RecordingFollower(const base::Clock& clock) : clock_(clock) {}

  void OnEntry(wire::LogVersion version, const std::string& entry) override {
    if (version != entries_.size() + 1) ++violations_;
    entries_.push_back(entry);
    came_at_[version] = clock_.Now();
  }
  bool OnSnapshot(wire::LogVersion version, const std::string& bytes) override;
  std::optional<std::string> TakeSnapshot() const override;

  const std::vector<std::string>& entries() const { return entries_; }
  /// Changes that came twice, out of order or after a gap.
  int violations() const { return violations_; }
  int snapshots() const { return snapshots_; }
  /// When each version was known.
  const std::map<wire::LogVersion, base::TimePoint>& came_at() const {
    return came_at_;
  }

 private:
  const base::Clock& clock_;
  std::vector<std::string> entries_;
  std::map<wire::LogVersion, base::TimePoint> came_at_;
  int violations_ = 0;
  int snapshots_ = 0;
};

/// One process with its node, in virtual time.
struct FakeMember {
  FakeMember(VirtualTime& time, FakeNetwork& network,
             membership::NodeOptions options);

  /// Ends without a word.
  void Kill() { process.Kill(); }

  const membership::MemberRecord* Sees(const FakeMember& other) const {
    return node.group().table().Find(other.identity.name);
  }
  membership::MemberState StateOf(const FakeMember& other) const;
  bool IsRunning() const { return !process.killed() && !has_left; }

  wire::Identity identity;
  base::TimePoint started_at;
  FakeProcess process;
  RecordingFollower follower;
  std::unique_ptr<wire::Transport> transport;
  mutable membership::Node node;
  bool was_superseded = false;
  bool has_left = false;
};

/// The configuration log of the members of a FakeGroup.
inline const wire::LogName kConfigurationLog{"configuration"};

/// Many processes in several failure domains.
class FakeGroup {
 public:
  explicit FakeGroup(std::uint64_t seed, membership::NodeOptions defaults = {});

  /// Starts a process. The first two members are everybody's seeds.
  FakeMember& Add(const std::string& name, const std::string& domain,
                  wire::Role role = wire::Role::kEntry);

  /// Starts another life of `name` at the address it has always had.
  FakeMember& AddLife(const std::string& name, const std::string& domain,
                      std::uint64_t generation,
                      wire::Role role = wire::Role::kEntry);

  /// Starts `n` processes, dealt out to `domains` domains "d0", "d1" and so on.
  void AddMany(int n, int domains);

  /// Whether every running member sees exactly the running members as alive.
  bool Agrees() const;

  /// Whether every running member has the log up to `version`.
  bool HaveAll(wire::LogVersion version) const;

  /// The members that neither were killed nor have left, nor were superseded.
  std::vector<FakeMember*> Running() const;

  /// The sum of one count over all members that ever were.
  std::uint64_t Deaths() const;
  std::uint64_t Suspicions() const;
  int Violations() const;

  VirtualTime& time() { return time_; }
  FakeNetwork& network() { return network_; }
  FakeMember& operator[](std::size_t i) { return *members_[i]; }
  const std::vector<std::unique_ptr<FakeMember>>& members() const {
    return members_;
  }

 private:
  wire::Endpoint EndpointOf(const std::string& name);

  VirtualTime time_;
  FakeNetwork network_;
  membership::NodeOptions defaults_;
  std::uint64_t seed_;
  std::uint64_t started_ = 0;
  std::map<std::string, wire::Endpoint> endpoints_;
  std::vector<wire::Endpoint> seeds_;
  std::vector<std::unique_ptr<FakeMember>> members_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_GROUP_H_
