#include "membership/spreader.h"

#include <algorithm>
#include <utility>

namespace lapishatch::membership {
namespace {

/// Pulls in a row, by turns of the peer that spoke of the change and of others,
/// until somebody speaks of it again.
constexpr int kPullTries = 6;

}  // namespace

Spreader::Spreader(base::EventLoop& loop, wire::Transport& transport,
                   Group& group, wire::RequestChannel& requests,
                   SpreaderOptions options)
    : loop_(loop),
      transport_(transport),
      group_(group),
      requests_(requests),
      options_(options),
      random_(options.random_seed) {}

Spreader::~Spreader() { *alive_ = false; }

void Spreader::Follow(const LogName& log, LogFollower& follower,
                      std::optional<LogVersion> version) {
  auto& it = logs_[log];
  it.name = log;
  it.follower = &follower;
  it.has_base = version.has_value();
  it.version = version.value_or(0);
  it.heard = it.version;
}

void Spreader::Publish(const LogName& log, LogVersion first_version,
                       const std::vector<std::string>& entries) {
  auto* it = Find(log);
  if (it == nullptr) return;
  auto version = first_version;
  for (const auto& entry : entries) {
    if (IsNew(*it, version)) it->to_push.try_emplace(version, entry);
    ++version;
  }
  Accept(*it, first_version, entries);
  SchedulePush(*it);
}

void Spreader::SkipTo(const LogName& log, LogVersion version) {
  auto* it = Find(log);
  if (it == nullptr || (it->has_base && version <= it->version)) return;
  it->has_base = true;
  it->version = version;
  it->heard = std::max(it->heard, version);
  it->recent.clear();
  it->recent_bytes = 0;
  ApplyPending(*it);
}

bool Spreader::HasBase(const LogName& log) const {
  const auto* it = Find(log);
  return it != nullptr && it->has_base;
}

LogVersion Spreader::version(const LogName& log) const {
  const auto* it = Find(log);
  return it == nullptr ? 0 : it->version;
}

LogVersion Spreader::heard(const LogName& log) const {
  const auto* it = Find(log);
  return it == nullptr ? 0 : it->heard;
}

std::vector<wire::LogHead> Spreader::Heads() const {
  std::vector<wire::LogHead> heads;
  heads.reserve(logs_.size());
  for (const auto& [name, it] : logs_) heads.push_back({name, it.version});
  return heads;
}

void Spreader::OnHeads(const wire::Identity& from,
                       const std::vector<wire::LogHead>& heads) {
  for (const auto& head : heads) {
    auto* log = Find(head.log);
    if (log == nullptr) continue;
    Hear(*log, head.version);
    if (!log->has_base || head.version <= log->version) continue;
    if (log->transfer || loop_.Now() < log->pull_until) continue;
    Pull(*log, PeerOf(from));
  }
}

void Spreader::OnEntries(const wire::Identity& from, wire::LogEntries message) {
  auto* log = Find(message.log);
  if (log == nullptr) return;
  const auto peer = PeerOf(from);
  if (message.wants_receipt) {
    transport_.Send(peer,
                    wire::EntriesReceived{log->name, message.first_version});
  }
  Hear(*log, message.head);
  if (message.entries.empty()) {
    const bool is_behind = message.first_version > log->version + 1;
    if (log->has_base && is_behind) StartTransfer(*log, peer);
    return;
  }
  const auto before = log->version;
  Accept(*log, message.first_version, message.entries);
  if (log->version > before) log->pull_until = base::TimePoint();
  const auto head = message.head;
  if (message.pass_on) PassOn(*log, std::move(message), from.name);
  if (!log->has_base || head <= log->version || log->transfer) return;
  if (loop_.Now() < log->pull_until) return;
  if (log->version == before) {
    base::Log(
        base::events::kLogGap,
        {{"log", log->name.str()}, {"version", log->version}, {"head", head}});
  }
  Pull(*log, peer);
}

void Spreader::OnReceived(const wire::Identity& from,
                          const wire::EntriesReceived& receipt) {
  unconfirmed_.erase({from.domain, receipt.log, receipt.first_version});
}

/// Sends the changes from a version on, as many as fit a message; none, with
/// the version after the newest, when they are no longer kept.
void Spreader::OnPull(const wire::Identity& from,
                      const wire::PullEntries& pull) {
  const auto* log = Find(pull.log);
  if (log == nullptr || pull.first_version > log->version) return;
  const auto oldest = log->version - log->recent.size() + 1;
  wire::LogEntries message{
      log->name, log->version + 1, {}, false, log->version};
  if (pull.first_version >= oldest) {
    message.first_version = pull.first_version;
    std::size_t bytes = 0;
    for (auto v = pull.first_version; v <= log->version; ++v) {
      const auto& entry = log->recent[v - oldest];
      if (!Fits(message, v, bytes, entry)) break;
      message.entries.push_back(entry);
      bytes += entry.size();
    }
  }
  transport_.Send(PeerOf(from), message);
}

/// Whether a change was neither applied nor is it waiting for earlier ones.
bool Spreader::IsNew(const Log& log, LogVersion version) {
  return version > log.version && !log.pending.contains(version);
}

/// Applies what follows the present version and keeps what comes after a gap.
void Spreader::Accept(Log& log, LogVersion first,
                      const std::vector<std::string>& items) {
  auto version = first;
  for (const auto& it : items) {
    const auto present = version++;
    if (!IsNew(log, present)) {
      ++counts_.entries_repeated;
      continue;
    }
    Hear(log, present);
    if (log.has_base && present == log.version + 1) {
      Apply(log, it);
    } else if (log.pending.size() < options_.max_pending) {
      log.pending.emplace(present, it);
    }
  }
  ApplyPending(log);
}

void Spreader::ApplyPending(Log& log) {
  if (!log.has_base) return;
  while (!log.pending.empty()) {
    const auto it = log.pending.begin();
    if (it->first > log.version + 1) return;
    if (it->first == log.version + 1) Apply(log, std::move(it->second));
    log.pending.erase(it);
  }
}

void Spreader::Apply(Log& log, std::string entry) {
  ++log.version;
  log.heard = std::max(log.heard, log.version);
  ++counts_.entries_applied;
  log.follower->OnEntry(log.version, entry);
  log.recent_bytes += entry.size();
  log.recent.push_back(std::move(entry));
  Trim(log);
}

void Spreader::Trim(Log& log) {
  while (log.recent.size() > options_.keep_entries ||
         log.recent_bytes > options_.keep_bytes) {
    log.recent_bytes -= log.recent.front().size();
    log.recent.pop_front();
  }
}

void Spreader::SchedulePush(Log& log) {
  if (log.to_push.empty() || log.push_due) return;
  log.push_due = true;
  loop_.After(options_.spread_delay, [alive = alive_, this, name = log.name] {
    if (*alive) Push(*Find(name));
  });
}

/// Sends what was published here, in as few messages as fit.
void Spreader::Push(Log& log) {
  log.push_due = false;
  const auto to_push = std::exchange(log.to_push, {});
  wire::LogEntries message{log.name, 0, {}, false, log.version};
  std::size_t bytes = 0;
  for (const auto& [version, entry] : to_push) {
    if (!message.entries.empty() && !Fits(message, version, bytes, entry)) {
      PushMessage(std::exchange(
          message, wire::LogEntries{log.name, 0, {}, false, log.version}));
      bytes = 0;
    }
    if (message.entries.empty()) message.first_version = version;
    message.entries.push_back(entry);
    bytes += entry.size();
  }
  PushMessage(std::move(message));
}

/// To all of the own domain, and to one member of each other, which passes it
/// on. Who that is differs from change to change, so that no process carries
/// the load of its domain.
void Spreader::PushMessage(wire::LogEntries message) {
  SendInDomain(message, group_.self().name);
  message.pass_on = true;
  message.wants_receipt = true;
  const auto shared =
      std::make_shared<const wire::LogEntries>(std::move(message));
  for (const auto& domain : group_.table().Domains()) {
    if (domain != group_.self().domain) PushTo(domain, shared, 0);
  }
}

/// To the member of another domain whose turn it is, and without a receipt to
/// the next one.
void Spreader::PushTo(const base::DomainName& domain,
                      const std::shared_ptr<const wire::LogEntries>& message,
                      int turn) {
  const Unconfirmed unconfirmed{domain, message->log, message->first_version};
  const auto key = message->log.str() + std::to_string(message->first_version);
  const auto chosen = group_.table().Choose(domain, key, options_.passers);
  const bool is_over =
      turn >= options_.passers || chosen.empty() || !group_.IsReachable(domain);
  if (is_over) {
    unconfirmed_.erase(unconfirmed);
    return;
  }
  unconfirmed_.insert(unconfirmed);
  const auto index = static_cast<std::size_t>(turn) % chosen.size();
  transport_.Send(PeerOf(chosen[index]->identity), *message);
  loop_.After(options_.receipt_timeout,
              [this, alive = alive_, unconfirmed, message, turn] {
                if (!*alive || !unconfirmed_.contains(unconfirmed)) return;
                PushTo(unconfirmed.domain, message, turn + 1);
              });
}

/// Whether the change is news here does not matter: this process may have
/// pulled it in the meantime, and its domain still waits for it.
void Spreader::PassOn(Log& log, wire::LogEntries message,
                      const ProcessName& sender) {
  constexpr std::size_t kRemembered = 1'024;
  const auto last = message.first_version + message.entries.size() - 1;
  if (!log.passed_on.insert(last).second) return;
  if (log.passed_on.size() > kRemembered) {
    log.passed_on.erase(log.passed_on.begin());
  }
  message.pass_on = false;
  message.wants_receipt = false;
  message.head = log.version;
  SendInDomain(message, sender);
}

void Spreader::SendInDomain(const wire::LogEntries& message,
                            const ProcessName& except) {
  const auto& self = group_.self();
  for (const auto* it : group_.table().PresentIn(self.domain)) {
    const auto& name = it->identity.name;
    if (name == self.name || name == except) continue;
    transport_.Send(PeerOf(it->identity), message);
  }
}

/// Whether `entry` may go into the message as its next one.
bool Spreader::Fits(const wire::LogEntries& message, LogVersion version,
                    std::size_t bytes, const std::string& entry) const {
  const auto n = message.entries.size();
  if (n == 0) return true;
  return version == message.first_version + n && n < wire::kMaxListItems &&
         bytes + entry.size() <= options_.max_message_bytes;
}

void Spreader::Hear(Log& log, LogVersion version) {
  if (version <= log.heard) return;
  log.heard = version;
  if (version > log.version) log.follower->OnHeard(version);
}

std::vector<std::string> Spreader::Kept(const LogName& log,
                                        LogVersion first) const {
  const auto* it = Find(log);
  if (it == nullptr || first > it->version) return {};
  const auto oldest = it->version - it->recent.size() + 1;
  if (first < oldest) return {};
  return {it->recent.begin() + static_cast<std::ptrdiff_t>(first - oldest),
          it->recent.end()};
}

/// One of the own domain three times out of four, if there is any: it is near,
/// but a whole domain may be as ignorant as this process.
std::optional<wire::Peer> Spreader::SomePeer() {
  constexpr int kFarShare = 4;
  const auto& self = group_.self();
  auto near = group_.table().PresentIn(self.domain);
  auto all = group_.table().Present();
  const auto is_self = [&](const auto* it) {
    return it->identity.name == self.name;
  };
  std::erase_if(near, is_self);
  std::erase_if(all, is_self);
  const bool goes_far = near.empty() || random_() % kFarShare == 0;
  const auto& from = goes_far ? all : near;
  if (from.empty()) return std::nullopt;
  return PeerOf(from[random_() % from.size()]->identity);
}

void Spreader::Pull(Log& log, const wire::Peer& peer, int tries) {
  ++counts_.pulls;
  log.pull_until = loop_.Now() + options_.pull_timeout;
  transport_.Send(peer, wire::PullEntries{log.name, log.version + 1});
  loop_.After(options_.pull_timeout,
              [this, alive = alive_, name = log.name, peer, tries] {
                if (!*alive) return;
                if (auto* it = Find(name)) OnPullDue(*it, peer, tries);
              });
}

void Spreader::OnPullDue(Log& log, const wire::Peer& peer, int tries) {
  const bool is_open = log.has_base && !log.transfer &&
                       log.version < log.heard && loop_.Now() >= log.pull_until;
  if (!is_open || tries >= kPullTries) return;
  const bool same_again = tries % 2 != 0;
  Pull(log, same_again ? peer : SomePeer().value_or(peer), tries + 1);
}

Spreader::Log* Spreader::Find(const LogName& name) {
  const auto it = logs_.find(name);
  return it == logs_.end() ? nullptr : &it->second;
}

const Spreader::Log* Spreader::Find(const LogName& name) const {
  const auto it = logs_.find(name);
  return it == logs_.end() ? nullptr : &it->second;
}

}  // namespace lapishatch::membership
