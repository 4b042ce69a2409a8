#include "platform/http_row_store.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "http/http.h"
#include "net/io_threads.h"

namespace lapishatch::platform {
namespace {

/// A store that answers with what a test sets, over HTTP.
struct StoreFixture {
  StoreFixture() { server.Start(); }
  ~StoreFixture() { threads.Stop(); }

  template <typename Result, typename Call>
  Result Await(Call call) {
    return net::Await<Result>(call);
  }

  void Respond(const http::ExchangePtr& exchange) const {
    http::Response out;
    out.body = respond(http::ParseTarget(exchange->request().target));
    exchange->Respond(std::move(out));
  }

  std::function<std::string(const http::Target&)> respond;
  net::IoThreads threads;
  http::Server server{
      threads.io(), {"127.0.0.1", 0}, {}, [this](const http::ExchangePtr& it) {
        Respond(it);
      }};
  http::Client client{threads.io(), {}};
  HttpRowStore store{client, server.endpoint(), {}};
};

/// Guards against services whose jobs are forgotten because the list of parts
/// was cut.
TEST_CASE("a list of parts is read to its end") {
  constexpr std::size_t kPage = 1'000;
  const std::size_t n = GENERATE(0, 1, 999, 1'000, 1'001, 2'500);
  const bool says_has_more = GENERATE(true, false);
  std::vector<std::string> parts;
  for (std::size_t i = 0; i < n; ++i) {
    parts.push_back("p" + std::to_string(10'000 + i));
  }
  StoreFixture fixture;
  fixture.respond = [&](const http::Target& target) {
    const auto after = std::string(target.Query("after"));
    auto it = std::upper_bound(parts.begin(), parts.end(), after);
    std::string list;
    for (std::size_t i = 0; i < kPage && it != parts.end(); ++i, ++it) {
      if (!list.empty()) list += ',';
      list += '"' + *it + '"';
    }
    const std::string more = it == parts.end() ? "false" : "true";
    return R"({"parts":[)" + list + "]" +
           (says_has_more ? R"(,"has-more":)" + more : "") + "}";
  };
  const auto result = fixture.Await<store::PartsResult>(
      [&](auto done) { fixture.store.Parts("requests", done); });
  REQUIRE(std::holds_alternative<store::PartsRead>(result));
  CHECK(std::get<store::PartsRead>(result).parts == parts);
}

/// Guards against changes that are taken for all because the answer was cut.
TEST_CASE("a full answer of a feed is not taken for whole") {
  struct Case {
    int rows;
    std::size_t value_bytes;
    bool is_malformed;
    bool may_have_more;
  };
  const auto it = GENERATE(Case{0, 1, false, false}, Case{499, 1, false, false},
                           Case{500, 1, false, true}, Case{500, 1, true, true},
                           Case{20, 48'000, false, true});
  StoreFixture fixture;
  fixture.respond = [&it](const http::Target&) {
    std::string rows;
    const std::string value((it.value_bytes + 2) / 3 * 4, 'A');
    for (int i = 0; i < it.rows; ++i) {
      const bool has_key = !it.is_malformed || i != 7;
      absl::StrAppend(&rows, i > 0 ? "," : "", R"({"table":"t","part":"",)",
                      has_key ? R"("key":"k",)" : "",
                      R"("row-version":5,"value":")", value, R"("})");
    }
    return R"({"row-version":9,"rows":[)" + rows + "]}";
  };
  const auto result = fixture.Await<store::RowsFeedResult>([&](auto done) {
    fixture.store.Feed({"t", 1}, done);
  });
  REQUIRE(std::holds_alternative<store::RowsChanged>(result));
  CHECK(std::get<store::RowsChanged>(result).may_have_more == it.may_have_more);
}

/// Guards against a part that is taken for empty although it goes on.
TEST_CASE("a page without rows that announces further rows is a failure") {
  StoreFixture fixture;
  fixture.respond = [](const http::Target&) {
    return R"({"row-version":9,"rows":[],"has-more":true})";
  };
  const auto result = fixture.Await<store::RowsReadResult>([&](auto done) {
    fixture.store.Read({"t", "p", "", ""}, done);
  });
  CHECK(std::holds_alternative<store::ReadFailed>(result));
}

}  // namespace
}  // namespace lapishatch::platform
