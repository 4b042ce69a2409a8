#include "base/ids.h"

#include <array>
#include <cstdint>
#include <random>

namespace lapishatch::base {
namespace {

constexpr int kHexDigitsPerWord = 16;
constexpr int kBitsPerHexDigit = 4;

std::mt19937_64 SeededEngine() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(),
                     device(), device(), device()};
  return std::mt19937_64(seed);
}

std::mt19937_64& ThreadEngine() {
  thread_local std::mt19937_64 engine = SeededEngine();
  return engine;
}

void AppendHex(std::uint64_t word, std::string& out) {
  static constexpr std::array<char, 17> kDigits{"0123456789abcdef"};
  for (int i = kHexDigitsPerWord - 1; i >= 0; --i) {
    out += kDigits[(word >> (i * kBitsPerHexDigit)) & 0xF];
  }
}

}  // namespace

std::string MakeUniqueText(const std::string& prefix) {
  auto& engine = ThreadEngine();
  std::string out = prefix;
  AppendHex(engine(), out);
  AppendHex(engine(), out);
  return out;
}

void SeedUniqueText(std::uint64_t seed) { ThreadEngine().seed(seed); }

}  // namespace lapishatch::base
