#include "base/base.h"

#include <catch2/catch.hpp>
#include <set>

namespace lapishatch::base {
namespace {

TEST_CASE("names of enum values parse back to the value") {
  CHECK(NameOf(WorkClass::kQuiet) == "quiet");
  CHECK(ParseEnum<WorkClass>("urgent") == WorkClass::kUrgent);
  CHECK_FALSE(ParseEnum<WorkClass>("hurried").has_value());
  CHECK(AllowedNames<WorkDone>() == "not-run, ran, unknown");
}

TEST_CASE("unique texts differ and keep their prefix") {
  std::set<std::string> seen;
  for (int i = 0; i < 1000; ++i) seen.insert(MakeUniqueText("a-"));
  CHECK(seen.size() == 1000);
  CHECK(seen.begin()->size() == 34);
}

TEST_CASE("a histogram renders cumulative buckets, sum and count") {
  MetricRegistry metrics;
  const MetricLabels labels = {{"organisation", "bertolini"},
                               {"class", "urgent"}};
  metrics.Observe("lapishatch_request_seconds", labels, 0.0004);
  metrics.Observe("lapishatch_request_seconds", labels, 0.004);
  metrics.Observe("lapishatch_request_seconds", labels, 9000);
  const auto text = metrics.Render();
  CHECK(text.find("# TYPE lapishatch_request_seconds histogram") !=
        std::string::npos);
  CHECK(text.find("_bucket{organisation=\"bertolini\",class=\"urgent\",le=\"0."
                  "005\"} 2\n") != std::string::npos);
  CHECK(text.find("le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(text.find("_count{organisation=\"bertolini\",class=\"urgent\"} 3\n") !=
        std::string::npos);
}

TEST_CASE("label sets per metric are bounded") {
  MetricRegistry metrics;
  for (std::size_t i = 0; i < MetricRegistry::kMaxSeriesPerName + 10; ++i) {
    metrics.Count("requests", {{"organisation", std::to_string(i)}});
  }
  CHECK(metrics.Render().find("requests{organisation=\"other\"} 10\n") !=
        std::string::npos);
}

TEST_CASE("backoff grows to its limit and stays within its range") {
  Random random(1);
  Backoff backoff(Duration(100), Duration(1000));
  for (int i = 0; i < 10; ++i) {
    const auto delay = backoff.Next(random);
    CHECK(delay >= Duration(50));
    CHECK(delay <= Duration(1000));
  }
  CHECK(backoff.Next(random) >= Duration(500));
}

TEST_CASE("identifiers and jitter follow from the seed") {
  SeedUniqueText(7);
  const auto first = MakeUniqueText("vm-");
  const auto second = MakeUniqueText("vm-");
  CHECK(first != second);
  SeedUniqueText(7);
  CHECK(MakeUniqueText("vm-") == first);
  CHECK(MakeUniqueText("vm-") == second);
  SeedUniqueText(8);
  CHECK(MakeUniqueText("vm-") != first);
}

}  // namespace
}  // namespace lapishatch::base
