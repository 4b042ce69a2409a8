#ifndef LAPISHATCH_BACKENDS_WORKER_CODEC_H_
#define LAPISHATCH_BACKENDS_WORKER_CODEC_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "backends/codec_error.h"
#include "backends/worker_client.h"
#include "http/http.h"
#include "lifecycle/lifecycle.h"

/// The worker protocol of docs/OUTSIDE.md as JSON, in both directions: the
/// scheduler and the stand-in worker share these functions, so their formats
/// cannot diverge. Decoders fail with a CodecError.

namespace lapishatch::backends {

inline constexpr std::string_view kOrdersPath = "/v1/orders";
inline constexpr std::string_view kReportPath = "/v1/report";

/// The body of an order. A payload that is not JSON is encoded as a JSON
/// string.
std::string EncodeOrder(const lifecycle::WorkerOrder& order);
boost::leaf::result<lifecycle::WorkerOrder> DecodeOrder(std::string_view body);

/// The body of a report. Fields of a task with their default value are omitted.
std::string EncodeReport(const lifecycle::WorkerReport& report);
boost::leaf::result<lifecycle::WorkerReport> DecodeReport(
    std::string_view body);

/// The response to an order. `outcome` must be one that a worker can return:
/// OrderDone, StaleEpoch or IncarnationMismatch; the others become status 500.
http::Response EncodeOrderResponse(const lifecycle::OrderOutcome& outcome);

/// Interprets a response to an order of `commands` commands. A response that
/// violates the protocol is OrderOutcomeUnknown, since the worker may have
/// executed the order.
lifecycle::OrderOutcome DecodeOrderResponse(const http::Response& response,
                                            std::size_t commands);

/// The request target for a report.
std::string EncodeReportQuery(const ReportQuery& query);
boost::leaf::result<ReportQuery> DecodeReportQuery(const http::Target& target);

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_WORKER_CODEC_H_
