#include "fakes/fake_group.h"

#include <algorithm>
#include <utility>

namespace lapishatch::fakes {
namespace {

constexpr char kLineEnd = '\n';
constexpr std::size_t kSeeds = 2;
constexpr std::uint16_t kFirstPort = 7000;

/// As long as a real one, and the same in every run.
base::Incarnation MakeIncarnation(std::uint64_t n) {
  constexpr std::size_t kDigits = 32;
  const auto text = std::to_string(n);
  return base::Incarnation(std::string(kDigits - text.size(), '0') + text);
}

}  // namespace

bool RecordingFollower::OnSnapshot(wire::LogVersion version,
                                   const std::string& bytes) {
  if (version <= entries_.size()) ++violations_;
  std::vector<std::string> entries;
  std::string entry;
  for (const char it : bytes) {
    if (it != kLineEnd) {
      entry += it;
      continue;
    }
    entries.push_back(std::exchange(entry, {}));
  }
  if (entries.size() != version) return false;
  for (auto v = entries_.size() + 1; v <= version; ++v) {
    came_at_[v] = clock_.Now();
  }
  entries_ = std::move(entries);
  ++snapshots_;
  return true;
}

std::optional<std::string> RecordingFollower::TakeSnapshot() const {
  std::string bytes;
  for (const auto& it : entries_) bytes += it + kLineEnd;
  return bytes;
}

FakeMember::FakeMember(VirtualTime& time, FakeNetwork& network,
                       membership::NodeOptions options)
    : identity(options.group.self),
      started_at(time.Now()),
      process(time),
      follower(process),
      transport(network.Attach(process, identity)),
      node(process, *transport, std::move(options)) {
  node.spreader().Follow(kConfigurationLog, follower, 0);
  node.group().OnSuperseded([this] { was_superseded = true; });
  node.Start();
}

membership::MemberState FakeMember::StateOf(const FakeMember& other) const {
  const auto* it = Sees(other);
  return it == nullptr ? membership::MemberState::kDead : it->state;
}

FakeGroup::FakeGroup(std::uint64_t seed, membership::NodeOptions defaults)
    : network_(time_, seed), defaults_(std::move(defaults)), seed_(seed) {}

FakeMember& FakeGroup::Add(const std::string& name, const std::string& domain,
                           wire::Role role) {
  return AddLife(name, domain, time_.Now().time_since_epoch().count(), role);
}

FakeMember& FakeGroup::AddLife(const std::string& name,
                               const std::string& domain,
                               std::uint64_t generation, wire::Role role) {
  auto options = defaults_;
  auto& group = options.group;
  ++started_;
  group.self =
      wire::Identity{wire::ProcessName(name), role, base::DomainName(domain),
                     MakeIncarnation(started_), EndpointOf(name)};
  if (seeds_.size() < kSeeds) seeds_.push_back(group.self.endpoint);
  group.seeds = seeds_;
  group.generation = generation;
  group.random_seed = seed_ * 1'000'003 + started_;
  members_.push_back(
      std::make_unique<FakeMember>(time_, network_, std::move(options)));
  return *members_.back();
}

void FakeGroup::AddMany(int n, int domains) {
  for (int i = 0; i < n; ++i) {
    Add("p" + std::to_string(i), "d" + std::to_string(i % domains));
  }
}

bool FakeGroup::Agrees() const {
  const auto running = Running();
  return std::all_of(running.begin(), running.end(), [&](const auto* it) {
    const auto present = it->node.group().table().Present();
    return present.size() == running.size() &&
           std::all_of(running.begin(), running.end(), [&](const auto* other) {
             const auto* seen = it->Sees(*other);
             return seen != nullptr && seen->identity == other->identity &&
                    seen->state == membership::MemberState::kAlive;
           });
  });
}

bool FakeGroup::HaveAll(wire::LogVersion version) const {
  const auto running = Running();
  return std::all_of(running.begin(), running.end(), [&](const auto* it) {
    return it->node.spreader().version(kConfigurationLog) >= version;
  });
}

std::vector<FakeMember*> FakeGroup::Running() const {
  std::vector<FakeMember*> out;
  for (const auto& it : members_) {
    if (it->IsRunning() && !it->was_superseded) out.push_back(it.get());
  }
  return out;
}

std::uint64_t FakeGroup::Deaths() const {
  std::uint64_t n = 0;
  for (const auto& it : members_) {
    n += it->node.group().counts().deaths_declared;
  }
  return n;
}

std::uint64_t FakeGroup::Suspicions() const {
  std::uint64_t n = 0;
  for (const auto& it : members_) n += it->node.group().counts().suspicions;
  return n;
}

int FakeGroup::Violations() const {
  int n = 0;
  for (const auto& it : members_) n += it->follower.violations();
  return n;
}

wire::Endpoint FakeGroup::EndpointOf(const std::string& name) {
  const auto port = static_cast<std::uint16_t>(kFirstPort + endpoints_.size());
  return endpoints_.try_emplace(name, wire::Endpoint{"10.0.0.1", port})
      .first->second;
}

}  // namespace lapishatch::fakes
