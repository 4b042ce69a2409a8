#ifndef LAPISHATCH_HTTP_INTERNAL_INPUT_PROBLEMS_H_
#define LAPISHATCH_HTTP_INTERNAL_INPUT_PROBLEMS_H_

#include <boost/system/error_code.hpp>

#include "http/message.h"
#include "http/server.h"

namespace lapishatch::http::internal {

/// What a peer is told whose request cannot be read. Nothing of it has run.
Response MakeInputProblem(const boost::system::error_code& ec,
                          const ServerLimits& limits);

/// What a peer is told whose request, its head or its body, came too slowly.
Response MakeTimeoutProblem(bool in_head);

/// What a peer is told beyond the limit of connections.
Response MakeFullProblem();

/// Refusal of a request for which the budget of bytes has no room.
Response MakeBusyProblem();

/// Replaces an answer for which the budget of bytes has no room: the request
/// may have run.
Response MakeUnsentProblem();

/// What a peer is told whose request does not have exactly one Host field.
Response MakeHostProblem();

/// What a peer is told whose request was taken by the handler and dropped.
Response MakeDroppedProblem();

}  // namespace lapishatch::http::internal

#endif  // LAPISHATCH_HTTP_INTERNAL_INPUT_PROBLEMS_H_
