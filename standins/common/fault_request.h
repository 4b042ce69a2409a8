#ifndef LAPISHATCH_STANDINS_COMMON_FAULT_REQUEST_H_
#define LAPISHATCH_STANDINS_COMMON_FAULT_REQUEST_H_

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <string>
#include <string_view>

#include "base/base.h"
#include "http/http.h"

namespace lapishatch::standins {

/// What is wrong with a request to the fault port.
struct FaultRequestError {
  std::string detail;
};

/// The body of `POST /faults`.
struct FaultRequest {
  std::string kind;
  /// Which worker or runner; empty: all of the process.
  std::string target;
  base::Duration time{0};
};

/// Reads {"kind":"…","<target_field>":"…","ms":…}; only `kind` is required.
boost::leaf::result<FaultRequest> ParseFaultRequest(
    std::string_view body, std::string_view target_field);

/// 200 with `value` as JSON.
http::Response JsonAnswer(const boost::json::value& value);

/// 400 that names what is wrong.
http::Response BadFaultRequest(const std::string& detail);

/// Answers a fault port's `POST /faults`: parses it, finds its kind in the
/// table of `Fault` and calls `apply(fault, request)`, which returns whether
/// the target is known.
template <typename Fault, typename Apply>
http::Response AnswerFaultRequest(std::string_view body,
                                  std::string_view target_field, Apply apply) {
  namespace leaf = boost::leaf;
  return leaf::try_handle_all(
      [&]() -> leaf::result<http::Response> {
        BOOST_LEAF_AUTO(request, ParseFaultRequest(body, target_field));
        const auto fault = base::ParseEnum<Fault>(request.kind);
        if (!fault) {
          return BadFaultRequest("kind must be one of " +
                                 base::AllowedNames<Fault>());
        }
        if (!apply(*fault, request)) {
          return BadFaultRequest("no " + std::string(target_field) +
                                 " is called " + request.target);
        }
        return JsonAnswer({{"kind", request.kind}});
      },
      [](const FaultRequestError& error) {
        return BadFaultRequest(error.detail);
      },
      [] { return BadFaultRequest("not understood"); });
}

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_COMMON_FAULT_REQUEST_H_
