#include "store/read_window.h"

#include <catch2/catch.hpp>

namespace lapishatch::store {
namespace {

using base::Duration;

TEST_CASE("reads that queue behind each other leave room for others") {
  ReadWindow window;
  window.OnRead(Duration(40));
  // Eight at once over a link that carries one in 40 ms.
  for (int n = 2; n <= 8; ++n) window.OnRead(Duration(40 * n));
  CHECK(window.size() <= 4);
  for (int i = 0; i < 20; ++i) window.OnRead(Duration(400));
  CHECK(window.size() == 2);
}

TEST_CASE("a store that is slow for each is asked for many at once") {
  ReadWindow window;
  for (int i = 0; i < 24; ++i) window.OnRead(Duration(300));
  CHECK(window.size() >= 32);
  for (int i = 0; i < 100; ++i) window.OnRead(Duration(300));
  CHECK(window.size() == 64);
}

}  // namespace
}  // namespace lapishatch::store
