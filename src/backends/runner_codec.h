#ifndef LAPISHATCH_BACKENDS_RUNNER_CODEC_H_
#define LAPISHATCH_BACKENDS_RUNNER_CODEC_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>

#include "backends/codec_error.h"
#include "backends/runner_client.h"
#include "http/http.h"

/// The runner protocol of docs/OUTSIDE.md over HTTP, in both directions: the
/// request path and the stand-in runner share these functions. Decoders of
/// requests fail with a CodecError.

namespace lapishatch::backends {

inline constexpr std::string_view kPingPath = "/v1/ping";

/// The HTTP request that carries `request` to a runner.
http::Request EncodeRunnerRequest(RunnerRequest request);
boost::leaf::result<RunnerRequest> DecodeRunnerRequest(
    const http::Request& request);

/// A runner's response to the request with `id` after it ran the work.
http::Response EncodeRunnerResponse(const base::RequestId& id,
                                    RunnerResponse answer);

/// A runner's response to the request with `id` if it did not run the work.
http::Response EncodeRunnerRefusal(const base::RequestId& id,
                                   const RunnerRefused& refusal);

/// Interprets a response to the request with `id`. The result is RunnerRefused
/// only if the runner reported a refusal; a response with another id, or none,
/// is RunnerResponseLost.
RunnerOutcome DecodeRunnerResponse(const base::RequestId& id,
                                   http::Response response);

/// A runner's response to a ping.
http::Response EncodePingResponse(const RunnerLoad& load);
PingResult DecodePingResponse(const http::Response& response);

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_RUNNER_CODEC_H_
