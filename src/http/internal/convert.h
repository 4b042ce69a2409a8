#ifndef LAPISHATCH_HTTP_INTERNAL_CONVERT_H_
#define LAPISHATCH_HTTP_INTERNAL_CONVERT_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http/message.h"

namespace lapishatch::http::internal {

namespace beast_http = boost::beast::http;

using BeastRequest = beast_http::request<beast_http::string_body>;
using BeastRequestHead = beast_http::request_header<>;
using BeastResponse = beast_http::response<beast_http::string_body>;

/// Copies the fields of a received message.
Headers HeadersFrom(const beast_http::fields& fields);

/// Copies `headers` except those that say how the message is framed, which the
/// connection sets itself. Control characters, which would let a value begin
/// another field, become spaces.
void CopyFields(const Headers& headers, beast_http::fields& out);

/// The request of a received head and body.
Request RequestFrom(const BeastRequestHead& head, std::string body);

Response ResponseFrom(BeastResponse& message);

}  // namespace lapishatch::http::internal

#endif  // LAPISHATCH_HTTP_INTERNAL_CONVERT_H_
