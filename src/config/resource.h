#ifndef LAPISHATCH_CONFIG_RESOURCE_H_
#define LAPISHATCH_CONFIG_RESOURCE_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "config/resources.h"

namespace lapishatch::config {

/// The change logs. Each has its own versions.
enum class LogId : std::uint8_t { kConfig, kJobs };

}  // namespace lapishatch::config

namespace lapishatch::base {
template <>
struct EnumNames<config::LogId> {
  static constexpr std::array<std::string_view, 2> kNames = {"config", "jobs"};
};
}  // namespace lapishatch::base

namespace lapishatch::config {

/// The log in which changes of a kind stand.
constexpr LogId LogOf(ResourceKind kind) {
  return kind == ResourceKind::kJob ? LogId::kJobs : LogId::kConfig;
}

/// Names one resource.
struct ResourceRef {
  ResourceKind kind = ResourceKind::kOrganisation;
  std::string name;

  friend auto operator<=>(const ResourceRef&, const ResourceRef&) = default;
};

/// "organisations/bertolini".
std::string TextOf(const ResourceRef& ref);

/// What the operators wish; the alternative's index is the kind's.
using Spec = std::variant<OrganisationSpec, ServiceSpec, DrainSpec, JobSpec>;

static_assert(std::variant_size_v<Spec> == base::kEnumSize<ResourceKind>,
              "A_KIND_HAS_NO_SPEC: give Spec one alternative per ResourceKind, "
              "in the same order");

/// One accepted resource. Never changed once made: a change makes a new one.
struct Resource {
  ResourceRef ref;
  /// Of the last change of its spec; the ETag. Status does not count it up, so
  /// that an operator's If-Match does not race with what the system reports.
  LogVersion version = 0;
  Spec spec;
  /// Jobs only: the failure domain that takes it, chosen when it was accepted
  /// and never changed. Empty when its spec names one, and in records from
  /// before there was a choice.
  base::DomainName pinned_domain;
  /// Jobs only: an operator has asked for the job's end.
  bool cancel_requested = false;
  /// Jobs only: nothing until the owner of a cell has taken the job on.
  std::optional<JobStatus> status;
  /// Of the last change of its status; 0 is none.
  LogVersion status_version = 0;
  /// Who made the last change, for people.
  std::string changed_by;
  /// When, in ms since 1970 by the accepting process's clock; for people.
  std::int64_t changed_at_ms = 0;
  /// When the resource was first accepted, likewise.
  std::int64_t created_at_ms = 0;

  friend bool operator==(const Resource&, const Resource&) = default;
};

using ResourcePtr = std::shared_ptr<const Resource>;

/// The job's phase; queued as long as no cell has taken it on.
JobPhase PhaseOf(const Resource& job);

/// The failure domain that takes a job, as its spec, its pin or else its status
/// says; empty when none of them does.
base::DomainName DomainOf(const Resource& job);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_RESOURCE_H_
