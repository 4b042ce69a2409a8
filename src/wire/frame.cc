#include "wire/frame.h"

#include <climits>
#include <cstdint>

namespace lapishatch::wire {

std::string MakeFrame(std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  for (std::size_t i = kFrameHeaderBytes; i > 0; --i) {
    frame += static_cast<char>(payload.size() >> (CHAR_BIT * (i - 1)));
  }
  frame += payload;
  return frame;
}

std::optional<std::size_t> PayloadBytes(std::string_view header,
                                        std::size_t max_bytes) {
  std::size_t length = 0;
  for (const char it : header.substr(0, kFrameHeaderBytes)) {
    length = (length << CHAR_BIT) | static_cast<std::uint8_t>(it);
  }
  if (length == 0 || length > max_bytes) return std::nullopt;
  return length;
}

}  // namespace lapishatch::wire
