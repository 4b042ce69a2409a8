#ifndef LAPISHATCH_ENTRY_REQUEST_HANDLER_H_
#define LAPISHATCH_ENTRY_REQUEST_HANDLER_H_

#include <string>
#include <variant>

#include "base/base.h"
#include "entry/refusal.h"
#include "http/http.h"
#include "routing/routing.h"

namespace lapishatch::entry {

struct RequestHandlerOptions {
  /// Time of a caller that names none.
  base::Duration default_deadline{10'000};
  /// A caller that asks for more gets this.
  base::Duration max_deadline{300'000};
};

/// A request's header fields as routing takes them, or the problem that they
/// have.
using ParsedRequest = std::variant<routing::RoutedRequest, http::Response>;

/// Checks the form of `POST /v1/services/{service}/requests` (docs/API.md).
ParsedRequest ParseRoutedRequest(const http::Request& request,
                                 base::ServiceName service,
                                 const RequestHandlerOptions& options);

/// The response that tells a caller its outcome: the runner's status and body
/// byte for byte, or a problem that says what is known of the work.
http::Response ResponseTo(const routing::RequestOutcome& outcome,
                          const base::RequestId& id);

/// Serves requests to runners: header fields in, outcome out. Safe from several
/// threads; `path` outlives it.
class RequestHandler {
 public:
  RequestHandler(routing::RequestPath& path, RequestHandlerOptions options)
      : path_(path), options_(options) {}

  void Handle(http::ExchangePtr exchange, base::ServiceName service);

  /// The refusal of a request that is not even looked at.
  static http::Response RefuseNotRun(const http::Request& request,
                                     const Refusal& refusal);

 private:
  routing::RequestPath& path_;
  RequestHandlerOptions options_;
};

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_REQUEST_HANDLER_H_
