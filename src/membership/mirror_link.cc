#include "membership/mirror_link.h"

#include <utility>

namespace lapishatch::membership {
namespace {

/// Falls to one member of each failure domain, which reads the table for it.
constexpr std::string_view kReaderKey = "reads the change logs";

wire::LogName NameOf(config::LogId log) {
  return wire::LogName(std::string(base::NameOf(log)));
}

config::LogId LogAt(std::size_t index) {
  return static_cast<config::LogId>(index);
}

/// Whether the entries are changes one after the other, and not the
/// differences that a reload made.
bool AreConsecutive(const std::vector<config::LogEntryPtr>& entries,
                    config::LogVersion first) {
  for (const auto& it : entries) {
    if (it->version != first) return false;
    ++first;
  }
  return true;
}

}  // namespace

/// Hands one log to the mirror.
class MirrorLink::Follower final : public LogFollower {
 public:
  Follower(config::Mirror& mirror, config::LogId log)
      : mirror_(mirror), log_(log) {}

  void OnEntry(LogVersion version, const std::string& entry) override {
    mirror_.Offer(log_, version, {entry});
  }

  bool OnSnapshot(LogVersion version, const std::string& bytes) override {
    mirror_.OfferSnapshot(log_, bytes);
    return mirror_.version(log_) >= version;
  }

  std::optional<std::string> TakeSnapshot() const override {
    return mirror_.SnapshotText(log_);
  }

  void OnHeard(LogVersion version) override { mirror_.HeardOf(log_, version); }

 private:
  config::Mirror& mirror_;
  config::LogId log_;
};

MirrorLink::MirrorLink(Node& node) : node_(node) {}

MirrorLink::~MirrorLink() = default;

void MirrorLink::Connect(config::Mirror& mirror) {
  mirror_ = &mirror;
  for (std::size_t i = 0; i < followers_.size(); ++i) {
    followers_[i] = std::make_unique<Follower>(mirror, LogAt(i));
    node_.spreader().Follow(NameOf(LogAt(i)), *followers_[i], std::nullopt);
  }
  mirror.Listen([this](config::LogId log, const auto& entries) {
    OnInForce(log, entries);
  });
}

bool MirrorLink::Reads() const { return node_.group().IsChosen(kReaderKey); }

void MirrorLink::Announce(config::LogId log, config::LogVersion first,
                          std::vector<std::string> entries) {
  node_.spreader().Publish(NameOf(log), first, entries);
}

/// The mirror lacks changes. Those that went by before it could use them are
/// kept here; the others the spreader pulls from whoever tells of them.
void MirrorLink::Pull(config::LogId log, config::LogVersion first) {
  const auto kept = node_.spreader().Kept(NameOf(log), first);
  if (!kept.empty()) mirror_->Offer(log, first, kept);
}

void MirrorLink::FetchSnapshot(
    config::LogId log, std::function<void(std::optional<std::string>)> done) {
  node_.spreader().Fetch(NameOf(log), std::move(done));
}

/// What peers have told is known to the spreader already; the rest comes from
/// the table and is news to them, perhaps.
void MirrorLink::OnInForce(config::LogId log,
                           const std::vector<config::LogEntryPtr>& entries) {
  auto& spreader = node_.spreader();
  const auto name = NameOf(log);
  const auto version = spreader.version(name);
  const auto in_force = mirror_->version(log);
  if (!spreader.HasBase(name) || in_force <= version ||
      !AreConsecutive(entries, version + 1)) {
    spreader.SkipTo(name, in_force);
    return;
  }
  std::vector<std::string> texts;
  texts.reserve(entries.size());
  for (const auto& it : entries) texts.push_back(config::ToText(*it));
  spreader.Publish(name, version + 1, texts);
}

}  // namespace lapishatch::membership
