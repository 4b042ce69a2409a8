#ifndef LAPISHATCH_ENTRY_PRECONDITIONS_H_
#define LAPISHATCH_ENTRY_PRECONDITIONS_H_

#include <variant>

#include "config/config.h"
#include "entry/refusal.h"
#include "http/http.h"

namespace lapishatch::entry {

/// Reads If-Match and If-None-Match (RFC 9110) of a request that changes one
/// resource: exactly one of them must be there. `present` is the resource as it
/// is in force, for `If-Match: *`.
std::variant<config::Precondition, Refusal> ReadPrecondition(
    const http::Headers& headers, const config::ResourcePtr& present);

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_PRECONDITIONS_H_
