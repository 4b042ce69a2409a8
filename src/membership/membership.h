#ifndef LAPISHATCH_MEMBERSHIP_MEMBERSHIP_H_
#define LAPISHATCH_MEMBERSHIP_MEMBERSHIP_H_

/// Umbrella header of the membership package: who the other processes are, the
/// spreading of change logs among them, and what they all say of themselves.

#include "membership/group.h"
#include "membership/group_options.h"
#include "membership/member.h"
#include "membership/member_table.h"
#include "membership/mirror_link.h"
#include "membership/node.h"
#include "membership/scheduler_query.h"
#include "membership/seeds.h"
#include "membership/spreader.h"
#include "membership/status_board.h"
#include "membership/transport_charges.h"

#endif  // LAPISHATCH_MEMBERSHIP_MEMBERSHIP_H_
