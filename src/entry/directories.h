#ifndef LAPISHATCH_ENTRY_DIRECTORIES_H_
#define LAPISHATCH_ENTRY_DIRECTORIES_H_

#include <optional>
#include <vector>

#include "config/config.h"
#include "entry/platform_view.h"
#include "membership/membership.h"
#include "routing/routing.h"

namespace lapishatch::entry {

/// The organisations and services in force, for the request path.
class MirrorDirectory final : public routing::OrganisationDirectory {
 public:
  /// `mirror` must outlive it.
  explicit MirrorDirectory(const config::Mirror& mirror) : mirror_(mirror) {}

  std::optional<routing::OrganisationRules> FindOrganisation(
      const base::OrganisationName& name) const override;
  std::optional<routing::ServiceRules> FindService(
      const base::ServiceName& name) const override;

 private:
  const config::Mirror& mirror_;
};

/// The runners of the platform's list, with the operators' drains.
class PlatformRunners final : public routing::RunnerDirectory {
 public:
  /// Both must outlive it.
  PlatformRunners(const PlatformView& platform, const config::Mirror& mirror)
      : platform_(platform), mirror_(mirror) {}

  std::vector<routing::RunnerEntry> Runners(
      const base::ServiceName& service) const override;

 private:
  const PlatformView& platform_;
  const config::Mirror& mirror_;
};

/// The other entries, as membership knows them.
class MemberEntries final : public routing::EntryDirectory {
 public:
  /// `node` must outlive it.
  explicit MemberEntries(const membership::Node& node) : node_(node) {}

  bool IsGone(const base::Incarnation& entry) const override;
  int LiveEntries() const override;

 private:
  const membership::Node& node_;
};

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_DIRECTORIES_H_
