#include "platform/transaction_json.h"

#include <utility>

namespace lapishatch::standins {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

leaf::error_id Refuse(std::string detail) {
  return leaf::new_error(TransactionError{std::move(detail)});
}

/// The array `name` of `object`; empty when it is not there.
leaf::result<json::array> ArrayAt(const json::object& object,
                                  std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) return json::array();
  if (value->is_array()) return value->as_array();
  return Refuse(std::string(name) + " must be an array");
}

leaf::result<std::string> KeyOf(const json::value& entry) {
  const auto* object = entry.if_object();
  const auto* key = object == nullptr ? nullptr : object->if_contains("key");
  const bool is_key =
      key != nullptr && key->is_string() && !key->as_string().empty();
  if (!is_key) return Refuse("each entry must have a key");
  return std::string(key->as_string());
}

leaf::result<store::Condition> ConditionFrom(const json::value& entry) {
  BOOST_LEAF_AUTO(key, KeyOf(entry));
  const auto* version = entry.as_object().if_contains("version");
  if (version == nullptr) return Refuse("a condition must have a version");
  boost::system::error_code ec;
  const auto number = version->to_number<std::uint64_t>(ec);
  if (ec) return Refuse("version must be a whole number from 0");
  return store::Condition{std::move(key), number};
}

leaf::result<store::Write> WriteFrom(const json::value& entry) {
  BOOST_LEAF_AUTO(key, KeyOf(entry));
  const auto* value = entry.as_object().if_contains("value");
  if (value == nullptr) return store::Write{std::move(key), std::nullopt};
  if (!value->is_string()) return Refuse("value must be a string");
  return store::Write{std::move(key), std::string(value->as_string())};
}

}  // namespace

leaf::result<store::Transaction> ParseTransaction(std::string_view body) {
  boost::system::error_code ec;
  const auto value = json::parse(body, ec);
  if (ec || !value.is_object()) return Refuse("the body must be an object");
  BOOST_LEAF_AUTO(conditions, ArrayAt(value.as_object(), "conditions"));
  BOOST_LEAF_AUTO(writes, ArrayAt(value.as_object(), "writes"));
  store::Transaction out;
  for (const auto& it : conditions) {
    BOOST_LEAF_AUTO(condition, ConditionFrom(it));
    out.conditions.push_back(std::move(condition));
  }
  for (const auto& it : writes) {
    BOOST_LEAF_AUTO(write, WriteFrom(it));
    out.writes.push_back(std::move(write));
  }
  return out;
}

json::object ObjectOf(const store::Row& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

json::object ObjectOf(const store::RowPage& page) {
  json::array rows;
  for (const auto& it : page.rows) rows.push_back(ObjectOf(it));
  json::object out;
  out["rows"] = std::move(rows);
  out["more"] = page.more;
  return out;
}

json::object ObjectOf(const store::Committed& committed) {
  json::array versions;
  for (const auto it : committed.versions) versions.push_back(it);
  json::object out;
  out["versions"] = std::move(versions);
  return out;
}

json::object ObjectOf(const store::Conflict& conflict) {
  return {{"key", conflict.key}, {"present_version", conflict.present_version}};
}

}  // namespace lapishatch::standins
