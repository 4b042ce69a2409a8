#ifndef LAPISHATCH_TEST_SITE_ENTRY_WORLD_H_
#define LAPISHATCH_TEST_SITE_ENTRY_WORLD_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_row_store.h"
#include "fakes/virtual_time.h"
#include "http/http.h"
#include "jobs/jobs.h"
#include "platform/job_http_handler.h"
#include "platform/operator_feed.h"
#include "store/store_health.h"

namespace lapishatch::platform {

/// Keeps the response to one request.
class RecordedExchange final : public http::Exchange {
 public:
  explicit RecordedExchange(http::Request request)
      : request_(std::move(request)) {}

  const http::Request& request() const override { return request_; }
  void Respond(http::Response response) override {
    response_ = std::move(response);
  }
  void StartStream(http::Response head) override { Respond(std::move(head)); }
  bool Write(std::string bytes) override { return !bytes.empty(); }
  void End() override {}
  void OnGone(std::function<void()> gone) override { gone_ = std::move(gone); }

  const std::optional<http::Response>& response() const { return response_; }

 private:
  const http::Request request_;
  std::function<void()> gone_;
  std::optional<http::Response> response_;
};

/// A configuration whose routes and API keys are given by their numbers.
struct TestConfiguration {
  std::uint64_t version = 0;
  std::set<int> routes;
  std::set<int> keys;
  /// The service to which all routes send jobs.
  std::string service = "s";

  static std::string PrefixOf(int route) {
    return "/route" + std::to_string(route) + "/";
  }
  static std::string KeyOf(int key) { return "key" + std::to_string(key); }

  std::string Encode() const {
    std::string routes_json;
    for (const int it : routes) {
      if (!routes_json.empty()) routes_json += ',';
      routes_json += R"({"name":"q)" + std::to_string(it) +
                     R"(","host":"h","service":")" + service +
                     R"(","prefix":")" + PrefixOf(it) + R"("})";
    }
    std::string keys_json;
    for (const int it : keys) {
      if (!keys_json.empty()) keys_json += ',';
      keys_json += '"' + KeyOf(it) + '"';
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           routes_json + R"(],"tenants":[{"name":"o","api-keys":[)" +
           keys_json + "]}]}";
  }
};

/// Simulates one process that serves callers' requests, and its store, in
/// virtual time.
class EntryWorld {
 public:
  static constexpr const char* kVm = "vm";

  EntryWorld() { store_health.Start(); }

  /// Writes the configuration as an operator does.
  void Put(const TestConfiguration& configuration) {
    store.Put("op", "", "config", configuration.Encode());
  }

  void RunFor(int ms) { time.RunFor(base::Duration(ms)); }

  /// Sends a request with an API key to `path` below the prefix of a route, and
  /// returns the response. Runs the simulation until the response, at most 3 s;
  /// the status is 0 if there is none.
  http::Response Send(const std::string& method, int route, int key,
                      const std::string& path, const std::string& body = "") {
    http::Request request;
    request.method = method;
    request.target = TestConfiguration::PrefixOf(route) + path;
    request.headers.Set("Host", "h");
    request.headers.Set("Authorization",
                        "Bearer " + TestConfiguration::KeyOf(key));
    request.body = body;
    const auto exchange = std::make_shared<RecordedExchange>(request);
    handler.Handle(exchange);
    time.RunUntil([&exchange] { return exchange->response().has_value(); },
                  base::Duration(3'000));
    http::Response out;
    out.status = 0;
    return exchange->response().value_or(out);
  }

  /// Counts the waiting jobs of a route with an API key, and returns the status
  /// of the response.
  int Ask(int route, int key) { return Send("GET", route, key, "").status; }

  fakes::VirtualTime time;
  fakes::FakeRowStore store{time};
  store::MonitoredStore store_health{time, store.For(kVm), {}};
  base::MetricRegistry metrics;
  /// Total time for which the VM has been suspended.
  base::Duration suspended{0};
  const dispatch::Bounds bounds;
  OperatorFeed feed{time, store_health, bounds, [this] { return suspended; },
                    [](const jobs::QueueConfiguration&) {}};
  jobs::JobService jobs{store_health};
  /// The services that may have jobs, as far as the process knows.
  std::vector<base::ServiceName> services;
  JobHttpHandler handler{
      {jobs, [this] { return services; },
       [this] { return store_health.IsOut(); }, metrics,
       [this] { return feed.Configuration(); },
       [this](OperatorFeed::ConfigurationViewCallback done) {
         feed.AwaitConfiguration(std::move(done));
       },
       [this] { return time.Now().time_since_epoch().count(); }}};
};

}  // namespace lapishatch::platform

#endif  // LAPISHATCH_TEST_SITE_ENTRY_WORLD_H_
