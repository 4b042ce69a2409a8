#ifndef LAPISHATCH_ENTRY_ENTRY_OPTIONS_H_
#define LAPISHATCH_ENTRY_ENTRY_OPTIONS_H_

#include "config/config.h"
#include "entry/platform_view.h"
#include "entry/request_handler.h"
#include "entry/resource_api.h"
#include "membership/membership.h"
#include "routing/routing.h"
#include "store/store.h"

namespace lapishatch::entry {

/// How an entry stops.
struct StopOptions {
  /// From the moment that /readyz turns until no connection is accepted: the
  /// time that the balancer needs to notice.
  base::Duration accept_for{5'000};
};

/// How the platform's services are called.
struct PlatformOptions {
  base::Duration timeout{2'000};
  std::size_t connections = 16;
  /// This entry's share of the table's writes a second; 0 is no limit.
  double writes_per_s = 0;
};

/// Connections to runners.
struct RunnerConnectionOptions {
  std::size_t connections_per_runner = 7;
  base::Duration connect_timeout{500};
};

/// Everything that can be set of an entry besides [process] and [http].
struct EntryOptions {
  StopOptions stop;
  PlatformOptions platform;
  RunnerConnectionOptions runners;
  config::MirrorOptions mirror;
  config::WriterOptions writer;
  config::HousekeeperOptions housekeeper;
  PlatformViewOptions platform_view;
  ResourceApiOptions api;
  RequestHandlerOptions requests;
  routing::RequestPathOptions routing;
  membership::GroupOptions group;
};

/// Adds the entry's sections.
void AddSections(EntryOptions& options, config::Settings& settings);

/// The section [membership], which all processes have.
config::Section Describe(membership::GroupOptions& options);

/// The section [platform], likewise.
config::Section Describe(PlatformOptions& options);

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_ENTRY_OPTIONS_H_
