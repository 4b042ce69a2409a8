#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "routing/routing.h"

namespace lapishatch::routing {
namespace {

using base::WorkClass;

const base::OrganisationName kLarge("large");
const base::OrganisationName kSmall("small");

TEST_CASE("urgent goes first, and the lowest class is never starved") {
  RequestQueue queue({1024, 4});
  for (RequestToken i = 1; i <= 100; ++i) {
    queue.Push(i, kLarge, WorkClass::kUrgent, 1);
    queue.Push(1000 + i, kLarge, WorkClass::kQuiet, 1);
  }
  int quiet = 0;
  for (int i = 0; i < 40; ++i) quiet += *queue.Pop() > 1000 ? 1 : 0;
  CHECK(quiet == 10);
}

TEST_CASE("organisations share a class by weight, however many they send") {
  RequestQueue queue({1024, 16});
  RequestToken token = 0;
  std::map<RequestToken, base::OrganisationName> of;
  const auto push = [&](const base::OrganisationName& name, double weight) {
    of[++token] = name;
    queue.Push(token, name, WorkClass::kNormal, weight);
  };
  for (int i = 0; i < 500; ++i) push(kLarge, 1);
  for (int i = 0; i < 90; ++i) push(kSmall, 3);
  std::map<base::OrganisationName, int> popped;
  for (int i = 0; i < 100; ++i) ++popped[of[*queue.Pop()]];
  CHECK(popped[kSmall] == 75);
  CHECK(popped[kLarge] == 25);
}

TEST_CASE(
    "an organisation that sends one at a time gets no more than its "
    "share") {
  RequestQueue queue({1024, 16});
  const base::OrganisationName third("third");
  for (RequestToken i = 1; i <= 200; ++i) {
    queue.Push(i, kLarge, WorkClass::kNormal, 1);
    queue.Push(1000 + i, third, WorkClass::kNormal, 1);
  }
  RequestToken next = 5000;
  queue.Push(next, kSmall, WorkClass::kNormal, 1);
  int small = 0;
  for (int i = 0; i < 90; ++i) {
    if (*queue.Pop() < 5000) continue;
    ++small;
    queue.Push(++next, kSmall, WorkClass::kNormal, 1);
  }
  CHECK(small <= 31);
  CHECK(small >= 29);
}

TEST_CASE("a full class makes the longest line give way, not the small one") {
  RequestQueue queue({10, 16});
  for (RequestToken i = 1; i <= 10; ++i) {
    queue.Push(i, kLarge, WorkClass::kNormal, 1);
  }
  CHECK_FALSE(queue.Push(11, kLarge, WorkClass::kNormal, 1).queued);
  const auto pushed = queue.Push(12, kSmall, WorkClass::kNormal, 1);
  CHECK(pushed.queued);
  CHECK(pushed.displaced == RequestToken{10});
  CHECK(queue.size() == 10);
  CHECK(queue.Push(13, kSmall, WorkClass::kUrgent, 1).queued);
}

TEST_CASE("what is pushed is popped or removed exactly once") {
  CHECK(rc::check("random histories", [](const std::vector<unsigned>& history) {
    RequestQueue queue({8, 3});
    std::set<RequestToken> inside;
    RequestToken token = 0;
    for (const auto it : history) {
      const base::OrganisationName name(std::to_string(it % 3));
      const auto work_class = static_cast<WorkClass>((it / 3) % 3);
      if (it % 5 < 3) {
        const auto pushed = queue.Push(++token, name, work_class, 1 + it % 2);
        if (pushed.queued) inside.insert(token);
        if (pushed.displaced) RC_ASSERT(inside.erase(*pushed.displaced) == 1u);
      } else if (it % 5 == 3) {
        const auto popped = queue.Pop();
        RC_ASSERT(popped.has_value() == !inside.empty());
        if (popped) RC_ASSERT(inside.erase(*popped) == 1u);
      } else if (!inside.empty()) {
        const auto victim = *inside.begin();
        RC_ASSERT(queue.Remove(victim));
        RC_ASSERT(!queue.Remove(victim));
        inside.erase(victim);
      }
      RC_ASSERT(queue.size() == inside.size());
    }
  }));
}

}  // namespace
}  // namespace lapishatch::routing
