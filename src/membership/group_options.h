#ifndef LAPISHATCH_MEMBERSHIP_GROUP_OPTIONS_H_
#define LAPISHATCH_MEMBERSHIP_GROUP_OPTIONS_H_

#include <cstdint>
#include <vector>

#include "base/base.h"
#include "wire/wire.h"

namespace lapishatch::membership {

/// Settings of membership. docs/MEMBERSHIP.md gives the reasons for the
/// defaults.
struct GroupOptions {
  /// This process; the endpoint with the port that was bound.
  wire::Identity self;
  /// Peers to look for besides those of the VM list.
  std::vector<wire::Endpoint> seeds;
  /// Orders this life after earlier ones: the wall clock at the start, in
  /// milliseconds. A clock that is behind is made up for while joining.
  std::uint64_t generation = 0;

  /// Between two rounds of probes.
  base::Duration period{1'000};
  /// Probes of own-domain members in a round; 0 probes everyone.
  int fan_out = 2;
  /// For an answer; then again, over a fresh connection and through others.
  base::Duration probe_timeout{500};
  /// Members asked to probe one that did not answer.
  int indirect_probes = 2;
  /// How long a suspect may take to say that it lives.
  base::Duration suspicion{3'000};
  /// Members of the own domain that news is passed on to.
  int gossip_fan_out = 3;

  /// Members of a domain that keep in touch with the other domains.
  int relays = 2;
  /// Between a relay's probes of each other domain.
  base::Duration domain_period{2'000};
  /// Nothing heard of a domain for so long: it is unreachable.
  base::Duration domain_timeout{8'000};

  /// From the first contact: how long an earlier life with a higher generation
  /// is outbid instead of obeyed.
  base::Duration join_window{3'000};
  /// How long the dead and those who left are remembered.
  base::Duration remember_gone{600'000};
  /// A timer that runs so late was held up with its whole process, which then
  /// accuses nobody.
  base::Duration late_limit{400};

  /// Of the random choices.
  std::uint64_t random_seed = 1;
};

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_GROUP_OPTIONS_H_
