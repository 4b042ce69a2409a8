#include "scenario/table_reader.h"

namespace lapishatch::scenario {
namespace {

std::string Where(const toml::node& node) {
  return "line " + std::to_string(node.source().begin.line) + ": ";
}

}  // namespace

boost::json::value JsonOf(const toml::node& node) {
  if (const auto* table = node.as_table()) {
    boost::json::object out;
    for (const auto& [key, value] : *table) {
      out[std::string(key.str())] = JsonOf(value);
    }
    return out;
  }
  if (const auto* array = node.as_array()) {
    boost::json::array out;
    for (const auto& it : *array) out.push_back(JsonOf(it));
    return out;
  }
  if (const auto* text = node.as_string()) {
    return boost::json::string(text->get());
  }
  if (const auto* number = node.as_integer()) return number->get();
  if (const auto* number = node.as_floating_point()) return number->get();
  if (const auto* flag = node.as_boolean()) return flag->get();
  return nullptr;
}

const toml::node* TableReader::Take(std::string_view key) {
  asked_.emplace(key);
  return table_.get(key);
}

std::optional<std::string> TableReader::Text(std::string_view key) {
  const auto* node = Take(key);
  if (node == nullptr) return std::nullopt;
  if (const auto* text = node->as_string()) return text->get();
  Refuse(key, "must be a text");
  return std::nullopt;
}

std::optional<std::int64_t> TableReader::Integer(std::string_view key) {
  const auto* node = Take(key);
  if (node == nullptr) return std::nullopt;
  if (const auto* number = node->as_integer()) return number->get();
  Refuse(key, "must be a whole number");
  return std::nullopt;
}

std::optional<bool> TableReader::Flag(std::string_view key) {
  const auto* node = Take(key);
  if (node == nullptr) return std::nullopt;
  if (const auto* flag = node->as_boolean()) return flag->get();
  Refuse(key, "must be true or false");
  return std::nullopt;
}

std::vector<std::string> TableReader::Texts(std::string_view key) {
  const auto* node = Take(key);
  std::vector<std::string> out;
  if (node == nullptr) return out;
  if (const auto* text = node->as_string()) return {text->get()};
  const auto* array = node->as_array();
  if (array == nullptr) Refuse(key, "must be a text or a list of texts");
  if (array == nullptr) return out;
  for (const auto& it : *array) {
    const auto text = it.value<std::string>();
    if (!text) Refuse(key, "must hold texts only");
    out.push_back(text.value_or(""));
  }
  return out;
}

std::vector<int> TableReader::Integers(std::string_view key) {
  const auto* node = Take(key);
  std::vector<int> out;
  if (node == nullptr) return out;
  if (const auto* number = node->as_integer()) {
    return {static_cast<int>(number->get())};
  }
  const auto* array = node->as_array();
  if (array == nullptr) Refuse(key, "must be a number or a list of numbers");
  if (array == nullptr) return out;
  for (const auto& it : *array) {
    const auto number = it.value<int>();
    if (!number) Refuse(key, "must hold whole numbers only");
    out.push_back(number.value_or(0));
  }
  return out;
}

const toml::table* TableReader::Table(std::string_view key) {
  const auto* node = Take(key);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) Refuse(key, "must be a table");
  return node->as_table();
}

const toml::array* TableReader::Array(std::string_view key) {
  const auto* node = Take(key);
  if (node == nullptr) return nullptr;
  if (!node->is_array()) Refuse(key, "must be a list");
  return node->as_array();
}

std::optional<boost::json::value> TableReader::Json(std::string_view key) {
  const auto* node = Take(key);
  if (node == nullptr) return std::nullopt;
  return JsonOf(*node);
}

void TableReader::Refuse(std::string_view key, const std::string& detail) {
  if (!problem_.empty()) return;
  const auto* node = table_.get(key);
  problem_ =
      Where(node == nullptr ? static_cast<const toml::node&>(table_) : *node) +
      std::string(key) + " " + detail;
}

std::string TableReader::Problem() {
  for (const auto& [key, value] : table_) {
    if (!asked_.contains(key.str())) Refuse(key.str(), "is not known here");
  }
  return problem_;
}

}  // namespace lapishatch::scenario
