#ifndef LAPISHATCH_HTTP_MESSAGE_H_
#define LAPISHATCH_HTTP_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/base.h"

namespace lapishatch::http {

/// The address of a listening socket: an IP number and a port. Names are never
/// resolved.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// "address:port".
std::string TextOf(const Endpoint& endpoint);

/// One header field. Names compare without regard to case.
struct HeaderField {
  std::string name;
  std::string value;
};

/// The header fields of a message, in order.
class Headers {
 public:
  Headers() = default;
  Headers(std::initializer_list<HeaderField> fields) : fields_(fields) {}
  explicit Headers(std::vector<HeaderField> fields)
      : fields_(std::move(fields)) {}

  /// The value of the first field called `name`, or an empty view.
  std::string_view Find(std::string_view name) const;

  /// Whether a field called `name` is there.
  bool Has(std::string_view name) const;

  /// Replaces every field called `name` by one with `value`.
  void Set(std::string_view name, std::string_view value);

  const std::vector<HeaderField>& fields() const { return fields_; }

 private:
  std::vector<HeaderField> fields_;
};

/// A whole request. `target` is the path with its query, as sent.
struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;
};

/// A whole response.
struct Response {
  int status = 200;
  Headers headers;
  std::string body;
  /// Ends the connection after this answer, so that the caller's next request
  /// may reach another process.
  bool closes_connection = false;
};

/// The path of a target and its query parameters, percent-decoded.
struct QueryParameter {
  std::string name;
  std::string value;
};

struct Target {
  std::string path;
  /// The path's segments without empty ones: "/v1/jobs/a" gives {"v1", "jobs",
  /// "a"}.
  std::vector<std::string> segments;
  std::vector<QueryParameter> query;

  /// The value of query parameter `name`, or an empty view.
  std::string_view Query(std::string_view name) const;
};

/// Splits and decodes a request target. Malformed percent escapes are kept as
/// they stand.
Target ParseTarget(std::string_view target);

/// A problem+json response (RFC 9457) whose `type` is "about:blank#<type>".
Response MakeProblem(int status, std::string_view type, std::string_view title,
                     std::string_view detail);

/// A problem that also tells the caller what is known of its work, in the body
/// (`work`, `request_id` unless empty) and in the header `Lapishatch-Work`.
Response MakeWorkProblem(int status, std::string_view type,
                         std::string_view title, std::string_view detail,
                         base::WorkDone work, std::string_view request_id);

}  // namespace lapishatch::http

#endif  // LAPISHATCH_HTTP_MESSAGE_H_
