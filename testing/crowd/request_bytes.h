#ifndef LAPISHATCH_TESTING_CROWD_REQUEST_BYTES_H_
#define LAPISHATCH_TESTING_CROWD_REQUEST_BYTES_H_

#include <algorithm>
#include <cstdio>
#include <string>
#include <string_view>

namespace lapishatch::crowd {

/// Head of a request. `fields` are further fields, each with its line end.
inline std::string RequestHead(std::string_view method, std::string_view target,
                               std::string_view fields) {
  std::string out(method);
  out += ' ';
  out += target;
  out += " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  out += fields;
  return out + "\r\n";
}

/// A whole request with a body of known length.
inline std::string RequestWithBody(std::string_view target,
                                   std::string_view body) {
  return RequestHead("POST", target,
                     "Content-Length: " + std::to_string(body.size()) + "\r\n")
      .append(body);
}

/// A request that ends one byte before its body does.
inline std::string UnfinishedRequest(std::string_view target,
                                     std::size_t body_bytes) {
  auto out = RequestWithBody(target, std::string(body_bytes, 'x'));
  out.pop_back();
  return out;
}

/// A chunked request whose last chunk lacks its last byte.
inline std::string UnfinishedChunks(std::string_view target,
                                    std::size_t body_bytes,
                                    std::size_t chunk_bytes) {
  auto out = RequestHead("POST", target, "Transfer-Encoding: chunked\r\n");
  for (std::size_t left = body_bytes; left > 0;) {
    const auto n = std::min(left, chunk_bytes);
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", n);
    out += size;
    out.append(n, 'x');
    out += "\r\n";
    left -= n;
  }
  out.resize(out.size() - 3);
  return out;
}

}  // namespace lapishatch::crowd

#endif  // LAPISHATCH_TESTING_CROWD_REQUEST_BYTES_H_
