#ifndef LAPISHATCH_CONFIG_JSON_READER_H_
#define LAPISHATCH_CONFIG_JSON_READER_H_

#include <boost/json/value.hpp>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace lapishatch::config {

/// One thing wrong with a JSON document.
struct Problem {
  /// The field, such as "spec.gang.tasks".
  std::string path;
  /// The value that was found and what is allowed.
  std::string detail;

  friend bool operator==(const Problem&, const Problem&) = default;
};

/// Everything wrong with a document; the error object of the codecs.
struct Problems {
  std::vector<Problem> list;
};

/// "path: detail; path: detail".
std::string TextOf(const Problems& problems);

/// Reads the fields of one JSON object into typed members and collects every
/// problem. Each reading names its field once; Finish refuses the fields that
/// nobody read.
class ObjectReader {
 public:
  /// `value` must be an object; a problem says so otherwise, and every reading
  /// then does nothing.
  ObjectReader(const boost::json::value& value, std::string path,
               std::vector<Problem>& problems);

  template <std::integral Number>
  void Integer(std::string_view key, Number& target, std::int64_t least,
               std::int64_t most) {
    if (const auto value = TakeInteger(key, least, most)) {
      target = static_cast<Number>(*value);
    }
  }

  template <std::integral Number>
  void Integer(std::string_view key, std::optional<Number>& target,
               std::int64_t least, std::int64_t most) {
    if (const auto value = TakeInteger(key, least, most)) {
      target = static_cast<Number>(*value);
    }
  }

  /// A time in ms or s, as the key says.
  void Millis(std::string_view key, base::Duration& target, std::int64_t least,
              std::int64_t most);
  void Seconds(std::string_view key, base::Duration& target, std::int64_t least,
               std::int64_t most);

  void Number(std::string_view key, double& target, double least, double most);
  void Flag(std::string_view key, bool& target);
  void Text(std::string_view key, std::string& target, std::size_t most_bytes);

  template <typename Tag>
  void Name(std::string_view key, base::Id<Tag>& target) {
    if (auto name = TakeName(key)) target = base::Id<Tag>(std::move(*name));
  }

  /// A text that is any Id, not only a name.
  template <typename Tag>
  void Id(std::string_view key, base::Id<Tag>& target) {
    std::string text;
    Text(key, text, kMostIdBytes);
    target = base::Id<Tag>(std::move(text));
  }

  template <typename Enum>
  void Choice(std::string_view key, Enum& target) {
    const auto text = TakeText(key, "one of " + base::AllowedNames<Enum>());
    if (!text) return;
    const auto value = base::ParseEnum<Enum>(*text);
    if (value) {
      target = *value;
    } else {
      Refuse(key, "one of " + base::AllowedNames<Enum>());
    }
  }

  /// Any JSON value.
  const boost::json::value* Any(std::string_view key);

  /// An object within.
  void Object(std::string_view key,
              const std::function<void(ObjectReader&)>& read);

  /// A list of objects, at most `most`.
  void Objects(std::string_view key, std::size_t most,
               const std::function<void(ObjectReader&)>& read);

  /// A field that must be there.
  void Require(std::string_view key, std::string_view allowed);

  /// Says that the field's value is not allowed.
  void Refuse(std::string_view key, std::string_view allowed);

  bool Has(std::string_view key) const;
  const std::string& path() const { return path_; }

  /// Refuses the fields that nobody read.
  void Finish();

 private:
  static constexpr std::size_t kMostIdBytes = 256;

  const boost::json::value* Take(std::string_view key);
  std::optional<std::int64_t> TakeInteger(std::string_view key,
                                          std::int64_t least,
                                          std::int64_t most);
  std::optional<std::string> TakeText(std::string_view key,
                                      std::string_view allowed);
  std::optional<std::string> TakeName(std::string_view key);
  std::string PathOf(std::string_view key) const;

  const boost::json::object* object_ = nullptr;
  std::string path_;
  std::vector<Problem>& problems_;
  std::set<std::string, std::less<>> known_;
};

/// A JSON value on one line, cut when it is long; for messages.
std::string ShortText(const boost::json::value& value);

/// Depth of nesting that operators may send, and that rows may hold: a row
/// wraps what operators send in objects of its own.
inline constexpr std::size_t kMostInputDepth = 16;
inline constexpr std::size_t kMostStoredDepth = 32;

/// The value of JSON text, or nothing and a problem that says where it is
/// broken.
std::optional<boost::json::value> ParseJson(std::string_view text,
                                            std::size_t most_depth,
                                            std::vector<Problem>& problems);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_JSON_READER_H_
