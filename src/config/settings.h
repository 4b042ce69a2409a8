#ifndef LAPISHATCH_CONFIG_SETTINGS_H_
#define LAPISHATCH_CONFIG_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"
#include "http/http.h"

namespace lapishatch::config {

/// One thing wrong with a settings file.
struct SettingsProblem {
  std::string file;
  /// From 1; 0 when the problem has no line (a missing key, say).
  std::size_t line = 0;
  /// "section.key", or empty for an error of syntax.
  std::string path;
  /// What is wrong and what is allowed.
  std::string detail;
};

/// "file:line: path: detail".
std::string TextOf(const SettingsProblem& problem);

/// Everything wrong with a settings file; the error object of Settings::Load.
struct SettingsProblems {
  std::vector<SettingsProblem> problems;
};

/// Whether a setting must be given or has a default.
enum class Presence : std::uint8_t { kOptional, kRequired };

struct IntegerSetting {
  std::int64_t least = 0;
  std::int64_t most = 0;
  std::int64_t initial = 0;
  std::function<void(std::int64_t)> store;
};

struct NumberSetting {
  double least = 0;
  double most = 0;
  double* target = nullptr;
};

struct FlagSetting {
  bool* target = nullptr;
};

/// Any text of at most `most_bytes`.
struct TextSetting {
  std::size_t most_bytes = 0;
  std::string* target = nullptr;
};

/// A name as in resources (see IsName).
struct NameSetting {
  std::string initial;
  std::function<void(std::string)> store;
};

/// One of a table of names.
struct ChoiceSetting {
  std::vector<std::string_view> names;
  std::size_t initial = 0;
  std::function<void(std::size_t)> store;
};

/// "IP:port"; IPv6 as "[IP]:port".
struct EndpointSetting {
  http::Endpoint* target = nullptr;
};

/// A list of at most `most` endpoints.
struct EndpointListSetting {
  std::size_t most = 0;
  std::vector<http::Endpoint>* target = nullptr;
};

using SettingKind = std::variant<IntegerSetting, NumberSetting, FlagSetting,
                                 TextSetting, NameSetting, ChoiceSetting,
                                 EndpointSetting, EndpointListSetting>;

/// One key of a section: its type, range and target, and a line for
/// docs/SETTINGS.md.
struct Setting {
  std::string key;
  SettingKind kind;
  Presence presence = Presence::kOptional;
  std::string doc;
  /// The default as it stands in the documentation.
  std::string initial;
};

/// Type and range of a setting, in words.
std::string AllowedBy(const SettingKind& kind);

/// A table of a settings file and where its values go. Each package declares
/// its own beside the struct that it fills; the values which the targets hold
/// when they are declared are the defaults:
///
///     Section Describe(RoutingOptions& options) {
///       Section section("routing", "How requests reach runners.");
///       section.Integer("attempts", options.attempts, 1, 5, "Most tries.");
///       section.Millis("ping_ms", options.ping, 10, 60'000, "Between pings.");
///       return section;
///     }
///
/// The targets must outlive the section.
class Section {
 public:
  Section(std::string name, std::string doc)
      : name_(std::move(name)), doc_(std::move(doc)) {}

  /// A whole number from `least` to `most`.
  template <std::integral Number>
  Section& Integer(std::string key, Number& target, std::int64_t least,
                   std::int64_t most, std::string doc) {
    return Put(std::move(key),
               IntegerSetting{least, most, static_cast<std::int64_t>(target),
                              [&target](std::int64_t value) {
                                target = static_cast<Number>(value);
                              }},
               Presence::kOptional, std::move(doc));
  }

  /// A time in milliseconds; the key ends in "_ms".
  Section& Millis(std::string key, base::Duration& target, std::int64_t least,
                  std::int64_t most, std::string doc);

  Section& Number(std::string key, double& target, double least, double most,
                  std::string doc);

  Section& Flag(std::string key, bool& target, std::string doc);

  Section& Text(std::string key, std::string& target, std::size_t most_bytes,
                std::string doc, Presence presence = Presence::kOptional);

  /// A name, into any of the Id types.
  template <typename Tag>
  Section& Name(std::string key, base::Id<Tag>& target, std::string doc,
                Presence presence = Presence::kOptional) {
    return Put(std::move(key),
               NameSetting{target.str(),
                           [&target](std::string value) {
                             target = base::Id<Tag>(std::move(value));
                           }},
               presence, std::move(doc));
  }

  /// One of the names of an enum class.
  template <typename Enum>
  Section& Choice(std::string key, Enum& target, std::string doc) {
    const auto& names = base::EnumNames<Enum>::kNames;
    return Put(std::move(key),
               ChoiceSetting{{names.begin(), names.end()},
                             static_cast<std::size_t>(target),
                             [&target](std::size_t value) {
                               target = static_cast<Enum>(value);
                             }},
               Presence::kOptional, std::move(doc));
  }

  Section& Endpoint(std::string key, http::Endpoint& target, std::string doc,
                    Presence presence = Presence::kOptional);

  Section& Endpoints(std::string key, std::vector<http::Endpoint>& target,
                     std::size_t most, std::string doc);

  const std::string& name() const { return name_; }
  const std::string& doc() const { return doc_; }
  const std::vector<Setting>& settings() const { return settings_; }

 private:
  Section& Put(std::string key, SettingKind kind, Presence presence,
               std::string doc);

  std::string name_;
  std::string doc_;
  std::vector<Setting> settings_;
};

/// All sections of one program.
class Settings {
 public:
  /// A section that may stand once, as [name].
  Settings& Add(Section section);

  /// A section that may stand any number of times, as [[name]]; each fills one
  /// more element of `target`, described by `describe`.
  template <typename Item>
  Settings& AddRepeated(std::vector<Item>& target,
                        std::function<Section(Item&)> describe) {
    Item sample;
    const auto read = [&target, describe](const ReadSection& read_section) {
      Item item;
      read_section(describe(item));
      target.push_back(std::move(item));
    };
    repeated_.push_back({describe(sample), read});
    return *this;
  }

  /// Reads a file. Fails with SettingsProblems that name every problem; the
  /// targets are then not to be used.
  boost::leaf::result<void> LoadFile(const std::string& file) const;

  /// Reads TOML text, called `file` in problems.
  boost::leaf::result<void> LoadText(std::string_view text,
                                     const std::string& file) const;

  /// A table per section in Markdown: key, type and range, default, meaning.
  std::string Markdown() const;

 private:
  using ReadSection = std::function<void(const Section&)>;

  struct Repeated {
    /// For its name and documentation; its targets are gone.
    Section sample;
    std::function<void(const ReadSection&)> read;
  };

  std::vector<Section> sections_;
  std::vector<Repeated> repeated_;

  friend class SettingsReader;
};

/// Whether `text` is a name: 1 to 63 lower-case letters, digits, '-', '_' and
/// '.', the first a letter or digit.
bool IsName(std::string_view text);

/// What IsName allows, for messages.
inline constexpr std::string_view kNameRule =
    "1 to 63 of a-z, 0-9, '-', '_' and '.', the first a letter or digit";

/// Reads "IP:port" or "[IPv6]:port".
std::optional<http::Endpoint> ParseEndpoint(std::string_view text);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_SETTINGS_H_
