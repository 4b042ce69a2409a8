#include "config/settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace lapishatch::config {
namespace {

constexpr std::size_t kMostNameBytes = 63;

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

/// Type and range of a setting, for messages and the documentation.
struct AllowedText {
  std::string operator()(const IntegerSetting& it) const {
    return "a whole number from " + std::to_string(it.least) + " to " +
           std::to_string(it.most);
  }
  std::string operator()(const NumberSetting& it) const {
    return "a number from " + Short(it.least) + " to " + Short(it.most);
  }
  std::string operator()(const FlagSetting&) const { return "true or false"; }
  std::string operator()(const TextSetting& it) const {
    return "a text of at most " + std::to_string(it.most_bytes) + " bytes";
  }
  std::string operator()(const NameSetting&) const {
    return "a name: " + std::string(kNameRule);
  }
  std::string operator()(const ChoiceSetting& it) const {
    std::string out = "one of ";
    for (const auto name : it.names) {
      if (name != it.names.front()) out += ", ";
      out += name;
    }
    return out;
  }
  std::string operator()(const EndpointSetting&) const {
    return "a text \"IP:port\" or \"[IPv6]:port\"";
  }
  std::string operator()(const EndpointListSetting& it) const {
    return "a list of at most " + std::to_string(it.most) +
           " texts \"IP:port\"";
  }

  static std::string Short(double value) {
    std::array<char, 32> buf{};
    const auto end =
        std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
    return {buf.data(), end};
  }
};

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

/// The default of a setting, as it would stand in the file.
struct DefaultText {
  std::string operator()(const IntegerSetting& it) const {
    return std::to_string(it.initial);
  }
  std::string operator()(const NumberSetting& it) const {
    return AllowedText::Short(*it.target);
  }
  std::string operator()(const FlagSetting& it) const {
    return *it.target ? "true" : "false";
  }
  std::string operator()(const TextSetting& it) const {
    return Quoted(*it.target);
  }
  std::string operator()(const NameSetting& it) const {
    return Quoted(it.initial);
  }
  std::string operator()(const ChoiceSetting& it) const {
    return Quoted(std::string(it.names[it.initial]));
  }
  std::string operator()(const EndpointSetting& it) const {
    return Quoted(it.target->address.empty() ? "" : TextOf(*it.target));
  }
  std::string operator()(const EndpointListSetting& it) const {
    std::string out = "[";
    for (const auto& endpoint : *it.target) {
      if (out.size() > 1) out += ", ";
      out += Quoted(TextOf(endpoint));
    }
    return out + "]";
  }
};

std::string MarkdownOf(const Section& section, bool repeated) {
  const std::string open = repeated ? "[[" : "[";
  const std::string close = repeated ? "]]" : "]";
  std::string out = "### `" + open + section.name() + close + "`\n\n";
  out += section.doc() + "\n\n";
  out += "| key | allowed | default | meaning |\n| --- | --- | --- | --- |\n";
  for (const auto& it : section.settings()) {
    out += "| `" + it.key + "` | " + AllowedBy(it.kind) + " | " + it.initial +
           " | " + it.doc + " |\n";
  }
  return out + "\n";
}

}  // namespace

std::string TextOf(const SettingsProblem& problem) {
  std::string out = problem.file;
  if (problem.line > 0) out += ":" + std::to_string(problem.line);
  out += ": ";
  if (!problem.path.empty()) out += problem.path + ": ";
  return out + problem.detail;
}

std::string AllowedBy(const SettingKind& kind) {
  return std::visit(AllowedText(), kind);
}

Section& Section::Put(std::string key, SettingKind kind, Presence presence,
                      std::string doc) {
  auto initial = presence == Presence::kRequired
                     ? std::string("(required)")
                     : "`" + std::visit(DefaultText(), kind) + "`";
  settings_.push_back({std::move(key), std::move(kind), presence,
                       std::move(doc), std::move(initial)});
  return *this;
}

Section& Section::Millis(std::string key, base::Duration& target,
                         std::int64_t least, std::int64_t most,
                         std::string doc) {
  return Put(std::move(key),
             IntegerSetting{least, most, target.count(),
                            [&target](std::int64_t value) {
                              target = base::Duration(value);
                            }},
             Presence::kOptional, std::move(doc));
}

Section& Section::Number(std::string key, double& target, double least,
                         double most, std::string doc) {
  return Put(std::move(key), NumberSetting{least, most, &target},
             Presence::kOptional, std::move(doc));
}

Section& Section::Flag(std::string key, bool& target, std::string doc) {
  return Put(std::move(key), FlagSetting{&target}, Presence::kOptional,
             std::move(doc));
}

Section& Section::Text(std::string key, std::string& target,
                       std::size_t most_bytes, std::string doc,
                       Presence presence) {
  return Put(std::move(key), TextSetting{most_bytes, &target}, presence,
             std::move(doc));
}

Section& Section::Endpoint(std::string key, http::Endpoint& target,
                           std::string doc, Presence presence) {
  return Put(std::move(key), EndpointSetting{&target}, presence,
             std::move(doc));
}

Section& Section::Endpoints(std::string key,
                            std::vector<http::Endpoint>& target,
                            std::size_t most, std::string doc) {
  return Put(std::move(key), EndpointListSetting{most, &target},
             Presence::kOptional, std::move(doc));
}

Settings& Settings::Add(Section section) {
  sections_.push_back(std::move(section));
  return *this;
}

std::string Settings::Markdown() const {
  std::string out;
  for (const auto& section : sections_) out += MarkdownOf(section, false);
  for (const auto& it : repeated_) out += MarkdownOf(it.sample, true);
  return out;
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMostNameBytes) return false;
  if (!IsLetterOrDigit(text.front())) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return IsLetterOrDigit(c) || c == '-' || c == '_' || c == '.';
  });
}

std::optional<http::Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  auto host = text.substr(0, colon);
  const auto port_text = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  http::Endpoint out;
  const auto* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, out.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  boost::system::error_code ec;
  out.address = std::string(host);
  boost::asio::ip::make_address(out.address, ec);
  if (ec) return std::nullopt;
  return out;
}

}  // namespace lapishatch::config
