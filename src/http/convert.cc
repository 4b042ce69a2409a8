#include "http/internal/convert.h"

#include <boost/beast/http/field.hpp>

namespace lapishatch::http::internal {
namespace {

using beast_http::field;

/// Whether the connection, not the message's author, decides this field.
bool IsFraming(field name) {
  return name == field::content_length || name == field::transfer_encoding ||
         name == field::connection || name == field::keep_alive ||
         name == field::host;
}

bool IsControl(char c) { return static_cast<unsigned char>(c) < 0x20; }

std::string WithoutControls(std::string_view text) {
  std::string out(text);
  for (auto& c : out) {
    if (IsControl(c)) c = ' ';
  }
  return out;
}

}  // namespace

Headers HeadersFrom(const beast_http::fields& fields) {
  std::vector<HeaderField> out;
  for (const auto& it : fields) {
    out.push_back({std::string(it.name_string()), std::string(it.value())});
  }
  return Headers(std::move(out));
}

void CopyFields(const Headers& headers, beast_http::fields& out) {
  for (const auto& it : headers.fields()) {
    const auto name = beast_http::string_to_field(it.name);
    if (IsFraming(name)) continue;
    const bool clean =
        std::none_of(it.value.begin(), it.value.end(), IsControl);
    if (clean) {
      out.insert(name, it.name, it.value);
      continue;
    }
    out.insert(name, it.name, WithoutControls(it.value));
  }
}

Request RequestFrom(const BeastRequestHead& head, std::string body) {
  Request out;
  out.method = std::string(head.method_string());
  out.target = std::string(head.target());
  out.headers = HeadersFrom(head);
  out.body = std::move(body);
  return out;
}

Response ResponseFrom(BeastResponse& message) {
  Response out;
  out.status = static_cast<int>(message.result_int());
  out.headers = HeadersFrom(message);
  out.body = std::move(message.body());
  return out;
}

}  // namespace lapishatch::http::internal
