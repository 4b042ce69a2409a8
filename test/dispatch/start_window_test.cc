#include "dispatch/internal/start_window.h"

#include <catch2/catch.hpp>

namespace lapishatch::dispatch::internal {
namespace {

using base::Duration;

/// Answers to starts, one each 10 ms.
struct Answers {
  StartWindow window{{}};
  base::TimePoint now{Duration(100'000)};

  /// While the window is used to the full.
  void Give(int n, std::optional<Duration> took) {
    for (int i = 0; i < n; ++i) {
      now += Duration(10);
      window.RecordInFlight(window.size());
      window.OnAnswer(took, now);
    }
  }
};

TEST_CASE("late answers make the window smaller, down to a least size") {
  Answers answers;
  const int first = answers.window.size();
  answers.Give(30, Duration(400));
  CHECK(answers.window.size() < first);
  answers.Give(1'000, Duration(400));
  CHECK(answers.window.size() == StartWindowOptions{}.min_size);
}

TEST_CASE("answers that do not come make the window smaller as late ones do") {
  Answers answers;
  const int first = answers.window.size();
  answers.Give(30, std::nullopt);
  CHECK(answers.window.size() < first);
}

TEST_CASE("soon answers make the window larger, up to a most size") {
  Answers answers;
  const int first = answers.window.size();
  answers.Give(30, Duration(5));
  CHECK(answers.window.size() > first);
  answers.Give(1'000, Duration(5));
  CHECK(answers.window.size() == StartWindowOptions{}.max_size);
}

TEST_CASE("a window that is hardly used does not grow") {
  Answers answers;
  const int first = answers.window.size();
  for (int i = 0; i < 200; ++i) {
    answers.now += Duration(10);
    answers.window.RecordInFlight(first / 4);
    answers.window.OnAnswer(Duration(5), answers.now);
  }
  CHECK(answers.window.size() == first);
}

TEST_CASE("a share of workers that are cut off leaves the window as it is") {
  Answers answers;
  const int first = answers.window.size();
  for (int i = 0; i < 200; ++i) {
    answers.Give(2, Duration(5));
    answers.Give(1, std::nullopt);
  }
  CHECK(answers.window.size() == first);
}

TEST_CASE("the window comes back within a second when answers are soon again") {
  Answers answers;
  const int first = answers.window.size();
  answers.Give(1'000, std::nullopt);
  answers.Give(100, Duration(5));
  CHECK(answers.window.size() >= first);
}

}  // namespace
}  // namespace lapishatch::dispatch::internal
