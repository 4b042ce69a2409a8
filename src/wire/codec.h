#ifndef LAPISHATCH_WIRE_CODEC_H_
#define LAPISHATCH_WIRE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "wire/message.h"

namespace lapishatch::wire {

/// Longest encoded message, in bytes. Larger state travels in chunks.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{1024} * 1024;

/// Longest list inside a message.
inline constexpr std::size_t kMaxListItems = 4096;

/// Why bytes are no message.
struct DecodeError {
  std::string detail;
};

using DecodeResult = std::variant<Message, DecodeError>;

/// The message as a Thrift struct in the compact protocol, without the frame.
std::string Encode(const Message& message);

/// The message of `bytes`. Any bytes are safe to pass: what is truncated,
/// oversized, unknown or out of range gives an error. Costs memory in
/// proportion to the bytes.
DecodeResult Decode(std::string_view bytes);

}  // namespace lapishatch::wire

#endif  // LAPISHATCH_WIRE_CODEC_H_
