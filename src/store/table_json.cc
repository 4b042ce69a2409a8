#include "store/internal/table_json.h"

#include <boost/json.hpp>
#include <limits>
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

std::optional<Vm> VmFrom(const json::object& object) {
  const auto name = FindText(object, "name");
  const auto kind = FindText(object, "kind");
  const auto state = FindText(object, "state");
  const auto domain = FindText(object, "failure_domain");
  const auto address = FindText(object, "address");
  const auto port = FindNumber(object, "port");
  if (!name || !kind || !state || !domain || !address || !port) return {};
  const auto parsed_kind = base::ParseEnum<VmKind>(*kind);
  const auto parsed_state = base::ParseEnum<VmState>(*state);
  const bool is_port = *port <= std::numeric_limits<std::uint16_t>::max();
  if (!parsed_kind || !parsed_state || !is_port) return {};
  Vm out;
  out.name = *name;
  out.kind = *parsed_kind;
  out.state = *parsed_state;
  out.domain = base::DomainName(*domain);
  out.endpoint = {*address, static_cast<std::uint16_t>(*port)};
  out.rack = base::RackName(FindText(object, "rack").value_or(""));
  out.service = base::ServiceName(FindText(object, "service").value_or(""));
  return out;
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

std::optional<std::vector<Vm>> ParseVms(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object) return std::nullopt;
  const auto* vms = FindArray(*object, "vms");
  if (vms == nullptr) return std::nullopt;
  std::vector<Vm> out;
  for (const auto& it : *vms) {
    if (!it.is_object()) return std::nullopt;
    auto vm = VmFrom(it.as_object());
    if (!vm) return std::nullopt;
    out.push_back(std::move(*vm));
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
