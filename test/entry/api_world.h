#ifndef LAPISHATCH_TEST_ENTRY_API_WORLD_H_
#define LAPISHATCH_TEST_ENTRY_API_WORLD_H_

#include <boost/json.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"
#include "entry/entry.h"
#include "fake_exchange.h"
#include "fakes/fakes.h"

namespace lapishatch::entry {

/// A system of one worker and one runner.
class FakeSystem final : public SystemView {
 public:
  std::vector<SeenResource> List(SeenKind kind) const override {
    if (kind == SeenKind::kCells) return {{"mixco", {{"epoch", 7}}}};
    if (kind == SeenKind::kRunners) return {{"r1", {}}};
    return {{"w1", {{"accelerators", 8}}}};
  }
  boost::json::array Processes() const override { return {}; }
};

class FakeExplainer final : public JobExplainer {
 public:
  void Explain(const config::ResourcePtr&,
               std::function<void(std::optional<std::string>)> done) override {
    done(word);
  }

  std::optional<std::string> word;
};

/// One entry's resource API in virtual time.
class Api {
 public:
  Api(fakes::VirtualTime& world_time, fakes::FakeTable& table,
      std::uint64_t seed)
      : loop(world_time),
        view(table, loop),
        mirror(Options(seed), {loop, view}),
        writer({.seed = seed}, {loop, view, mirror, &capacity, nullptr,
                                [] { return std::int64_t{1'000}; }}),
        api({}, {loop, mirror, writer, system, explainer}),
        time_(world_time) {
    std::vector<placement::WorkerSpec> workers;
    workers.reserve(4);
    for (int i = 0; i < 4; ++i) {
      workers.push_back({base::WorkerName("w" + std::to_string(i)),
                         base::RackName("r"), 8, 64, 262'144});
    }
    capacity.SetWorkers(base::DomainName("mixco"), workers);
    mirror.Start();
    time_.RunUntil(
        [&] {
          return mirror.IsLoaded(config::LogId::kConfig) &&
                 mirror.IsLoaded(config::LogId::kJobs);
        },
        base::Duration(10'000));
  }

  /// Hands a request over; the answer may come later.
  std::shared_ptr<FakeExchange> Begin(const std::string& method,
                                      const std::string& target,
                                      const std::string& body = {},
                                      http::Headers headers = {}) {
    auto exchange = std::make_shared<FakeExchange>(
        http::Request{method, target, std::move(headers), body});
    if (!api.Handle(exchange, http::ParseTarget(target))) {
      exchange->Respond({404, {}, ""});
    }
    return exchange;
  }

  http::Response Call(const std::string& method, const std::string& target,
                      const std::string& body = {},
                      http::Headers headers = {}) {
    const auto exchange = Begin(method, target, body, std::move(headers));
    time_.RunUntil([&] { return exchange->response().has_value(); },
                   base::Duration(60'000));
    return exchange->response().value_or(http::Response{0, {}, "no answer"});
  }

  http::Response Create(const std::string& path, const std::string& spec) {
    return Call("PUT", "/v1/" + path, "{\"spec\":" + spec + "}",
                {{"If-None-Match", "*"}});
  }

  fakes::FakeProcess loop;
  fakes::FakeTableView view;
  config::WorkerCapacity capacity;
  config::Mirror mirror;
  config::ChangeWriter writer;
  FakeSystem system;
  FakeExplainer explainer;
  ResourceApi api;

 private:
  static config::MirrorOptions Options(std::uint64_t seed) {
    config::MirrorOptions options;
    options.seed = seed;
    options.max_watches = 3;
    return options;
  }

  fakes::VirtualTime& time_;
};

inline boost::json::value BodyOf(const http::Response& response) {
  return boost::json::parse(response.body);
}

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_TEST_ENTRY_API_WORLD_H_
