#include "config/json_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

#include "config/settings.h"

namespace lapishatch::config {
namespace {

namespace json = boost::json;

constexpr std::size_t kMostShownBytes = 60;

std::string WholeNumber(std::int64_t least, std::int64_t most) {
  return "a whole number from " + std::to_string(least) + " to " +
         std::to_string(most);
}

std::string NumberText(double value) {
  return json::serialize(json::value(value));
}

}  // namespace

std::string TextOf(const Problems& problems) {
  std::string out;
  for (const auto& it : problems.list) {
    if (!out.empty()) out += "; ";
    if (!it.path.empty()) out += it.path + ": ";
    out += it.detail;
  }
  return out;
}

std::string ShortText(const json::value& value) {
  auto text = json::serialize(value);
  if (text.size() <= kMostShownBytes) return text;
  auto cut = kMostShownBytes;
  // Not within a character of several bytes.
  while (cut > 0 && (static_cast<unsigned char>(text[cut]) & 0xC0U) == 0x80U) {
    --cut;
  }
  return text.substr(0, cut) + "...";
}

std::optional<json::value> ParseJson(std::string_view text,
                                     std::size_t most_depth,
                                     std::vector<Problem>& problems) {
  json::parse_options options;
  options.max_depth = most_depth;
  json::stream_parser parser({}, options);
  json::error_code ec;
  const auto n = parser.write_some(text.data(), text.size(), ec);
  const bool is_whole = n == text.size();
  if (!ec && is_whole) parser.finish(ec);
  if (!ec && is_whole) return parser.release();
  problems.push_back(
      {"", "not JSON at byte " + std::to_string(n) + ": " +
               (ec ? ec.message() : "something follows the value")});
  return std::nullopt;
}

ObjectReader::ObjectReader(const json::value& value, std::string path,
                           std::vector<Problem>& problems)
    : object_(value.if_object()), path_(std::move(path)), problems_(problems) {
  if (object_ != nullptr) return;
  problems_.push_back(
      {path_, ShortText(value) + " is not allowed: a JSON object"});
}

void ObjectReader::Millis(std::string_view key, base::Duration& target,
                          std::int64_t least, std::int64_t most) {
  if (const auto value = TakeInteger(key, least, most)) {
    target = base::Duration(*value);
  }
}

void ObjectReader::Seconds(std::string_view key, base::Duration& target,
                           std::int64_t least, std::int64_t most) {
  if (const auto value = TakeInteger(key, least, most)) {
    target = std::chrono::seconds(*value);
  }
}

void ObjectReader::Number(std::string_view key, double& target, double least,
                          double most) {
  const auto* value = Take(key);
  if (value == nullptr) return;
  json::error_code ec;
  const auto number = value->to_number<double>(ec);
  if (!ec && value->is_number() && number >= least && number <= most) {
    target = number;
    return;
  }
  Refuse(key, "a number from " + NumberText(least) + " to " + NumberText(most));
}

void ObjectReader::Flag(std::string_view key, bool& target) {
  const auto* value = Take(key);
  if (value == nullptr) return;
  if (const auto* flag = value->if_bool()) {
    target = *flag;
    return;
  }
  Refuse(key, "true or false");
}

void ObjectReader::Text(std::string_view key, std::string& target,
                        std::size_t most_bytes) {
  const auto allowed =
      "a text of at most " + std::to_string(most_bytes) + " bytes";
  auto text = TakeText(key, allowed);
  if (!text) return;
  if (text->size() > most_bytes) {
    Refuse(key, allowed);
    return;
  }
  target = std::move(*text);
}

const json::value* ObjectReader::Any(std::string_view key) { return Take(key); }

void ObjectReader::Object(std::string_view key,
                          const std::function<void(ObjectReader&)>& read) {
  const auto* value = Take(key);
  if (value == nullptr) return;
  ObjectReader reader(*value, PathOf(key), problems_);
  read(reader);
  reader.Finish();
}

void ObjectReader::Objects(std::string_view key, std::size_t most,
                           const std::function<void(ObjectReader&)>& read) {
  const auto* value = Take(key);
  if (value == nullptr) return;
  const auto* list = value->if_array();
  if (list == nullptr || list->size() > most) {
    Refuse(key, "a list of at most " + std::to_string(most) + " objects");
    return;
  }
  std::size_t i = 0;
  for (const auto& element : *list) {
    ObjectReader reader(element, PathOf(key) + "[" + std::to_string(i++) + "]",
                        problems_);
    read(reader);
    reader.Finish();
  }
}

void ObjectReader::Require(std::string_view key, std::string_view allowed) {
  if (object_ == nullptr || Has(key)) return;
  problems_.push_back({PathOf(key), "is missing: " + std::string(allowed)});
}

void ObjectReader::Refuse(std::string_view key, std::string_view allowed) {
  const auto* value = object_ == nullptr ? nullptr : object_->if_contains(key);
  if (value == nullptr) return;
  problems_.push_back({PathOf(key), ShortText(*value) + " is not allowed: " +
                                        std::string(allowed)});
}

bool ObjectReader::Has(std::string_view key) const {
  return object_ != nullptr && object_->if_contains(key) != nullptr;
}

void ObjectReader::Finish() {
  if (object_ == nullptr) return;
  std::string allowed;
  for (const auto& key : known_) {
    if (!allowed.empty()) allowed += ", ";
    allowed += key;
  }
  for (const auto& [key, value] : *object_) {
    const std::string_view name(key.data(), key.size());
    if (known_.contains(name)) continue;
    problems_.push_back(
        {PathOf(name), "is unknown: allowed here are " + allowed});
  }
}

const json::value* ObjectReader::Take(std::string_view key) {
  known_.emplace(key);
  return object_ == nullptr ? nullptr : object_->if_contains(key);
}

std::optional<std::int64_t> ObjectReader::TakeInteger(std::string_view key,
                                                      std::int64_t least,
                                                      std::int64_t most) {
  const auto* value = Take(key);
  if (value == nullptr) return std::nullopt;
  json::error_code ec;
  const auto number = value->to_number<std::int64_t>(ec);
  const bool whole = value->is_int64() || value->is_uint64();
  if (!ec && whole && number >= least && number <= most) return number;
  Refuse(key, WholeNumber(least, most));
  return std::nullopt;
}

std::optional<std::string> ObjectReader::TakeText(std::string_view key,
                                                  std::string_view allowed) {
  const auto* value = Take(key);
  if (value == nullptr) return std::nullopt;
  if (const auto* text = value->if_string()) return std::string(*text);
  Refuse(key, allowed);
  return std::nullopt;
}

std::optional<std::string> ObjectReader::TakeName(std::string_view key) {
  const auto allowed = "a name of " + std::string(kNameRule);
  auto text = TakeText(key, allowed);
  if (!text || IsName(*text)) return text;
  Refuse(key, allowed);
  return std::nullopt;
}

std::string ObjectReader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

}  // namespace lapishatch::config
