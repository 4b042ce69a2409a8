#include <catch2/catch.hpp>
#include <string>

#include "entry_world.h"

namespace lapishatch::platform {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;

/// A process whose only queue was sent from service "s" to service "t" after
/// job kJob was accepted.
struct MovedQueueWorld : EntryWorld {
  static constexpr const char* kJob = "0123456789abcdef";

  MovedQueueWorld() {
    Put({1, {1}, {1}});
    feed.Start();
    RunFor(500);
    REQUIRE(Submit() == kOk);
    Put({2, {1}, {1}, "t"});
    RunFor(500);
  }

  int Submit() {
    return Send("POST", 1, 1, kJob,
                R"({"spec":"x","steps":[{"count":1,"cpu":1,"mem-mb":1}]})")
        .status;
  }
};

/// Guards against a 410 for an accepted job whose queue was sent elsewhere.
TEST_CASE("the state of a job is answered after its queue was moved") {
  MovedQueueWorld world;
  const auto response = world.Send("GET", 1, 1, MovedQueueWorld::kJob);
  CHECK(response.status == kOk);
  CHECK(response.body == R"({"state":"queued"})");
}

/// Guards against a 410 for the cancellation of a job that runs on.
TEST_CASE("a job can be cancelled after its queue was moved") {
  MovedQueueWorld world;
  CHECK(world.Send("DELETE", 1, 1, MovedQueueWorld::kJob).status == kOk);
}

/// Guards against a second job from a request that arrives once more.
TEST_CASE("a request that arrives again after a move starts no second job") {
  MovedQueueWorld world;
  CHECK(world.Submit() == kOk);
  CHECK(world.store.rows_in("requests") == 1);
}

TEST_CASE("a job that never existed is answered 410 after a move") {
  MovedQueueWorld world;
  CHECK(world.Send("GET", 1, 1, "00000000000000ff").status == kGone);
  CHECK(world.Send("DELETE", 1, 1, "00000000000000ff").status == kGone);
}

/// Guards against waiting jobs that vanish from the count of a moved queue.
TEST_CASE("waiting jobs of the former service are counted after a move") {
  MovedQueueWorld world;
  world.services = {base::ServiceName("s")};
  const auto put = [&world](const std::string& service, int n) {
    world.store.Put("waiting", service + ".0", "jobs",
                    R"({"q1":)" + std::to_string(n) + "}");
  };
  put("s", 3);
  put("t", 2);
  CHECK(world.Send("GET", 1, 1, "").body == R"({"pending":5})");
}

}  // namespace
}  // namespace lapishatch::platform
