#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "api_world.h"

namespace lapishatch::entry {
namespace {

struct Example {
  std::string method;
  std::string target;
  http::Headers headers;
  std::string body;
  int status = 0;
  std::string says;
};

/// Reads one block: a request line, header fields, a blank line, a body, and
/// "-> status text".
Example ReadExample(std::istream& in) {
  Example example;
  std::string line;
  std::getline(in, line);
  std::istringstream(line) >> example.method >> example.target;
  bool in_body = false;
  while (std::getline(in, line) && line != "```") {
    if (line.starts_with("-> ")) {
      std::istringstream expected(line.substr(3));
      expected >> example.status >> std::ws;
      std::getline(expected, example.says);
    } else if (line.empty()) {
      in_body = true;
    } else if (in_body) {
      example.body += line;
    } else {
      const auto colon = line.find(": ");
      example.headers.Set(line.substr(0, colon), line.substr(colon + 2));
    }
  }
  return example;
}

std::vector<Example> ReadExamples() {
  std::ifstream in(std::string(LAPISHATCH_SOURCE_DIR) + "/docs/API.md");
  std::vector<Example> out;
  for (std::string line; std::getline(in, line);) {
    if (line == "```example") out.push_back(ReadExample(in));
  }
  return out;
}

TEST_CASE("the examples of docs/API.md answer as the page says") {
  fakes::VirtualTime time;
  fakes::FakeTable table(time);
  Api api(time, table, 1);
  const auto examples = ReadExamples();
  REQUIRE(examples.size() >= 10);
  for (const auto& it : examples) {
    INFO(it.method << ' ' << it.target << ' ' << it.body);
    const auto exchange = api.Begin(it.method, it.target, it.body, it.headers);
    REQUIRE(time.RunUntil([&] { return exchange->response().has_value(); },
                          base::Duration(60'000)));
    CHECK(exchange->response()->status == it.status);
    CHECK_THAT(exchange->response()->body + exchange->stream(),
               Catch::Contains(it.says));
  }
}

}  // namespace
}  // namespace lapishatch::entry
