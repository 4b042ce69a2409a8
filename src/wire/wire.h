#ifndef LAPISHATCH_WIRE_WIRE_H_
#define LAPISHATCH_WIRE_WIRE_H_

/// Umbrella header of the wire package: the inner protocol between lapishatch
/// processes. Messages are typed structs; Thrift stays inside.

#include "wire/codec.h"
#include "wire/frame.h"
#include "wire/identity.h"
#include "wire/message.h"
#include "wire/request_channel.h"
#include "wire/transport.h"

#endif  // LAPISHATCH_WIRE_WIRE_H_
