#ifndef LAPISHATCH_BACKENDS_RUNNER_CODEC_H_
#define LAPISHATCH_BACKENDS_RUNNER_CODEC_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>

#include "backends/codec_error.h"
#include "backends/runner_client.h"
#include "http/http.h"

/// The runner protocol of docs/OUTSIDE.md over HTTP, in both directions: the
/// request path and the stand-in runner use the same functions. Decoders of
/// requests fail with a CodecError.

namespace lapishatch::backends {

inline constexpr std::string_view kPingPath = "/v1/ping";

/// The HTTP request that carries `request` to a runner.
http::Request EncodeRunnerRequest(RunnerRequest request);
boost::leaf::result<RunnerRequest> DecodeRunnerRequest(
    const http::Request& request);

/// A runner's response to the request with `id`: the work was run.
http::Response EncodeRunnerResponse(const base::RequestId& id,
                                    RunnerResponse answer);

/// A runner's response to the request with `id`: the work was not run.
http::Response EncodeRunnerRefusal(const base::RequestId& id,
                                   const RunnerRefused& refusal);

/// What a response to the request with `id` means. RunnerRefused only on the
/// runner's own word; a response with another id, or none, is
/// RunnerResponseLost.
RunnerOutcome DecodeRunnerResponse(const base::RequestId& id,
                                   http::Response response);

/// A runner's response to a ping.
http::Response EncodePingResponse(const RunnerLoad& load);
PingResult DecodePingResponse(const http::Response& response);

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_RUNNER_CODEC_H_
