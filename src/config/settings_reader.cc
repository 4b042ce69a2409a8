#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <sstream>

#include "config/settings.h"

namespace lapishatch::config {
namespace {

/// A TOML value as it stands in the file, short enough for a message.
std::string ValueText(const toml::node& node) {
  constexpr std::size_t kMost = 60;
  std::ostringstream out;
  node.visit([&out](const auto& value) { out << value; });
  auto text = out.str();
  if (text.size() > kMost) text = text.substr(0, kMost) + "…";
  return text;
}

/// Stores a value if the setting allows it; false otherwise.
class Store {
 public:
  explicit Store(const toml::node& node) : node_(node) {}

  bool operator()(const IntegerSetting& it) const {
    const auto value = node_.value_exact<std::int64_t>();
    if (!value || *value < it.least || *value > it.most) return false;
    it.store(*value);
    return true;
  }

  bool operator()(const NumberSetting& it) const {
    if (!node_.is_number()) return false;
    const auto value = node_.value<double>();
    if (!value || !(*value >= it.least && *value <= it.most)) return false;
    *it.target = *value;
    return true;
  }

  bool operator()(const FlagSetting& it) const {
    const auto value = node_.value_exact<bool>();
    if (value) *it.target = *value;
    return value.has_value();
  }

  bool operator()(const TextSetting& it) const {
    auto value = node_.value_exact<std::string>();
    if (!value || value->size() > it.most_bytes) return false;
    *it.target = std::move(*value);
    return true;
  }

  bool operator()(const NameSetting& it) const {
    auto value = node_.value_exact<std::string>();
    if (!value || !IsName(*value)) return false;
    it.store(std::move(*value));
    return true;
  }

  bool operator()(const ChoiceSetting& it) const {
    const auto value = node_.value_exact<std::string>();
    if (!value) return false;
    const auto found = std::find(it.names.begin(), it.names.end(), *value);
    if (found == it.names.end()) return false;
    it.store(static_cast<std::size_t>(found - it.names.begin()));
    return true;
  }

  bool operator()(const EndpointSetting& it) const {
    auto endpoint = EndpointOf(node_);
    if (!endpoint) return false;
    *it.target = std::move(*endpoint);
    return true;
  }

  bool operator()(const EndpointListSetting& it) const {
    const auto* list = node_.as_array();
    if (list == nullptr || list->size() > it.most) return false;
    std::vector<http::Endpoint> endpoints;
    for (const auto& element : *list) {
      auto endpoint = EndpointOf(element);
      if (!endpoint) return false;
      endpoints.push_back(std::move(*endpoint));
    }
    *it.target = std::move(endpoints);
    return true;
  }

 private:
  static std::optional<http::Endpoint> EndpointOf(const toml::node& node) {
    const auto text = node.value_exact<std::string>();
    if (!text) return std::nullopt;
    return ParseEndpoint(*text);
  }

  const toml::node& node_;
};

}  // namespace

/// Reads one document into the sections and collects what is wrong.
class SettingsReader {
 public:
  SettingsReader(const Settings& settings, std::string file)
      : settings_(settings), file_(std::move(file)) {}

  std::vector<SettingsProblem> Read(std::string_view text) {
    try {
      const toml::table document = toml::parse(text, file_);
      ReadDocument(document);
    } catch (const toml::parse_error& error) {
      Add(error.source().begin.line, "", std::string(error.description()));
    }
    std::stable_sort(
        problems_.begin(), problems_.end(),
        [](const auto& a, const auto& b) { return a.line < b.line; });
    return std::move(problems_);
  }

 private:
  void ReadDocument(const toml::table& document) {
    for (const auto& section : settings_.sections_) ReadOnce(section, document);
    for (const auto& it : settings_.repeated_) ReadRepeated(it, document);
    for (const auto& [key, node] : document) RefuseUnknownSection(key, node);
  }

  void ReadOnce(const Section& section, const toml::table& document) {
    const auto* node = document.get(section.name());
    if (node == nullptr) {
      ReadTable(section, toml::table());
      return;
    }
    if (!node->is_table()) {
      Add(node->source().begin.line, section.name(),
          ValueText(*node) + " is not allowed: a table [" + section.name() +
              "]");
      return;
    }
    ReadTable(section, *node->as_table());
  }

  void ReadRepeated(const Settings::Repeated& repeated,
                    const toml::table& document) {
    const auto& name = repeated.sample.name();
    const auto* node = document.get(name);
    if (node == nullptr) return;
    if (!node->is_array_of_tables()) {
      Add(node->source().begin.line, name,
          ValueText(*node) + " is not allowed: tables [[" + name + "]]");
      return;
    }
    for (const auto& element : *node->as_array()) {
      repeated.read([&](const Section& section) {
        ReadTable(section, *element.as_table());
      });
    }
  }

  void ReadTable(const Section& section, const toml::table& table) {
    for (const auto& it : section.settings()) {
      ReadSetting(section, it, table);
    }
    for (const auto& [key, node] : table) {
      RefuseUnknownKey(section, key.str(), node);
    }
  }

  void ReadSetting(const Section& section, const Setting& setting,
                   const toml::table& table) {
    const auto path = section.name() + "." + setting.key;
    const auto* node = table.get(setting.key);
    if (node == nullptr) {
      if (setting.presence == Presence::kOptional) return;
      Add(table.source().begin.line, path,
          "is missing: " + AllowedBy(setting.kind));
      return;
    }
    if (std::visit(Store(*node), setting.kind)) return;
    Add(node->source().begin.line, path,
        ValueText(*node) + " is not allowed: " + AllowedBy(setting.kind));
  }

  void RefuseUnknownKey(const Section& section, std::string_view key,
                        const toml::node& node) {
    std::string allowed;
    for (const auto& it : section.settings()) {
      if (it.key == key) return;
      if (!allowed.empty()) allowed += ", ";
      allowed += it.key;
    }
    Add(node.source().begin.line, section.name() + "." + std::string(key),
        "is unknown: allowed here are " + allowed);
  }

  void RefuseUnknownSection(const toml::key& key, const toml::node& node) {
    std::string allowed;
    const auto differs = [&](const std::string& name) {
      if (!allowed.empty()) allowed += ", ";
      allowed += name;
      return name != key.str();
    };
    for (const auto& section : settings_.sections_) {
      if (!differs(section.name())) return;
    }
    for (const auto& it : settings_.repeated_) {
      if (!differs(it.sample.name())) return;
    }
    Add(node.source().begin.line, std::string(key.str()),
        "is unknown: allowed here are the tables " + allowed);
  }

  void Add(std::size_t line, std::string path, std::string detail) {
    problems_.push_back({file_, line, std::move(path), std::move(detail)});
  }

  const Settings& settings_;
  std::string file_;
  std::vector<SettingsProblem> problems_;
};

boost::leaf::result<void> Settings::LoadFile(const std::string& file) const {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in) {
    return boost::leaf::new_error(SettingsProblems{
        {{file, 0, "", "cannot be read: the path of a TOML file"}}});
  }
  return LoadText(text.str(), file);
}

boost::leaf::result<void> Settings::LoadText(std::string_view text,
                                             const std::string& file) const {
  auto problems = SettingsReader(*this, file).Read(text);
  if (problems.empty()) return {};
  return boost::leaf::new_error(SettingsProblems{std::move(problems)});
}

}  // namespace lapishatch::config
