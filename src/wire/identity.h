#ifndef LAPISHATCH_WIRE_IDENTITY_H_
#define LAPISHATCH_WIRE_IDENTITY_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/base.h"

namespace lapishatch::wire {

using ProcessName = base::Id<struct MemberProcessTag>;

/// The program that a process runs.
enum class Role : std::uint8_t { kEntry, kScheduler };

/// Where a process listens for the inner protocol: an IP number and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// "address:port".
std::string TextOf(const Endpoint& endpoint);

/// Who a process is; the same for its whole life.
struct Identity {
  /// Unique among the processes that run now, but for two lives of one.
  ProcessName name;
  Role role = Role::kEntry;
  base::DomainName domain;
  base::Incarnation incarnation;
  Endpoint endpoint;

  friend auto operator<=>(const Identity&, const Identity&) = default;
};

/// Whom a message is for: the life `incarnation` if a link to it is open, else
/// whoever listens at `endpoint`.
struct Peer {
  Endpoint endpoint;
  base::Incarnation incarnation;

  friend auto operator<=>(const Peer&, const Peer&) = default;
};

inline Peer PeerOf(const Identity& identity) {
  return Peer{identity.endpoint, identity.incarnation};
}

}  // namespace lapishatch::wire

namespace lapishatch::base {
template <>
struct EnumNames<wire::Role> {
  static constexpr std::array<std::string_view, 2> kNames = {"entry",
                                                             "scheduler"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_WIRE_IDENTITY_H_
