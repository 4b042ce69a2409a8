#include "entry/entry_options.h"

namespace lapishatch::entry {
namespace {

config::Section Describe(StopOptions& options) {
  config::Section section("stop", "How a planned stop goes.");
  section.Millis("accept_for_ms", options.accept_for, 0, 600'000,
                 "From the moment that /readyz turns until no connection is "
                 "accepted: the time that the balancer needs to notice.");
  return section;
}

config::Section Describe(RunnerConnectionOptions& options) {
  config::Section section("runners", "Connections to runners.");
  section.Integer("connections_per_runner", options.connections_per_runner, 1,
                  1'000, "Connections to one runner; all entries share 64.");
  section.Millis("connect_timeout_ms", options.connect_timeout, 10, 60'000,
                 "Time for a connection to a runner to open.");
  return section;
}

config::Section Describe(ResourceApiOptions& options) {
  config::Section section("api", "The resource API.");
  section.Integer("max_apply", options.max_apply, 1, 1'000,
                  "Most resources in one apply.");
  return section;
}

/// The request path's settings, those of its handler included.
config::Section DescribeRequests(RequestHandlerOptions& handler,
                                 routing::RequestPathOptions& routing) {
  config::Section section("requests", "Requests to runners.");
  section.Millis("default_deadline_ms", handler.default_deadline, 1, 86'400'000,
                 "Time of a caller that names none.");
  section.Millis("max_deadline_ms", handler.max_deadline, 1, 86'400'000,
                 "A caller that asks for more gets this.");
  section.Integer("max_in_progress", routing.max_in_progress, 1, 1'000'000,
                  "Requests taken and not yet answered.");
  section.Integer("max_bytes_in_progress", routing.max_bytes_in_progress,
                  1 << 20, std::int64_t{1} << 34,
                  "Bytes of the bodies of requests in progress.");
  section.Integer("max_waiting_per_class",
                  routing.dispatcher.queue.max_per_class, 1, 1'000'000,
                  "Requests that may wait for a runner, per class.");
  section.Integer("max_in_flight_per_runner",
                  routing.dispatcher.pool.max_in_flight, 1, 1'000,
                  "Requests from this entry at one runner.");
  section.Number("retry_share", routing.dispatcher.retry_share, 0, 1,
                 "Second runs of idempotent requests, as a share of the "
                 "successful answers.");
  return section;
}

}  // namespace

config::Section Describe(membership::GroupOptions& options) {
  config::Section section("membership", "Who the other processes are.");
  section.Millis("period_ms", options.period, 100, 60'000,
                 "Between two rounds of probes.");
  section.Integer("fan_out", options.fan_out, 0, 100,
                  "Own-domain members probed in a round; 0 probes everyone.");
  section.Millis("probe_timeout_ms", options.probe_timeout, 10, 60'000,
                 "For the answer to a probe.");
  section.Millis("suspicion_ms", options.suspicion, 100, 600'000,
                 "How long a suspect may take to say that it lives.");
  section.Integer("relays", options.relays, 1, 100,
                  "Members of a domain that keep in touch with the others.");
  section.Millis("domain_timeout_ms", options.domain_timeout, 100, 600'000,
                 "Nothing heard of a domain for so long: it is unreachable.");
  return section;
}

config::Section Describe(PlatformOptions& options) {
  config::Section section("platform", "Calls to the platform's services.");
  section.Millis("timeout_ms", options.timeout, 10, 60'000,
                 "Longest time of one call.");
  section.Integer("connections", options.connections, 1, 1'000,
                  "Connections to the platform.");
  section.Number("writes_per_s", options.writes_per_s, 0, 1e6,
                 "This process's share of the table's writes a second for "
                 "claims; 0 is no limit.");
  return section;
}

void AddSections(EntryOptions& options, config::Settings& settings) {
  settings.Add(Describe(options.stop));
  settings.Add(Describe(options.platform));
  settings.Add(Describe(options.runners));
  settings.Add(config::Describe(options.mirror));
  settings.Add(config::Describe(options.writer));
  settings.Add(config::Describe(options.housekeeper));
  settings.Add(Describe(options.platform_view));
  settings.Add(Describe(options.api));
  settings.Add(DescribeRequests(options.requests, options.routing));
  settings.Add(Describe(options.group));
}

}  // namespace lapishatch::entry
