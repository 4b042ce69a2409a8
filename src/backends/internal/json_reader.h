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

/// Reads the fields of one JSON object. The first error is kept and each failed
/// read returns a default, so that a decoder checks for errors only once, at
/// its end.
class JsonReader {
 public:
  /// `error` is shared by the readers of one message and must outlive them.
  JsonReader(const boost::json::value& value, std::string path,
             std::optional<CodecError>& error);

  std::string String(std::string_view name);
  std::string OptionalString(std::string_view name);
  bool OptionalBool(std::string_view name);
  /// An integer from 0 to `max`.
  std::uint64_t Number(std::string_view name, std::uint64_t max);
  std::uint64_t OptionalNumber(std::string_view name, std::uint64_t max);
  /// An integer in the range of int; 0 when missing.
  int OptionalInt(std::string_view name);
  /// The array called `name`; an empty one when missing or invalid.
  const boost::json::array& Array(std::string_view name);
  /// The field called `name`, or nullptr.
  const boost::json::value* Find(std::string_view name) const;

  /// Records an error for field `name`, unless one is already recorded.
  void Fail(std::string_view name, std::string detail);

  /// The path of element `i` of array `name`.
  std::string PathOf(std::string_view name, std::size_t i) const;

 private:
  std::uint64_t ReadNumber(const boost::json::value& value,
                           std::string_view name, std::uint64_t max);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  std::optional<CodecError>& error_;
};

/// Largest values of the protocol's number fields.
inline constexpr auto kMaxInt =
    static_cast<std::uint64_t>(std::numeric_limits<int>::max());
inline constexpr auto kMaxInt64 =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
inline constexpr auto kMaxUint64 = std::numeric_limits<std::uint64_t>::max();

}  // namespace lapishatch::backends::internal

#endif  // LAPISHATCH_BACKENDS_INTERNAL_JSON_READER_H_
