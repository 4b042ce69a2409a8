#ifndef LAPISHATCH_ENTRY_REFUSAL_H_
#define LAPISHATCH_ENTRY_REFUSAL_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "config/config.h"
#include "http/http.h"

namespace lapishatch::entry {

/// Status codes of the resource API.
enum HttpStatus : int {
  kOk = 200,
  kCreated = 201,
  kAccepted = 202,
  kBadRequest = 400,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kConflict = 409,
  kGone = 410,
  kPreconditionFailed = 412,
  kUnprocessable = 422,
  kPreconditionRequired = 428,
  kUnavailable = 503,
};

/// What a refusal says besides its status (RFC 9457).
struct Refusal {
  int status = kBadRequest;
  std::string_view type;
  std::string_view title;
  std::string detail;
  /// Field by field, if there are fields.
  config::Problems problems;
  /// The resource as it stands, if that is the matter.
  config::ResourcePtr present;
  /// Whether a change took effect, when that is not plainly no.
  bool is_unknown = false;
  /// Worth repeating after this.
  std::optional<int> retry_after_s;
};

/// The problem+json response.
http::Response ToResponse(const Refusal& refusal);

http::Response JsonResponse(int status, const boost::json::object& body);

/// The response to the outcome of changes that were not accepted.
http::Response ResponseTo(const config::ChangesRefused& outcome);
http::Response ResponseTo(const config::ChangesNotAccepted& outcome);
http::Response ResponseTo(const config::ChangesUnknown& outcome);

/// "\"41\"".
std::string ETagOf(config::LogVersion version);

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_REFUSAL_H_
