#ifndef LAPISHATCH_TESTING_SCENARIO_TABLE_READER_H_
#define LAPISHATCH_TESTING_SCENARIO_TABLE_READER_H_

#include <toml++/toml.h>

#include <boost/json/value.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lapishatch::scenario {

/// Takes the keys of one TOML table and, at the end, refuses those that nobody
/// asked for. The first problem is kept.
class TableReader {
 public:
  explicit TableReader(const toml::table& table) : table_(table) {}

  bool Has(std::string_view key) const { return table_.contains(key); }

  std::optional<std::string> Text(std::string_view key);
  std::optional<std::int64_t> Integer(std::string_view key);
  std::optional<bool> Flag(std::string_view key);
  /// One text or a list of texts.
  std::vector<std::string> Texts(std::string_view key);
  /// One number or a list of numbers.
  std::vector<int> Integers(std::string_view key);
  const toml::table* Table(std::string_view key);
  const toml::array* Array(std::string_view key);
  /// Any value, as JSON.
  std::optional<boost::json::value> Json(std::string_view key);

  /// Notes a problem with `key`.
  void Refuse(std::string_view key, const std::string& detail);

  /// The first problem, an unknown key included; empty when there is none.
  std::string Problem();

 private:
  const toml::node* Take(std::string_view key);

  const toml::table& table_;
  std::set<std::string, std::less<>> asked_;
  std::string problem_;
};

/// A TOML value as JSON.
boost::json::value JsonOf(const toml::node& node);

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_TABLE_READER_H_
