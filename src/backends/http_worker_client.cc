#include <utility>

#include "backends/worker_client.h"
#include "backends/worker_codec.h"

namespace lapishatch::backends {
namespace {

namespace leaf = boost::leaf;

constexpr int kOk = 200;

lifecycle::OrderOutcome OrderOutcomeOf(const http::ClientResult& result,
                                       std::size_t commands) {
  if (const auto* response = std::get_if<http::Response>(&result)) {
    return DecodeOrderResponse(*response, commands);
  }
  const auto& error = std::get<http::ClientError>(result);
  if (error.progress == http::Progress::kNothingSent) {
    return lifecycle::OrderNotSent{error.detail};
  }
  return lifecycle::OrderOutcomeUnknown{error.detail};
}

ReportResult ReportResultOf(const http::ClientResult& result) {
  if (const auto* error = std::get_if<http::ClientError>(&result)) {
    return ReportFailed{error->detail};
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != kOk) {
    return ReportFailed{"worker answered " + std::to_string(response.status)};
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<ReportResult> {
        BOOST_LEAF_AUTO(report, DecodeReport(response.body));
        return ReportResult(std::move(report));
      },
      [](const CodecError& error) -> ReportResult {
        return ReportFailed{TextOf(error)};
      },
      []() -> ReportResult { return ReportFailed{"report not understood"}; });
}

class HttpWorkerClient final : public WorkerClient {
 public:
  HttpWorkerClient(http::Client& client, HttpWorkerOptions options)
      : client_(client), options_(options) {}

  void Send(const http::Endpoint& worker, lifecycle::WorkerOrder order,
            std::function<void(lifecycle::OrderOutcome)> done) override {
    http::Request request;
    request.method = "POST";
    request.target = kOrdersPath;
    request.headers.Set("Content-Type", "application/json");
    request.body = EncodeOrder(order);
    const auto commands = order.commands.size();
    client_.Send(
        worker, std::move(request), options_.order_timeout,
        [commands, done = std::move(done)](const http::ClientResult& result) {
          done(OrderOutcomeOf(result, commands));
        });
  }

  void FetchReport(const http::Endpoint& worker, ReportQuery query,
                   std::function<void(ReportResult)> done) override {
    http::Request request;
    request.target = EncodeReportQuery(query);
    client_.Send(worker, std::move(request),
                 options_.report_timeout + query.wait,
                 [done = std::move(done)](const http::ClientResult& result) {
                   done(ReportResultOf(result));
                 });
  }

 private:
  http::Client& client_;
  HttpWorkerOptions options_;
};

}  // namespace

std::unique_ptr<WorkerClient> MakeHttpWorkerClient(http::Client& client,
                                                   HttpWorkerOptions options) {
  return std::make_unique<HttpWorkerClient>(client, options);
}

}  // namespace lapishatch::backends
