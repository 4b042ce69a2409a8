#ifndef LAPISHATCH_ROUTING_REQUEST_H_
#define LAPISHATCH_ROUTING_REQUEST_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/base.h"

namespace lapishatch::routing {

/// A caller's request whose form has been checked.
struct RoutedRequest {
  base::RequestId id;
  base::OrganisationName organisation;
  base::ServiceName service;
  base::WorkClass work_class = base::WorkClass::kNormal;
  /// Time the caller still has, from the moment it is handed over.
  base::Duration deadline{0};
  bool idempotent = false;
  /// Set when not idempotent.
  base::IdempotencyKey key;
  std::string content_type;
  std::string body;
};

/// Why a request has no answer of a runner.
enum class Refusal : std::uint8_t {
  kNoSuchService,
  kNoSuchOrganisation,
  kKeyInProgress,
  kKeyReused,
  kOverShare,
  kRunnerFailed,
  kOutcomeUnknown,
  kCannotNow,
  kDeadlinePassed,
};

/// The runner's whole answer. The work ran.
struct RequestAnswered {
  int status = 200;
  std::string content_type;
  std::string body;

  friend bool operator==(const RequestAnswered&,
                         const RequestAnswered&) = default;
};

/// No answer, and what is known of the work. `work` is kNotRun only when no
/// byte of the request can have reached a runner that may have run it.
struct RequestRefused {
  Refusal reason = Refusal::kCannotNow;
  base::WorkDone work = base::WorkDone::kNotRun;
  std::string detail;
  /// When the caller may come back; zero when that is no use.
  base::Duration retry_after{0};
};

using RequestOutcome = std::variant<RequestAnswered, RequestRefused>;

}  // namespace lapishatch::routing

namespace lapishatch::base {
template <>
struct EnumNames<routing::Refusal> {
  static constexpr std::array<std::string_view, 9> kNames = {
      "no-such-service", "no-such-organisation", "key-in-progress",
      "key-reused",      "over-share",           "runner-failed",
      "outcome-unknown", "cannot-now",           "deadline-passed"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_ROUTING_REQUEST_H_
