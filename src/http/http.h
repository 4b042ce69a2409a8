#ifndef LAPISHATCH_HTTP_HTTP_H_
#define LAPISHATCH_HTTP_HTTP_H_

/// Umbrella header of the http package: messages, a bounded server, a
/// pooling client and a client for streams, on Boost.Beast.

#include "http/client.h"
#include "http/message.h"
#include "http/resources.h"
#include "http/server.h"
#include "http/stream_client.h"

#endif  // LAPISHATCH_HTTP_HTTP_H_
