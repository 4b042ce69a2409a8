#ifndef LAPISHATCH_CONFIG_CHANGE_SOURCE_H_
#define LAPISHATCH_CONFIG_CHANGE_SOURCE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/log_entry.h"

namespace lapishatch::config {

/// The other processes, as far as changes are concerned. The table stays the
/// authority: what peers tell only comes sooner and costs no reads of it.
/// Called on the mirror's loop; answers come on it too. Peers tell by
/// Mirror::Offer and Mirror::HeardOf.
class ChangeSource {
 public:
  virtual ~ChangeSource() = default;

  /// Tells the others of entries that are in the table, the first of which has
  /// version `first`.
  virtual void Announce(LogId log, LogVersion first,
                        std::vector<std::string> entries) = 0;

  /// Asks some peer for the entries from `first` on. They come by
  /// Mirror::Offer, or not at all.
  virtual void Pull(LogId log, LogVersion first) = 0;

  /// Asks some peer, of the own failure domain if possible, for everything.
  /// Ends in exactly one call, with nothing when no peer has it.
  virtual void FetchSnapshot(
      LogId log, std::function<void(std::optional<std::string>)> done) = 0;
};

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_CHANGE_SOURCE_H_
