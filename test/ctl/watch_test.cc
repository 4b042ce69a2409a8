#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include "fake_entry.h"

namespace lapishatch::ctl {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr int kGone = 410;

bool IsWatch(const http::Request& request) {
  return request.target.find("watch=true") != std::string::npos;
}

std::string SinceOf(const http::Request& request) {
  return std::string(http::ParseTarget(request.target).Query("since"));
}

/// Answers a list, or a stream of `lines` that then ends.
FakeEntry::Answers StreamOf(json::value list, std::string lines) {
  return [list = std::move(list), lines = std::move(lines)](
             const http::ExchangePtr& exchange, int) {
    if (!IsWatch(exchange->request())) {
      return exchange->Respond(JsonResponse(200, list));
    }
    exchange->StartStream({});
    exchange->Write(lines);
    exchange->End();
  };
}

json::value ListOf(std::uint64_t version, const std::string& name) {
  return {{"version", version},
          {"items", {{{"name", name}, {"version", version}}}}};
}

/// "name@version" of the changes until `count` came; a minus for removals.
std::vector<std::string> Follow(const ApiClientOptions& options,
                                std::size_t count,
                                std::optional<std::uint64_t> since = {}) {
  std::vector<std::string> told;
  ApiClient client(options);
  Watch watch(client, "services", since);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        return watch.Run([&](const WatchChange& it) {
          told.push_back((it.removed ? "-" : "") + it.name + "@" +
                         std::to_string(it.version));
          return told.size() < count;
        });
      },
      [&](const Refused& it) {
        told.push_back("refused " + std::to_string(it.status));
      },
      [&] { told.emplace_back("failed"); });
  return told;
}

using Told = std::vector<std::string>;

TEST_CASE("a watch begins with what is there and goes on with what changes") {
  FakeEntry entry(StreamOf(ListOf(3, "a"), PutLine(4, "b") + PutLine(5, "a")));
  FakePauses pauses;
  CHECK(Follow(pauses.OptionsFor({entry.endpoint()}), 3) ==
        Told{"a@3", "b@4", "a@5"});
  CHECK(SinceOf(entry.requests()[1]) == "3");
}

TEST_CASE("a watch that breaks inside a version goes on without repetition") {
  // The first entry ends after one of the two changes of version 4.
  FakeEntry first(StreamOf(ListOf(3, "a"), PutLine(4, "b")));
  FakeEntry second(StreamOf(
      ListOf(3, "a"), PutLine(4, "b") + PutLine(4, "c") + PutLine(5, "d")));
  FakePauses pauses;
  CHECK(Follow(pauses.OptionsFor({first.endpoint(), second.endpoint()}), 4) ==
        Told{"a@3", "b@4", "c@4", "d@5"});
  REQUIRE(second.requests().size() == 1);
  CHECK(SinceOf(second.requests()[0]) == "3");
}

TEST_CASE("a bookmark moves the place to go on from") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int call) {
    exchange->StartStream({});
    exchange->Write(call == 0 ? BookmarkLine(9) : PutLine(10, "a"));
    exchange->End();
  });
  FakePauses pauses;
  CHECK(Follow(pauses.OptionsFor({entry.endpoint()}), 1, 2) == Told{"a@10"});
  CHECK(SinceOf(entry.requests()[0]) == "2");
  CHECK(SinceOf(entry.requests()[1]) == "9");
}

TEST_CASE("a watch that is too far behind lists again and tells the rest") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int call) {
    if (call == 0) return exchange->Respond(JsonResponse(200, ListOf(3, "a")));
    if (call == 1) {
      return exchange->Respond(JsonResponse(kGone, {{"title", "Too old"}}));
    }
    if (call == 2) return exchange->Respond(JsonResponse(200, ListOf(8, "b")));
    exchange->StartStream({});
    exchange->Write(PutLine(9, "b"));
    exchange->End();
  });
  FakePauses pauses;
  CHECK(Follow(pauses.OptionsFor({entry.endpoint()}), 4) ==
        Told{"a@3", "b@8", "-a@8", "b@9"});
}

TEST_CASE("a stream that goes silent is given up for another entry") {
  std::vector<http::ExchangePtr> kept;
  FakeEntry silent([&kept](const http::ExchangePtr& exchange, int) {
    exchange->StartStream({});
    exchange->Write(PutLine(4, "a"));
    kept.push_back(exchange);
  });
  FakeEntry well(StreamOf(nullptr, PutLine(5, "b")));
  FakePauses pauses;
  auto options = pauses.OptionsFor({silent.endpoint(), well.endpoint()});
  options.silence_timeout = base::Duration(50);
  CHECK(Follow(options, 2, 3) == Told{"a@4", "b@5"});
  // An exchange must not outlive its server's io_context.
  kept.clear();
}

TEST_CASE("a watch that is refused for good says so") {
  FakeEntry entry([](const http::ExchangePtr& exchange, int) {
    exchange->Respond(JsonResponse(404, {{"title", "No such kind"}}));
  });
  FakePauses pauses;
  CHECK(Follow(pauses.OptionsFor({entry.endpoint()}), 1, 3) ==
        Told{"refused 404"});
}

}  // namespace
}  // namespace lapishatch::ctl
