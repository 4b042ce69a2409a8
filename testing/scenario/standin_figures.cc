#include "scenario/standin_figures.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>
#include <utility>

#include "ctl/json_text.h"

namespace lapishatch::scenario {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

/// An answer may tell a hundred thousand requests one by one.
constexpr base::Duration kCallLimit{10'000};

json::value JsonOfBody(const http::ClientResult& result) {
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) return {};
  boost::system::error_code ec;
  auto value = json::parse(response->body, ec);
  return ec ? json::value() : value;
}

std::uint64_t CountOf(const json::value& counts, const std::string& key) {
  const auto* n = counts.as_object().if_contains(key);
  return n == nullptr ? 0 : n->to_number<std::uint64_t>();
}

}  // namespace

leaf::result<std::uint64_t> StandinFigures::RunsOfBody(
    const std::string& body) const {
  BOOST_LEAF_AUTO(all, Ask("runners-", "/ran", "by_body"));
  std::uint64_t out = 0;
  for (const auto& it : all) out += CountOf(it, body);
  return out;
}

leaf::result<std::uint64_t> StandinFigures::StartsOfJob(
    const std::string& job) const {
  BOOST_LEAF_AUTO(all, Ask("workers-", "/stats", "workers"));
  std::uint64_t out = 0;
  for (const auto& workers : all) {
    for (const auto& it : workers.as_array()) {
      const auto* starts = ctl::FindPath(it, "starts");
      if (starts != nullptr) out += CountOf(*starts, job);
    }
  }
  return out;
}

leaf::result<StandinFigures::RunsById> StandinFigures::RunsOfIds(
    const std::string& prefix) const {
  BOOST_LEAF_AUTO(dropped, Ask("runners-", "/ran", "dropped"));
  for (const auto& it : dropped) {
    if (it.to_number<std::uint64_t>() == 0) continue;
    return leaf::new_error(
        ClusterError{"a stand-in has run more requests than it can tell"});
  }
  BOOST_LEAF_AUTO(all, Ask("runners-", "/ran", "by_request_id"));
  RunsById out;
  for (const auto& counts : all) {
    for (const auto& it : counts.as_object()) {
      if (!it.key().starts_with(prefix)) continue;
      out[it.key()] += it.value().to_number<std::uint64_t>();
    }
  }
  return out;
}

leaf::result<std::vector<json::value>> StandinFigures::Ask(
    const std::string& prefix, const std::string& target,
    const std::string& field) const {
  std::vector<json::value> out;
  for (const auto& port : cluster_.FaultPorts(prefix)) {
    http::Request request;
    request.target = target;
    const auto body = JsonOfBody(caller_.Send(port, request, kCallLimit).get());
    const auto* found = ctl::FindPath(body, field);
    if (found == nullptr) {
      return leaf::new_error(
          ClusterError{"a stand-in does not tell its figures"});
    }
    out.push_back(*found);
  }
  return out;
}

}  // namespace lapishatch::scenario
