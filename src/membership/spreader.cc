#include "membership/spreader.h"

#include <algorithm>
#include <utility>

namespace lapishatch::membership {

Spreader::Spreader(base::EventLoop& loop, wire::Transport& transport,
                   Group& group, wire::RequestChannel& requests,
                   SpreaderOptions options)
    : loop_(loop),
      transport_(transport),
      group_(group),
      requests_(requests),
      options_(options) {}

Spreader::~Spreader() { *alive_ = false; }

void Spreader::Follow(const LogName& log, LogFollower& follower,
                      LogVersion version) {
  auto& it = logs_[log];
  it.name = log;
  it.follower = &follower;
  it.version = version;
  it.heard = version;
}

void Spreader::Publish(const LogName& log, LogVersion first_version,
                       std::vector<std::string> entries) {
  auto* it = Find(log);
  if (it == nullptr) return;
  const auto before = it->version;
  Accept(*it, first_version, std::move(entries));
  if (it->version > before) SchedulePush(*it, before + 1);
}

void Spreader::SkipTo(const LogName& log, LogVersion version) {
  auto* it = Find(log);
  if (it == nullptr || version <= it->version) return;
  it->version = version;
  it->heard = std::max(it->heard, version);
  it->recent.clear();
  it->recent_bytes = 0;
  it->push_from.reset();
  const auto before = it->version;
  Accept(*it, version + 1, {});
  if (it->version > before) SchedulePush(*it, before + 1);
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
    log->heard = std::max(log->heard, head.version);
    if (head.version <= log->version) continue;
    if (log->transfer || loop_.Now() < log->pull_until) continue;
    Pull(*log, PeerOf(from));
  }
}

void Spreader::OnEntries(const wire::Identity& from, wire::LogEntries message) {
  auto* log = Find(message.log);
  if (log == nullptr) return;
  const auto peer = PeerOf(from);
  if (message.entries.empty()) {
    if (message.first_version > log->version + 1) StartTransfer(*log, peer);
    return;
  }
  const auto before = log->version;
  Accept(*log, message.first_version, std::move(message.entries));
  if (log->version > before) {
    log->pull_until = base::TimePoint();
    if (message.pass_on) PassOn(*log, before + 1, from);
  }
  const bool has_gap = log->version < log->heard;
  if (!has_gap || log->transfer || loop_.Now() < log->pull_until) return;
  if (log->version == before) {
    base::Log(base::events::kLogGap, {{"log", log->name.str()},
                                      {"version", log->version},
                                      {"heard", log->heard}});
  }
  Pull(*log, peer);
}

/// Sends the changes from a version on, as many as fit a message; none, with
/// the version after the newest, when they are no longer kept.
void Spreader::OnPull(const wire::Identity& from,
                      const wire::PullEntries& pull) {
  const auto* log = Find(pull.log);
  if (log == nullptr || pull.first_version > log->version) return;
  const auto oldest = log->version - log->recent.size() + 1;
  if (pull.first_version < oldest) {
    transport_.Send(PeerOf(from),
                    wire::LogEntries{log->name, log->version + 1, {}, false});
    return;
  }
  const auto chunks = Chunks(*log, pull.first_version, log->version);
  transport_.Send(PeerOf(from), chunks.front());
}

/// Applies what follows the present version and keeps what comes after a gap.
/// Returns the version that is now reached.
LogVersion Spreader::Accept(Log& log, LogVersion first,
                            std::vector<std::string> items) {
  for (auto& it : items) {
    const auto version = first++;
    if (version <= log.version) {
      ++counts_.entries_repeated;
      continue;
    }
    log.heard = std::max(log.heard, version);
    if (version == log.version + 1) {
      Apply(log, std::move(it));
    } else if (log.pending.size() < options_.max_pending) {
      log.pending.try_emplace(version, std::move(it));
    }
  }
  while (!log.pending.empty()) {
    const auto it = log.pending.begin();
    if (it->first > log.version + 1) break;
    if (it->first == log.version + 1) Apply(log, std::move(it->second));
    log.pending.erase(it);
  }
  return log.version;
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

void Spreader::SchedulePush(Log& log, LogVersion from) {
  if (log.push_from) return;
  log.push_from = from;
  loop_.After(options_.spread_delay, [alive = alive_, this, name = log.name] {
    if (!*alive) return;
    auto* it = Find(name);
    if (it->push_from) Push(*it);
  });
}

/// To all of the own domain, and to one member of each other, which passes it
/// on. Who that is differs from change to change, so that no process carries
/// the load of its domain.
void Spreader::Push(Log& log) {
  const auto from = *std::exchange(log.push_from, std::nullopt);
  const auto& self = group_.self();
  for (auto& it : Chunks(log, from, log.version)) {
    for (const auto* member : group_.table().PresentIn(self.domain)) {
      if (member->identity.name == self.name) continue;
      transport_.Send(PeerOf(member->identity), it);
    }
    it.pass_on = true;
    const auto key = log.name.str() + std::to_string(it.first_version);
    for (const auto& domain : group_.table().Domains()) {
      if (domain == self.domain || !group_.IsReachable(domain)) continue;
      for (const auto* member : group_.table().Choose(domain, key, 1)) {
        transport_.Send(PeerOf(member->identity), it);
      }
    }
  }
}

void Spreader::PassOn(Log& log, LogVersion from, const wire::Identity& sender) {
  const auto& self = group_.self();
  for (const auto& it : Chunks(log, from, log.version)) {
    for (const auto* member : group_.table().PresentIn(self.domain)) {
      const auto& name = member->identity.name;
      if (name == self.name || name == sender.name) continue;
      transport_.Send(PeerOf(member->identity), it);
    }
  }
}

/// The kept changes of a range, in messages of bounded size.
std::vector<wire::LogEntries> Spreader::Chunks(const Log& log, LogVersion from,
                                               LogVersion to) const {
  std::vector<wire::LogEntries> chunks;
  const auto oldest = log.version - log.recent.size() + 1;
  std::size_t bytes = 0;
  for (auto v = std::max(from, oldest); v <= to; ++v) {
    const auto& entry = log.recent[v - oldest];
    const bool is_full = !chunks.empty() &&
                         (bytes + entry.size() > options_.max_message_bytes ||
                          chunks.back().entries.size() >= wire::kMaxListItems);
    if (chunks.empty() || is_full) {
      chunks.push_back(wire::LogEntries{log.name, v, {}, false});
      bytes = 0;
    }
    chunks.back().entries.push_back(entry);
    bytes += entry.size();
  }
  return chunks;
}

void Spreader::Pull(Log& log, const wire::Peer& peer) {
  ++counts_.pulls;
  log.pull_until = loop_.Now() + options_.pull_timeout;
  transport_.Send(peer, wire::PullEntries{log.name, log.version + 1});
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
