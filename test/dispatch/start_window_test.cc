#include "dispatch/internal/start_window.h"

#include <catch2/catch.hpp>

namespace lapishatch::dispatch::internal {
namespace {

using base::Duration;

/// Feeds a window with one answer to a start every 10 ms.
struct Answers {
  StartWindow window{{}};
  base::TimePoint now{Duration(100'000)};

  /// Records `n` answers while the window is fully used.
  void Give(int n, std::optional<Duration> took) {
    for (int i = 0; i < n; ++i) {
      now += Duration(10);
      window.RecordInFlight(window.size());
      window.OnAnswer(took, now);
    }
  }
};

TEST_CASE("late answers make the window smaller, down to a minimum size") {
  Answers answers;
  const int first = answers.window.size();
  answers.Give(30, Duration(400));
  CHECK(answers.window.size() < first);
  answers.Give(1'000, Duration(400));
  CHECK(answers.window.size() == StartWindowOptions{}.min_size);
}

TEST_CASE("missing answers make the window smaller as late ones do") {
  Answers answers;
  const int first = answers.window.size();
  answers.Give(30, std::nullopt);
  CHECK(answers.window.size() < first);
}

TEST_CASE("prompt answers make the window larger, up to a maximum size") {
  Answers answers;
  const int first = answers.window.size();
  answers.Give(30, Duration(5));
  CHECK(answers.window.size() > first);
  answers.Give(1'000, Duration(5));
  CHECK(answers.window.size() == StartWindowOptions{}.max_size);
}

TEST_CASE("a window that is little used does not grow") {
  Answers answers;
  const int first = answers.window.size();
  for (int i = 0; i < 200; ++i) {
    answers.now += Duration(10);
    answers.window.RecordInFlight(first / 4);
    answers.window.OnAnswer(Duration(5), answers.now);
  }
  CHECK(answers.window.size() == first);
}

TEST_CASE("a share of unreachable workers leaves the window unchanged") {
  Answers answers;
  const int first = answers.window.size();
  for (int i = 0; i < 200; ++i) {
    answers.Give(2, Duration(5));
    answers.Give(1, std::nullopt);
  }
  CHECK(answers.window.size() == first);
}

TEST_CASE("the window recovers within a second once answers are prompt again") {
  Answers answers;
  const int first = answers.window.size();
  answers.Give(1'000, std::nullopt);
  answers.Give(100, Duration(5));
  CHECK(answers.window.size() >= first);
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
