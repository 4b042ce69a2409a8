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
  ::connect(out, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return out;
}

}  // namespace

void Crowd::Press(int n, const CrowdMember& member) {
  Open(n);
  for (int idle = 0; idle < kIdlePolls;) {
    idle = Advance(member) ? 0 : idle + 1;
    bool is_sending = false;
    for (const auto& it : connections_) {
      is_sending |= !it.is_closed && it.sent < member.bytes.size();
    }
    if (!is_sending && idle > 1) return;
  }
}

int Crowd::Reopen(const CrowdMember& member) {
  const auto closed = std::erase_if(connections_, [](const Connection& it) {
    if (it.is_closed) ::close(it.socket);
    return it.is_closed;
  });
  Press(static_cast<int>(closed), member);
  return static_cast<int>(closed);
}

void Crowd::Open(int n) {
  for (int i = 0; i < n; ++i) {
    const int socket = OpenSocket(target_);
    if (socket >= 0) connections_.push_back({socket});
  }
}

bool Crowd::Advance(const CrowdMember& member) {
  std::vector<pollfd> polled;
  std::vector<Connection*> open;
  for (auto& it : connections_) {
    if (it.is_closed) continue;
    short events = POLLRDHUP;
    if (member.reading == Reading::kAlways) events |= POLLIN;
    if (it.sent < member.bytes.size()) events |= POLLOUT;
    polled.push_back({it.socket, events, 0});
    open.push_back(&it);
  }
  if (::poll(polled.data(), polled.size(), kPollMs) <= 0) return false;
  bool has_progress = false;
  for (std::size_t i = 0; i < polled.size(); ++i) {
    auto& connection = *open[i];
    const auto events = polled[i].revents;
    if ((events & POLLIN) != 0) {
      std::array<char, 4'096> buf{};
      const auto n = ::recv(connection.socket, buf.data(), buf.size(), 0);
      if (n <= 0 && errno != EAGAIN) connection.is_closed = true;
      has_progress = true;
    }
    if ((events & (POLLERR | POLLHUP | POLLRDHUP)) != 0) {
      connection.is_closed = true;
      has_progress = true;
      continue;
    }
    if ((events & POLLOUT) != 0) {
      const auto n =
          ::send(connection.socket, member.bytes.data() + connection.sent,
                 member.bytes.size() - connection.sent, MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN) connection.is_closed = true;
      if (n > 0) connection.sent += static_cast<std::size_t>(n);
      has_progress = true;
    }
  }
  return has_progress;
}

void Crowd::Close() {
  for (const auto& it : connections_) ::close(it.socket);
  connections_.clear();
}

}  // namespace lapishatch::crowd
