#include "ctl/json_text.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <vector>

#include "ctl/text_table.h"

namespace lapishatch::ctl {
namespace {

namespace json = boost::json;

constexpr std::size_t kIndent = 2;

std::string Joined(const json::array& items) {
  std::string out;
  for (const auto& it : items) {
    if (!out.empty()) out += ", ";
    out += ShortText(it);
  }
  return out;
}

std::string Joined(const json::object& fields) {
  std::string out;
  for (const auto& it : fields) {
    if (!out.empty()) out += ' ';
    out += std::string(it.key()) + "=" + ShortText(it.value());
  }
  return out;
}

bool IsTable(const json::value& value) {
  if (!value.is_array() || value.as_array().empty()) return false;
  return std::all_of(value.as_array().begin(), value.as_array().end(),
                     [](const json::value& it) { return it.is_object(); });
}

std::string TableOf(const json::array& rows) {
  std::vector<std::string> columns;
  for (const auto& row : rows) {
    for (const auto& it : row.as_object()) {
      const std::string key(it.key());
      if (std::find(columns.begin(), columns.end(), key) != columns.end()) {
        continue;
      }
      columns.push_back(key);
    }
  }
  TextTable table(columns);
  for (const auto& row : rows) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const auto& it : columns) {
      const auto* cell = row.as_object().if_contains(it);
      cells.push_back(cell == nullptr ? "" : ShortText(*cell));
    }
    table.Add(std::move(cells));
  }
  return table.Render();
}

std::string Indented(const std::string& text, std::size_t depth) {
  std::string out;
  std::size_t begin = 0;
  while (begin < text.size()) {
    auto end = text.find('\n', begin);
    if (end == std::string::npos) end = text.size();
    out += std::string(depth, ' ') + text.substr(begin, end - begin) + '\n';
    begin = end + 1;
  }
  return out;
}

void AppendPretty(std::string& out, const json::value& value,
                  std::size_t depth);

template <typename Items, typename Append>
void AppendItems(std::string& out, const Items& items, std::size_t depth,
                 char open, char close, Append append) {
  if (items.empty()) {
    out += open;
    out += close;
    return;
  }
  out += open;
  bool first = true;
  for (const auto& it : items) {
    out += first ? "\n" : ",\n";
    out += std::string(depth + kIndent, ' ');
    append(it);
    first = false;
  }
  out += '\n' + std::string(depth, ' ') + close;
}

void AppendPretty(std::string& out, const json::value& value,
                  std::size_t depth) {
  if (value.is_object()) {
    AppendItems(out, value.as_object(), depth, '{', '}', [&](const auto& it) {
      out += json::serialize(json::string(it.key())) + ": ";
      AppendPretty(out, it.value(), depth + kIndent);
    });
  } else if (value.is_array()) {
    AppendItems(out, value.as_array(), depth, '[', ']', [&](const auto& it) {
      AppendPretty(out, it, depth + kIndent);
    });
  } else {
    out += json::serialize(value);
  }
}

}  // namespace

const json::value* FindPath(const json::value& value, std::string_view path) {
  const auto* it = &value;
  while (!path.empty()) {
    const auto dot = path.find('.');
    const auto key = path.substr(0, dot);
    if (!it->is_object()) return nullptr;
    it = it->as_object().if_contains({key.data(), key.size()});
    if (it == nullptr || dot == std::string_view::npos) return it;
    path.remove_prefix(dot + 1);
  }
  return it;
}

std::string TextAt(const json::value& value, std::string_view path) {
  const auto* it = FindPath(value, path);
  return it == nullptr ? "" : ShortText(*it);
}

std::uint64_t NumberAt(const json::value& value, std::string_view path) {
  const auto* it = FindPath(value, path);
  if (it == nullptr) return 0;
  boost::system::error_code ec;
  const auto number = it->to_number<std::uint64_t>(ec);
  return ec ? 0 : number;
}

std::string ShortText(const json::value& value) {
  if (value.is_null()) return "";
  if (value.is_string()) return std::string(value.as_string());
  if (value.is_array()) return Joined(value.as_array());
  if (value.is_object()) return Joined(value.as_object());
  return json::serialize(value);
}

std::string LongText(const json::value& value) {
  if (IsTable(value)) return TableOf(value.as_array());
  if (!value.is_object()) return ShortText(value) + '\n';
  std::string out;
  for (const auto& it : value.as_object()) {
    const std::string key(it.key());
    const auto& field = it.value();
    const bool nested =
        IsTable(field) || (field.is_object() && !field.as_object().empty());
    if (nested) {
      out += key + ":\n" + Indented(LongText(field), kIndent);
    } else {
      out += key + ": " + ShortText(field) + '\n';
    }
  }
  return out;
}

std::string PrettyJson(const json::value& value) {
  std::string out;
  AppendPretty(out, value, 0);
  out += '\n';
  return out;
}

}  // namespace lapishatch::ctl
