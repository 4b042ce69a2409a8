#ifndef LAPISHATCH_CTL_TEXT_TABLE_H_
#define LAPISHATCH_CTL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace lapishatch::ctl {

/// Rows under headings, in columns that line up.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> headings);

  /// Adds a row with one cell per heading.
  void Add(std::vector<std::string> cells);

  std::string Render() const;

 private:
  /// The headings first.
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_TEXT_TABLE_H_
