#ifndef LAPISHATCH_CONFIG_RESOURCES_H_
#define LAPISHATCH_CONFIG_RESOURCES_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "placement/placement.h"

namespace lapishatch::config {

/// The kinds of resource. Organisations, services and drains are configuration,
/// in one log; jobs are in a log of their own.
enum class ResourceKind : std::uint8_t {
  kOrganisation,
  kService,
  kDrain,
  kJob,
};

/// Version of a log: each accepted change counts it up by one and becomes the
/// version of what it wrote.
using LogVersion = std::uint64_t;

/// Guaranteed blocks in one failure domain.
struct DomainGuarantee {
  base::DomainName failure_domain;
  placement::Shape shape;
  int count = 0;

  friend bool operator==(const DomainGuarantee&,
                         const DomainGuarantee&) = default;
};

struct OrganisationLimits {
  std::optional<int> running_accelerators;
  std::optional<int> requests_in_progress;

  friend bool operator==(const OrganisationLimits&,
                         const OrganisationLimits&) = default;
};

struct OrganisationSpec {
  std::vector<DomainGuarantee> guarantees;
  double weight = 1;
  OrganisationLimits limits;

  friend bool operator==(const OrganisationSpec&,
                         const OrganisationSpec&) = default;
};

/// A service that runners serve.
struct ServiceSpec {
  /// Longest time a caller may ask for; 0 takes the setting of the entry.
  base::Duration max_deadline{0};

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// An operator's wish that a worker or runner gets no new work.
struct DrainSpec {
  std::string reason;

  friend bool operator==(const DrainSpec&, const DrainSpec&) = default;
};

struct JobSpec {
  base::OrganisationName organisation;
  base::WorkClass work_class = base::WorkClass::kNormal;
  int tasks = 1;
  placement::TaskNeeds needs;
  placement::Adjacency adjacency = placement::Adjacency::kRack;
  bool idempotent = false;
  bool checkpoint = false;
  bool borrow = true;
  bool may_be_lost = false;
  base::Duration declared_runtime{0};
  /// Only there; empty lets the system choose.
  base::DomainName failure_domain;
  /// JSON text for the tasks.
  std::string payload;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

enum class JobPhase : std::uint8_t {
  kQueued,
  kStarting,
  kRunning,
  kCheckpointing,
  kFinished,
  kFailed,
  kCancelled,
  kUnschedulable,
  kUnknown,
};

/// What the system has made of a job; written by the owner of its cell.
struct JobStatus {
  JobPhase phase = JobPhase::kQueued;
  std::string reason;
  base::CellName cell;
  base::DomainName domain;
  base::AttemptId attempt;
  int attempts = 0;
  bool borrowed = false;
  std::vector<placement::TaskPlacement> members;
  std::string checkpoint;

  friend bool operator==(const JobStatus&, const JobStatus&) = default;
};

/// Whether nothing further happens to a job in this phase.
constexpr bool IsFinal(JobPhase phase) {
  return phase == JobPhase::kFinished || phase == JobPhase::kFailed ||
         phase == JobPhase::kCancelled || phase == JobPhase::kUnschedulable ||
         phase == JobPhase::kUnknown;
}

}  // namespace lapishatch::config

namespace lapishatch::base {
template <>
struct EnumNames<config::ResourceKind> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "organisations", "services", "drains", "jobs"};
};
template <>
struct EnumNames<config::JobPhase> {
  static constexpr std::array<std::string_view, 9> kNames = {
      "queued", "starting",  "running",       "checkpointing", "finished",
      "failed", "cancelled", "unschedulable", "unknown"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_CONFIG_RESOURCES_H_
