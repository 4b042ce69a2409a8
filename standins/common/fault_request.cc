#include "common/fault_request.h"

namespace lapishatch::standins {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr int kBadRequest = 400;

std::string TextAt(const json::object& object, std::string_view name) {
  const auto* value =
      object.if_contains(json::string_view(name.data(), name.size()));
  if (value == nullptr || !value->is_string()) return {};
  return json::value_to<std::string>(*value);
}

}  // namespace

leaf::result<FaultRequest> ParseFaultRequest(std::string_view body,
                                             std::string_view target_field) {
  json::error_code ec;
  const auto value =
      json::parse(json::string_view(body.data(), body.size()), ec);
  if (ec || !value.is_object()) {
    return leaf::new_error(FaultRequestError{"the body must be an object"});
  }
  const auto& object = value.as_object();
  FaultRequest out;
  out.kind = TextAt(object, "kind");
  out.target = TextAt(object, target_field);
  if (out.kind.empty()) {
    return leaf::new_error(FaultRequestError{"kind is missing"});
  }
  if (const auto* ms = object.if_contains("ms")) {
    if (!ms->is_int64() || ms->as_int64() < 0) {
      return leaf::new_error(
          FaultRequestError{"ms must be a whole number from 0"});
    }
    out.time = base::Duration(ms->as_int64());
  }
  return out;
}

http::Response JsonAnswer(const json::value& value) {
  http::Response out;
  out.headers.Set("Content-Type", "application/json");
  out.body = json::serialize(value);
  return out;
}

http::Response BadFaultRequest(const std::string& detail) {
  return http::MakeProblem(kBadRequest, "fault", "Bad fault request", detail);
}

}  // namespace lapishatch::standins
