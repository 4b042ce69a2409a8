#ifndef LAPISHATCH_REVIEW_STANDIN_2_CLOCK_H_
#define LAPISHATCH_REVIEW_STANDIN_2_CLOCK_H_

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>

#include "http.h"

namespace review {

/// Time since the start of the case.
class Clock {
 public:
  explicit Clock(asio::io_context& io)
      : io_(io), begin_(std::chrono::steady_clock::now()) {}

  Millis Now() const {
    return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                              begin_);
  }

  void After(Millis wait, std::function<void()> task) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, wait);
    timer->async_wait(
        [timer, task = std::move(task)](boost::system::error_code ec) {
          if (!ec) task();
        });
  }

  /// Runs `task` every `pause`, from now on.
  void Every(Millis pause, const std::function<void()>& task) {
    task();
    After(pause, [this, pause, task] { Every(pause, task); });
  }

  asio::io_context& io() { return io_; }

 private:
  asio::io_context& io_;
  const std::chrono::steady_clock::time_point begin_;
};

/// What was sent, answered and run, with the time of each, in record.txt.
class Record {
 public:
  Record(Clock& clock, const std::string& path)
      : clock_(clock), file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& line) {
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f s  %s\n",
                 static_cast<double>(clock_.Now().count()) / 1000,
                 line.c_str());
    std::fflush(file_);
  }

 private:
  Clock& clock_;
  std::FILE* file_;
};

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_2_CLOCK_H_
