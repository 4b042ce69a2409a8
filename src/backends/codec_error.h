#ifndef LAPISHATCH_BACKENDS_CODEC_ERROR_H_
#define LAPISHATCH_BACKENDS_CODEC_ERROR_H_

#include <string>

namespace lapishatch::backends {

/// Error for a message that violates the protocol. Carried by `leaf::result`.
struct CodecError {
  /// Path of the first invalid field, such as "commands[2].lease_ms"; empty for
  /// the message as a whole.
  std::string field;
  std::string detail;
};

/// "field: detail", for responses and logs.
inline std::string TextOf(const CodecError& error) {
  if (error.field.empty()) return error.detail;
  return error.field + ": " + error.detail;
}

}  // namespace lapishatch::backends

#endif  // LAPISHATCH_BACKENDS_CODEC_ERROR_H_
