#include "scenario/relay.h"

#include <catch2/catch.hpp>

#include "scenario/caller.h"

namespace lapishatch::scenario {
namespace {

constexpr base::Duration kLong{10'000};
constexpr base::Duration kShort{100};

/// A server that says hello, behind a relay.
class Relayed {
 public:
  Relayed()
      : server_(caller_.io(), {"127.0.0.1", 0}, {},
                [](const http::ExchangePtr& exchange) {
                  exchange->Respond({200, {}, "hello"});
                }),
        relay_(caller_.io(), server_.endpoint()) {
    server_.Start();
  }

  bool Answers(base::Duration timeout) {
    const auto result = caller_.Send(relay_.endpoint(), {}, timeout).get();
    return std::holds_alternative<http::Response>(result);
  }

  void SetMode(LinkMode mode) { relay_.SetMode(mode); }

 private:
  Caller caller_;
  http::Server server_;
  Relay relay_;
};

TEST_CASE("a cut link refuses until it is open again") {
  Relayed relayed;
  CHECK(relayed.Answers(kLong));
  relayed.SetMode(LinkMode::kCut);
  CHECK_FALSE(relayed.Answers(kLong));
  relayed.SetMode(LinkMode::kOpen);
  CHECK(relayed.Answers(kLong));
}

TEST_CASE("a silent link passes nothing") {
  Relayed relayed;
  CHECK(relayed.Answers(kLong));
  relayed.SetMode(LinkMode::kSilent);
  CHECK_FALSE(relayed.Answers(kShort));
  relayed.SetMode(LinkMode::kOpen);
  CHECK(relayed.Answers(kLong));
}

TEST_CASE("open connections go silent for good while new ones work") {
  Relayed relayed;
  CHECK(relayed.Answers(kLong));
  relayed.SetMode(LinkMode::kSilentOpen);
  // On the connection that is kept open.
  CHECK_FALSE(relayed.Answers(kShort));
  CHECK(relayed.Answers(kLong));
}

}  // namespace
}  // namespace lapishatch::scenario
