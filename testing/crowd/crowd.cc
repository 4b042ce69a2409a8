#include "crowd/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace lapishatch::crowd {
namespace {

constexpr int kPollMs = 50;
/// Polls without progress after which the server takes no more.
constexpr int kIdlePolls = 8;

int OpenSocket(const http::Endpoint& target) {
  const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (out < 0) return out;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(target.port);
  ::inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
  // A failure shows when the socket is polled.
  static_cast<void>(
      ::connect(out, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  return out;
}

/// Discards what the server has sent.
void Receive(int socket, bool& is_closed) {
  std::array<char, 4'096> buf;
  const auto n = ::recv(socket, buf.data(), buf.size(), 0);
  if (n == 0 || (n < 0 && errno != EAGAIN)) is_closed = true;
}

}  // namespace

void Crowd::Press(int n, const CrowdMember& member) {
  const auto shared = std::make_shared<const CrowdMember>(member);
  for (int i = 0; i < n; ++i) Open(shared);
  Settle();
}

void Crowd::Press(const std::vector<CrowdMember>& members) {
  for (const auto& it : members) {
    Open(std::make_shared<const CrowdMember>(it));
  }
  Settle();
}

void Crowd::Reopen() {
  std::vector<MemberPtr> members;
  std::erase_if(connections_, [&](const Connection& it) {
    if (!it.is_closed) return false;
    ::close(it.socket);
    members.push_back(it.member);
    return true;
  });
  for (const auto& it : members) Open(it);
  Settle();
}

void Crowd::Open(const MemberPtr& member) {
  const int socket = OpenSocket(target_);
  if (socket >= 0) connections_.push_back({socket, member});
}

void Crowd::Settle() {
  for (int idle = 0; idle < kIdlePolls;) {
    idle = Advance() ? 0 : idle + 1;
    bool is_sending = false;
    for (const auto& it : connections_) {
      is_sending |= !it.is_closed && it.sent < it.member->bytes.size();
    }
    if (!is_sending && idle > 1) return;
  }
}

bool Crowd::Advance() {
  std::vector<pollfd> polled;
  std::vector<Connection*> open;
  for (auto& it : connections_) {
    if (it.is_closed) continue;
    polled.push_back({it.socket, POLLRDHUP, 0});
    auto& events = polled.back().events;
    if (it.member->reading == Reading::kAlways) events |= POLLIN;
    if (it.sent < it.member->bytes.size()) events |= POLLOUT;
    open.push_back(&it);
  }
  if (::poll(polled.data(), polled.size(), kPollMs) <= 0) return false;
  bool has_progress = false;
  for (std::size_t i = 0; i < polled.size(); ++i) {
    const auto events = polled[i].revents;
    if (events == 0) continue;
    has_progress = true;
    auto& it = *open[i];
    if ((events & POLLIN) != 0) Receive(it.socket, it.is_closed);
    if ((events & (POLLERR | POLLHUP | POLLRDHUP)) != 0) it.is_closed = true;
    if (it.is_closed || (events & POLLOUT) == 0) continue;
    const auto& bytes = it.member->bytes;
    const auto n = ::send(it.socket, bytes.data() + it.sent,
                          bytes.size() - it.sent, MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN) it.is_closed = true;
    if (n > 0) it.sent += static_cast<std::size_t>(n);
  }
  return has_progress;
}

void Crowd::Close() {
  for (const auto& it : connections_) ::close(it.socket);
  connections_.clear();
}

}  // namespace lapishatch::crowd
