#ifndef LAPISHATCH_ENTRY_ENTRY_VIEW_H_
#define LAPISHATCH_ENTRY_ENTRY_VIEW_H_

#include <string>
#include <vector>

#include "config/config.h"
#include "entry/platform_view.h"
#include "entry/system_view.h"
#include "membership/membership.h"

namespace lapishatch::entry {

/// What an entry shows of workers, runners, cells and the other processes.
class EntryView final : public SystemView {
 public:
  /// All must outlive it.
  EntryView(const PlatformView& platform, const config::Mirror& mirror,
            const membership::Node& node)
      : platform_(platform), mirror_(mirror), node_(node) {}

  std::vector<SeenResource> List(SeenKind kind) const override;
  boost::json::array Processes() const override;

 private:
  std::vector<SeenResource> Workers() const;
  std::vector<SeenResource> Runners() const;
  std::vector<SeenResource> Cells() const;
  boost::json::object VmStatus(const store::Vm& vm) const;

  const PlatformView& platform_;
  const config::Mirror& mirror_;
  const membership::Node& node_;
};

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_ENTRY_VIEW_H_
