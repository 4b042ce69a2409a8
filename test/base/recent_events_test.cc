#include "base/recent_events.h"

#include <catch2/catch.hpp>
#include <string>

#include "base/base.h"

namespace lapishatch::base {
namespace {

TEST_CASE("the last warnings and errors are kept, the newest first") {
  const auto n = static_cast<int>(kRecentEvents) + 8;
  for (int i = 0; i < n; ++i) {
    Log(events::kMemberSuspect, {{"member", i}});
    Log(events::kMemberAlive, {{"member", i}});
  }
  Log(events::kProcessSuperseded, {{"name", std::string(500, 'x')}});
  const auto kept = RecentEvents();
  REQUIRE(kept.size() == kRecentEvents);
  CHECK(kept[0].number == events::kProcessSuperseded.number);
  CHECK(kept[0].text.size() == kRecentEventBytes);
  CHECK(kept[0].age_ms >= 0);
  for (std::size_t i = 1; i < kept.size(); ++i) {
    CHECK(kept[i].number == events::kMemberSuspect.number);
    CHECK(kept[i].text == "member=" + std::to_string(n - static_cast<int>(i)));
  }
}

}  // namespace
}  // namespace lapishatch::base
