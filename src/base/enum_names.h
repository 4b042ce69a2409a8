#ifndef LAPISHATCH_BASE_ENUM_NAMES_H_
#define LAPISHATCH_BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lapishatch::base {

/// The table of names of an enum class. Specialise it beside the enum with
/// `static constexpr std::array<std::string_view, N> kNames`, one name per
/// value, in order from 0:
///
///     template <>
///     struct EnumNames<Colour> {
///       static constexpr std::array<std::string_view, 2> kNames = {"red",
///       "blue"};
///     };
template <typename Enum>
struct EnumNames {
  static_assert(sizeof(Enum) == 0,
                "THIS_ENUM_HAS_NO_TABLE_OF_NAMES: specialise "
                "lapishatch::base::EnumNames beside the enum");
};

/// Number of values of `Enum`, from its table of names.
template <typename Enum>
inline constexpr std::size_t kEnumSize = EnumNames<Enum>::kNames.size();

/// The name of `value`.
template <typename Enum>
constexpr std::string_view NameOf(Enum value) {
  return EnumNames<Enum>::kNames[static_cast<std::size_t>(value)];
}

/// The value called `name`, or nothing when the table has no such name.
template <typename Enum>
constexpr std::optional<Enum> ParseEnum(std::string_view name) {
  for (std::size_t i = 0; i < kEnumSize<Enum>; ++i) {
    if (EnumNames<Enum>::kNames[i] == name) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

/// All names of `Enum`, separated by ", ", for messages that say what is
/// allowed.
template <typename Enum>
std::string AllowedNames() {
  std::string out;
  for (const auto name : EnumNames<Enum>::kNames) {
    if (!out.empty()) out += ", ";
    out += name;
  }
  return out;
}

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_ENUM_NAMES_H_
