#ifndef LAPISHATCH_REVIEW_STANDIN_RECORD_H_
#define LAPISHATCH_REVIEW_STANDIN_RECORD_H_

#include <cstdint>
#include <fstream>
#include <string>

#include "http_server.h"

namespace review {

/// The record of a run: one line for each thing that was sent, answered or
/// run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}

  void Add(const std::string& line) {
    const auto ms = NowMs() - began_;
    out_ << ms / 1'000 << '.' << std::to_string(1'000 + ms % 1'000).substr(1)
         << ' ' << line << std::endl;
  }

 private:
  std::ofstream out_;
  const std::int64_t began_ = NowMs();
};

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_RECORD_H_
