#include "store/internal/table_json.h"

#include <boost/json.hpp>
#include <utility>

namespace lapishatch::store::internal {
namespace {

namespace json = boost::json;

/// The object that `body` holds, or nothing when it is no JSON object.
std::optional<json::object> ParseObject(std::string_view body) {
  boost::system::error_code ec;
  auto value = json::parse(body, ec);
  if (ec || !value.is_object()) return std::nullopt;
  return std::move(value.as_object());
}

const json::array* FindArray(const json::object& object,
                             std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_array();
}

std::optional<std::string> FindText(const json::object& object,
                                    std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return std::string(value->as_string());
}

std::optional<std::uint64_t> NumberOf(const json::value& value) {
  boost::system::error_code ec;
  const auto out = value.to_number<std::uint64_t>(ec);
  if (ec) return std::nullopt;
  return out;
}

std::optional<std::uint64_t> FindNumber(const json::object& object,
                                        std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) return std::nullopt;
  return NumberOf(*value);
}

std::optional<Row> RowFrom(const json::object& object) {
  auto key = FindText(object, "key");
  auto value = FindText(object, "value");
  const auto version = FindNumber(object, "version");
  if (!key || !value || !version) return std::nullopt;
  return Row{std::move(*key), std::move(*value), *version};
}

json::object ConditionObject(const Condition& condition) {
  return {{"key", condition.key}, {"version", condition.version}};
}

json::object WriteObject(const Write& write) {
  json::object out{{"key", write.key}};
  if (write.value) out["value"] = *write.value;
  return out;
}

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

}  // namespace

std::string SerializeTransaction(const Transaction& transaction) {
  json::array conditions;
  for (const auto& it : transaction.conditions) {
    conditions.push_back(ConditionObject(it));
  }
  json::array writes;
  for (const auto& it : transaction.writes) writes.push_back(WriteObject(it));
  json::object body;
  body["conditions"] = std::move(conditions);
  body["writes"] = std::move(writes);
  return json::serialize(body);
}

std::optional<Committed> ParseCommitted(std::string_view body,
                                        std::size_t writes) {
  const auto object = ParseObject(body);
  if (!object) return std::nullopt;
  const auto* versions = FindArray(*object, "versions");
  if (versions == nullptr || versions->size() != writes) return std::nullopt;
  Committed out;
  for (const auto& it : *versions) {
    const auto version = NumberOf(it);
    if (!version) return std::nullopt;
    out.versions.push_back(*version);
  }
  return out;
}

std::optional<Conflict> ParseConflict(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object) return std::nullopt;
  const auto key = FindText(*object, "key");
  const auto version = FindNumber(*object, "present_version");
  if (!key || !version) return std::nullopt;
  return Conflict{*key, *version};
}

bool SaysNoEffect(std::string_view body) {
  const auto object = ParseObject(body);
  return object && FindText(*object, "effect") == "none";
}

std::optional<Row> ParseRow(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object) return std::nullopt;
  return RowFrom(*object);
}

std::optional<RowPage> ParseRowPage(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object) return std::nullopt;
  const auto* rows = FindArray(*object, "rows");
  const auto* more = object->if_contains("more");
  if (rows == nullptr || more == nullptr || !more->is_bool()) return {};
  RowPage out;
  out.more = more->as_bool();
  for (const auto& it : *rows) {
    if (!it.is_object()) return std::nullopt;
    auto row = RowFrom(it.as_object());
    if (!row) return std::nullopt;
    out.rows.push_back(std::move(*row));
  }
  return out;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  out.reserve(text.size());
  for (const char c : text) {
    if (IsUnreserved(c)) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kDigits[byte >> 4U];
    out += kDigits[byte & 0xFU];
  }
  return out;
}

}  // namespace lapishatch::store::internal
