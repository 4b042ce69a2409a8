#ifndef LAPISHATCH_WIRE_FRAME_H_
#define LAPISHATCH_WIRE_FRAME_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lapishatch::wire {

/// Bytes of the length in front of each frame.
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// `payload` with its length in front, four bytes, most significant first.
std::string MakeFrame(std::string_view payload);

/// The length that a frame header of kFrameHeaderBytes gives, or nothing when
/// it is 0 or above `max_bytes`: the stream is then of no further use.
std::optional<std::size_t> PayloadBytes(std::string_view header,
                                        std::size_t max_bytes);

}  // namespace lapishatch::wire

#endif  // LAPISHATCH_WIRE_FRAME_H_
