#include "store/vm_list.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lapishatch::store {
namespace {

std::string EntryWith(const std::string& name, const std::string& port) {
  return R"({"name":")" + name +
         R"(","kind":"worker","state":"live","failure_domain":"d",)"
         R"("address":"10.0.0.1","port":)" +
         port + "}";
}

/// Guards against one malformed entry that makes the whole list unusable.
TEST_CASE("an entry that cannot be read does not hide the others") {
  const std::string deep = std::string(20, '[') + std::string(20, ']');
  for (const auto& malformed : std::vector<std::string>{
           "7", "null", "{}", "[]", EntryWith("b", "65536"),
           EntryWith("b", "99999"), EntryWith("b", "-1"), EntryWith("b", "0"),
           EntryWith("b", "1e400"), EntryWith("b", "1.5"),
           EntryWith("b", std::string(4'000, '9')), EntryWith("b", "\"80\""),
           EntryWith("b", deep), R"({"name":"b","kind":"castle"})"}) {
    INFO(malformed.substr(0, 80));
    const auto read = ParseVms(R"({"vms":[)" + EntryWith("a", "80") + "," +
                               malformed + "," + EntryWith("c", "81") + "]}");
    REQUIRE(read);
    REQUIRE(read->vms.size() == 2);
    CHECK(read->vms[0].name == "a");
    CHECK(read->vms[1].name == "c");
    CHECK(read->unreadable == 1);
  }
}

TEST_CASE("a body that is no list is rejected") {
  for (const auto& body : std::vector<std::string>{
           "", "[]", "{}", R"({"vms":7})",
           R"({"vms":[)" + std::string(100'000, '[') + "]}"}) {
    INFO(body.substr(0, 40));
    CHECK_FALSE(ParseVms(body));
  }
}

}  // namespace
}  // namespace lapishatch::store
