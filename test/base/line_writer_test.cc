#include "base/internal/line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

namespace lapishatch::base::internal {
namespace {

constexpr TimePoint kNow{Duration(5'000)};

/// A pipe whose reader reads only when asked.
class Pipe {
 public:
  Pipe() {
    REQUIRE(::pipe(ends_.data()) == 0);
    REQUIRE(::fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~Pipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writing_end() const { return ends_[1]; }

  std::string ReadAll() {
    std::string out;
    std::array<char, 4'096> buf{};
    for (ssize_t n = 0; (n = ::read(ends_[0], buf.data(), buf.size())) > 0;) {
      out.append(buf.data(), static_cast<std::size_t>(n));
    }
    return out;
  }

 private:
  std::array<int, 2> ends_{};
};

TEST_CASE("lines are written whole and long ones cut") {
  Pipe pipe;
  LineWriter writer(pipe.writing_end());
  writer.Write(1, "first", kNow);
  writer.Write(1, std::string(9'000, 'x'), kNow);
  const auto text = pipe.ReadAll();
  CHECK(text.starts_with("first\nxxx"));
  CHECK(text.size() == 6 + LineWriter::kMaxLineBytes);
}

TEST_CASE("a reader that stands still costs lines, not time") {
  Pipe pipe;
  LineWriter writer(pipe.writing_end());
  constexpr int kLines = 2'000;
  const std::string line(1'000, 'x');
  for (int i = 0; i < kLines; ++i) writer.Write(i, line, kNow);
  CHECK(writer.left_out() > 1'000);
  pipe.ReadAll();
  writer.Write(kLines, "again", kNow);
  const auto text = pipe.ReadAll();
  CHECK(text.starts_with("lines_left_out="));
  CHECK(text.ends_with("again\n"));
}

TEST_CASE("one kind of line has its share of each second") {
  Pipe pipe;
  LineWriter writer(pipe.writing_end());
  for (int i = 0; i < 2 * LineWriter::kLinesPerSecond; ++i) {
    writer.Write(1, "x", kNow);
  }
  writer.Write(2, "other", kNow);
  CHECK(writer.left_out() == LineWriter::kLinesPerSecond);
  writer.Write(1, "later", kNow + Duration(1'000));
  CHECK(pipe.ReadAll().ends_with("later\n"));
}

}  // namespace
}  // namespace lapishatch::base::internal
