#ifndef LAPISHATCH_BACKENDS_INTERNAL_JSON_READER_H_
#define LAPISHATCH_BACKENDS_INTERNAL_JSON_READER_H_

#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "backends/codec_error.h"

namespace lapishatch::backends::internal {

/// Reads the fields of one JSON object. The first wrong field is kept and every
/// later read gives a default, so that a decoder reads straight on and asks
/// once, at its end, whether all was well.
class JsonReader {
 public:
  /// `error` is shared by the readers of one message and must outlive them.
  JsonReader(const boost::json::value& value, std::string path,
             std::optional<CodecError>& error);

  std::string String(std::string_view name);
  std::string OptionalString(std::string_view name);
  bool OptionalBool(std::string_view name);
  /// A whole number from 0 to `most`.
  std::uint64_t Number(std::string_view name, std::uint64_t most);
  std::uint64_t OptionalNumber(std::string_view name, std::uint64_t most);
  /// A whole number of either sign in the range of int; 0 when missing.
  int OptionalInt(std::string_view name);
  /// The array called `name`; an empty one when missing or wrong.
  const boost::json::array& Array(std::string_view name);
  /// The field called `name`, or nothing.
  const boost::json::value* Find(std::string_view name) const;

  /// Notes that field `name` is wrong.
  void Fail(std::string_view name, std::string detail);

  /// The path of element `i` of array `name`.
  std::string PathOf(std::string_view name, std::size_t i) const;

 private:
  std::uint64_t ReadNumber(const boost::json::value& value,
                           std::string_view name, std::uint64_t most);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  std::optional<CodecError>& error_;
};

/// Largest numbers of the protocol's narrower fields.
inline constexpr auto kMostInt =
    static_cast<std::uint64_t>(std::numeric_limits<int>::max());
inline constexpr auto kMostInt64 =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
inline constexpr auto kMostUint64 = std::numeric_limits<std::uint64_t>::max();

}  // namespace lapishatch::backends::internal

#endif  // LAPISHATCH_BACKENDS_INTERNAL_JSON_READER_H_
