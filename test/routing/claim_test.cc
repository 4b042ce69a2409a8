#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lapishatch::routing {
namespace {

TEST_CASE("a claim read back is the claim that was written") {
  CHECK(rc::check("round trip", [](const std::string& body, std::string type) {
    // JSON text carries the content type as text; bodies are any bytes.
    for (auto& it : type) it = static_cast<char>('a' + (it & 15));
    Claim claim;
    claim.organisation = base::OrganisationName("bertolini");
    claim.key = base::IdempotencyKey("k-1");
    claim.fingerprint = "f";
    claim.attempt = base::AttemptId("a-1");
    claim.entry = base::Incarnation("e-1");
    claim.state = ClaimState::kDone;
    claim.claimed_at_unix_ms = 1'796'000'000'000;
    claim.deadline = base::Duration(5'000);
    claim.outcome = {201, type, body};
    const auto read = DecodeClaim(EncodeClaim(claim));
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == claim);
  }));
}

TEST_CASE("what is no claim is not taken for one") {
  CHECK_FALSE(DecodeClaim(""));
  CHECK_FALSE(DecodeClaim("[]"));
  CHECK_FALSE(DecodeClaim(R"({"state":"sleeping"})"));
  CHECK_FALSE(DecodeClaim(R"({"state":"done"})"));
}

TEST_CASE("requests that could be run together have one fingerprint each") {
  RoutedRequest a;
  a.service = base::ServiceName("plans");
  a.content_type = "x";
  a.body = "yz";
  auto b = a;
  b.content_type = "xy";
  b.body = "z";
  CHECK(FingerprintOf(a) != FingerprintOf(b));
  b = a;
  b.deadline = base::Duration(7);
  CHECK(FingerprintOf(a) == FingerprintOf(b));
}

TEST_CASE("a dispatch follows only a standing claim, whatever happens") {
  CHECK(rc::check("random histories", [](const std::vector<unsigned>& history) {
    ClaimMachine machine;
    machine.Start();
    bool stands = false;
    bool may_run = false;
    int answers = 0;
    for (const auto it : history) {
      const auto event =
          static_cast<ClaimEvent>(it % base::kEnumSize<ClaimEvent>);
      const bool claimed =
          event == ClaimEvent::kClaimWritten || event == ClaimEvent::kRowIsOurs;
      for (const auto step : machine.On(event)) {
        if (step == ClaimStep::kJoinQueue && claimed) stands = true;
        if (step == ClaimStep::kJoinQueue &&
            event == ClaimEvent::kRunnerDidNotRun) {
          may_run = false;
        }
        if (step == ClaimStep::kRefuseNotRun) RC_ASSERT(!may_run);
        if (step == ClaimStep::kDispatch) {
          RC_ASSERT(stands);
          RC_ASSERT(!may_run);
          may_run = true;
        }
        const bool ends = step != ClaimStep::kRelease &&
                          step != ClaimStep::kRecordUnknown && machine.ended();
        if (ends) ++answers;
      }
    }
    RC_ASSERT(answers == (machine.ended() ? 1 : 0));
  }));
}

}  // namespace
}  // namespace lapishatch::routing
