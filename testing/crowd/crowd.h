#ifndef LAPISHATCH_TESTING_CROWD_CROWD_H_
#define LAPISHATCH_TESTING_CROWD_CROWD_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "http/message.h"

namespace lapishatch::crowd {

/// Whether a crowd takes what the server sends.
enum class Reading { kNever, kAlways };

/// What each connection of a crowd does. It sends `bytes` and then stays open.
struct CrowdMember {
  std::string bytes;
  Reading reading = Reading::kAlways;
};

/// Connections of clients that the server does not control.
class Crowd {
 public:
  explicit Crowd(http::Endpoint target) : target_(std::move(target)) {}
  ~Crowd() { Close(); }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Opens `n` more connections that act like `member`. Returns when each has
  /// sent everything or was closed by the server, or when none has made
  /// progress for a while.
  void Press(int n, const CrowdMember& member);

  /// The same for one connection for each of `members`.
  void Press(const std::vector<CrowdMember>& members);

  /// Opens a new connection for each that the server has closed, and presses
  /// with these.
  void Reopen();

  /// Closes all connections.
  void Close();

 private:
  using MemberPtr = std::shared_ptr<const CrowdMember>;

  struct Connection {
    int socket = -1;
    MemberPtr member;
    std::size_t sent = 0;
    bool is_closed = false;
  };

  void Open(const MemberPtr& member);
  /// Sends and receives until nothing moves any more.
  void Settle();
  /// Sends and receives what is possible. Returns whether anything was.
  bool Advance();

  const http::Endpoint target_;
  std::vector<Connection> connections_;
};

}  // namespace lapishatch::crowd

#endif  // LAPISHATCH_TESTING_CROWD_CROWD_H_
