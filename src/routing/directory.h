#ifndef LAPISHATCH_ROUTING_DIRECTORY_H_
#define LAPISHATCH_ROUTING_DIRECTORY_H_

#include <optional>
#include <vector>

#include "base/base.h"
#include "http/http.h"

namespace lapishatch::routing {

/// What the request path heeds of an organisation.
struct OrganisationRules {
  /// Share against other organisations of the same class; above 0.
  double weight = 1;
  /// Requests in progress over all entries together; none is no limit.
  std::optional<int> requests_in_progress;
};

/// What the request path heeds of a service.
struct ServiceRules {
  /// Longest deadline; 0 leaves it to the entry's settings.
  base::Duration max_deadline{0};
};

/// The configuration in force, as the request path sees it. Safe from several
/// threads; answers from memory.
class OrganisationDirectory {
 public:
  virtual ~OrganisationDirectory() = default;

  /// Nothing when the organisation does not exist.
  virtual std::optional<OrganisationRules> FindOrganisation(
      const base::OrganisationName& name) const = 0;

  /// Nothing when the service does not exist.
  virtual std::optional<ServiceRules> FindService(
      const base::ServiceName& name) const = 0;
};

/// A runner as the platform's list and the operators' drains show it.
struct RunnerEntry {
  base::RunnerName name;
  http::Endpoint endpoint;
  base::DomainName domain;
  /// No new work, whoever said so.
  bool leaving = false;
};

/// The runners that are known now. Safe from several threads; answers from
/// memory, and keeps the last list while the platform cannot be read.
class RunnerDirectory {
 public:
  virtual ~RunnerDirectory() = default;

  virtual std::vector<RunnerEntry> Runners(
      const base::ServiceName& service) const = 0;
};

/// What is known of the other entries. Safe from several threads.
class EntryDirectory {
 public:
  virtual ~EntryDirectory() = default;

  /// Whether that life of an entry has certainly ended. False when in doubt.
  virtual bool IsGone(const base::Incarnation& entry) const = 0;

  /// Entries that live now, this one included; at least 1.
  virtual int LiveEntries() const = 0;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_DIRECTORY_H_
