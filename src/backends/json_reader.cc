#include "backends/internal/json_reader.h"

#include <utility>

namespace lapishatch::backends::internal {

namespace json = boost::json;

JsonReader::JsonReader(const json::value& value, std::string path,
                       std::optional<CodecError>& error)
    : object_(value.if_object()), path_(std::move(path)), error_(error) {
  if (object_ == nullptr) Fail("", "must be an object");
}

const json::value* JsonReader::Find(std::string_view name) const {
  if (object_ == nullptr) return nullptr;
  return object_->if_contains(json::string_view(name.data(), name.size()));
}

std::string JsonReader::String(std::string_view name) {
  if (Find(name) == nullptr) Fail(name, "is missing");
  return OptionalString(name);
}

std::string JsonReader::OptionalString(std::string_view name) {
  const auto* value = Find(name);
  if (value == nullptr) return {};
  const auto* text = value->if_string();
  if (text == nullptr) {
    Fail(name, "must be a string");
    return {};
  }
  return {text->data(), text->size()};
}

bool JsonReader::OptionalBool(std::string_view name) {
  const auto* value = Find(name);
  if (value == nullptr) return false;
  const auto* flag = value->if_bool();
  if (flag == nullptr) Fail(name, "must be true or false");
  return flag != nullptr && *flag;
}

std::uint64_t JsonReader::Number(std::string_view name, std::uint64_t max) {
  if (Find(name) == nullptr) Fail(name, "is missing");
  return OptionalNumber(name, max);
}

std::uint64_t JsonReader::OptionalNumber(std::string_view name,
                                         std::uint64_t max) {
  const auto* value = Find(name);
  if (value == nullptr) return 0;
  return ReadNumber(*value, name, max);
}

std::uint64_t JsonReader::ReadNumber(const json::value& value,
                                     std::string_view name, std::uint64_t max) {
  json::error_code ec;
  const auto number = value.to_number<std::uint64_t>(ec);
  const bool is_integer = value.is_int64() || value.is_uint64();
  if (!ec && is_integer && number <= max) return number;
  Fail(name, "must be a whole number from 0 to " + std::to_string(max));
  return 0;
}

int JsonReader::OptionalInt(std::string_view name) {
  const auto* value = Find(name);
  if (value == nullptr) return 0;
  json::error_code ec;
  const auto number = value->to_number<int>(ec);
  if (!ec && value->is_int64()) return number;
  Fail(name, "must be a whole number of 32 bits");
  return 0;
}

const json::array& JsonReader::Array(std::string_view name) {
  static const json::array kEmpty;
  const auto* value = Find(name);
  const auto* array = value == nullptr ? nullptr : value->if_array();
  if (array != nullptr) return *array;
  Fail(name, "must be an array");
  return kEmpty;
}

void JsonReader::Fail(std::string_view name, std::string detail) {
  if (error_.has_value()) return;
  std::string field = path_;
  if (!field.empty() && !name.empty()) field += '.';
  field += name;
  error_ = CodecError{std::move(field), std::move(detail)};
}

std::string JsonReader::PathOf(std::string_view name, std::size_t i) const {
  std::string out = path_;
  if (!out.empty()) out += '.';
  out += name;
  return out + '[' + std::to_string(i) + ']';
}

}  // namespace lapishatch::backends::internal
