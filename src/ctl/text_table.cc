#include "ctl/text_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lapishatch::ctl {
namespace {

constexpr std::size_t kGap = 2;

std::string UpperCase(std::string text) {
  for (auto& c : text) {
    c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return text;
}

std::string WithoutTrailingSpace(std::string line) {
  line.erase(line.find_last_not_of(' ') + 1);
  return line;
}

}  // namespace

TextTable::TextTable(std::vector<std::string> headings) {
  for (auto& it : headings) it = UpperCase(std::move(it));
  rows_.push_back(std::move(headings));
}

void TextTable::Add(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  rows_.push_back(std::move(cells));
}

std::string TextTable::Render() const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string out;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + kGap, ' ');
    }
    out += WithoutTrailingSpace(std::move(line)) + '\n';
  }
  return out;
}

}  // namespace lapishatch::ctl
