#ifndef LAPISHATCH_SCHEDULER_MAIN_HOME_DOMAIN_H_
#define LAPISHATCH_SCHEDULER_MAIN_HOME_DOMAIN_H_

#include <vector>

#include "config/config.h"

namespace lapishatch::scheduler_main {

/// The failure domain whose cell takes a job: the one that its spec names, else
/// the one pinned in its record, else (in records without a pin) one of
/// `domains` by rendezvous hashing of the job's name. Depends on nothing that
/// processes could see differently, so that never two cells take the same job.
/// Empty when there are no domains.
base::DomainName HomeDomainOf(const config::Resource& job,
                              const std::vector<base::DomainName>& domains);

}  // namespace lapishatch::scheduler_main

#endif  // LAPISHATCH_SCHEDULER_MAIN_HOME_DOMAIN_H_
