#ifndef LAPISHATCH_TEST_ROUTING_FAKE_ENTRIES_H_
#define LAPISHATCH_TEST_ROUTING_FAKE_ENTRIES_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/fakes.h"
#include "routing/routing.h"

namespace lapishatch::routing {

inline const base::ServiceName kService("plans");
inline const base::OrganisationName kBertolini("bertolini");
inline const base::OrganisationName kFianza("fianza");

/// The directories of all entries, written by the test.
class FakeDirectory final : public OrganisationDirectory,
                            public RunnerDirectory,
                            public EntryDirectory {
 public:
  std::optional<OrganisationRules> FindOrganisation(
      const base::OrganisationName& name) const override {
    const auto it = organisations.find(name);
    if (it == organisations.end()) return std::nullopt;
    return it->second;
  }
  std::optional<ServiceRules> FindService(
      const base::ServiceName& name) const override {
    if (name != kService) return std::nullopt;
    return ServiceRules{};
  }
  std::vector<RunnerEntry> Runners(const base::ServiceName&) const override {
    return runners;
  }
  bool IsGone(const base::Incarnation& entry) const override {
    return gone.contains(entry);
  }
  int LiveEntries() const override { return live_entries; }

  std::map<base::OrganisationName, OrganisationRules> organisations{
      {kBertolini, {}}, {kFianza, {}}};
  std::vector<RunnerEntry> runners;
  std::set<base::Incarnation> gone;
  int live_entries = 1;
};

/// Some entries before the same table and runners, in virtual time.
class FakeEntries {
 public:
  struct Entry {
    Entry(FakeEntries& all, int number, const RequestPathOptions& options)
        : process(all.time),
          table(all.table, process),
          objects(all.objects, process),
          runners(all.runners, process),
          incarnation("entry-" + std::to_string(number)) {
      RequestPathParts parts{{&process},
                             table,
                             objects,
                             runners,
                             all.directory,
                             all.directory,
                             all.directory,
                             all.metrics,
                             incarnation,
                             base::DomainName("caxias-hall"),
                             [&all] { return all.UnixMs(); },
                             static_cast<std::uint64_t>(number)};
      path = std::make_unique<RequestPath>(std::move(parts), options);
    }

    /// The VM is gone: nothing of it runs any more.
    void Kill() {
      process.Kill();
      path.reset();
    }

    fakes::FakeProcess process;
    fakes::FakeTableView table;
    fakes::FakeObjectsView objects;
    fakes::FakeRunnersView runners;
    base::Incarnation incarnation;
    std::unique_ptr<RequestPath> path;
  };

  /// One caller's outcome, once there.
  using Caller = std::shared_ptr<std::optional<RequestOutcome>>;

  explicit FakeEntries(int entry_count, int runner_count = 3,
                       RequestPathOptions options = {},
                       fakes::FakeRunnerOptions runner = {}) {
    directory.live_entries = entry_count;
    for (int i = 0; i < runner_count; ++i) {
      const auto endpoint = EndpointOf(i);
      runners.Add(endpoint, runner);
      directory.runners.push_back({base::RunnerName("r" + std::to_string(i)),
                                   endpoint, base::DomainName("caxias-hall"),
                                   false});
    }
    for (int i = 0; i < entry_count; ++i) {
      entries.push_back(std::make_unique<Entry>(*this, i, options));
    }
  }

  static http::Endpoint EndpointOf(int runner) {
    return {"10.0.0.1", static_cast<std::uint16_t>(7000 + runner)};
  }

  std::int64_t UnixMs() const {
    return 1'796'000'000'000 + time.Now().time_since_epoch().count();
  }

  /// A request that is not idempotent; its body is its key.
  static RoutedRequest Keyed(const std::string& key) {
    RoutedRequest request;
    request.id = base::RequestId("id-" + key);
    request.organisation = kBertolini;
    request.service = kService;
    request.deadline = base::Duration(10'000);
    request.key = base::IdempotencyKey(key);
    request.content_type = "text/plain";
    request.body = key;
    return request;
  }

  static RoutedRequest Idempotent(const std::string& body) {
    auto request = Keyed(body);
    request.idempotent = true;
    request.key = base::IdempotencyKey();
    return request;
  }

  Caller Send(int entry, RoutedRequest request) {
    auto caller = std::make_shared<std::optional<RequestOutcome>>();
    entries[static_cast<std::size_t>(entry)]->path->Handle(
        std::move(request),
        [caller](RequestOutcome outcome) { *caller = std::move(outcome); });
    return caller;
  }

  /// Sends and runs until the outcome is there.
  RequestOutcome Ask(int entry, RoutedRequest request) {
    const auto caller = Send(entry, std::move(request));
    const bool ended = time.RunUntil([&] { return caller->has_value(); },
                                     base::Duration(60'000));
    if (!ended) throw std::runtime_error("the request has no outcome");
    return **caller;
  }

  fakes::VirtualTime time;
  fakes::FakeTable table{time};
  fakes::FakeObjects objects;
  fakes::FakeRunners runners{time};
  FakeDirectory directory;
  base::MetricRegistry metrics;
  std::vector<std::unique_ptr<Entry>> entries;
};

inline const RequestAnswered* AnswerOf(const RequestOutcome& outcome) {
  return std::get_if<RequestAnswered>(&outcome);
}

inline const RequestRefused* RefusalOf(const RequestOutcome& outcome) {
  return std::get_if<RequestRefused>(&outcome);
}

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_TEST_ROUTING_FAKE_ENTRIES_H_
