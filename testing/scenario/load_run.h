#ifndef LAPISHATCH_TESTING_SCENARIO_LOAD_RUN_H_
#define LAPISHATCH_TESTING_SCENARIO_LOAD_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "scenario/child_process.h"
#include "scenario/cluster.h"
#include "scenario/scenario.h"
#include "scenario/standin_figures.h"

namespace lapishatch::scenario {

/// How the requests of a load ended, as lapishatch-load printed it.
struct LoadEnds {
  std::uint64_t sent = 0;
  /// Answered 200 with the word that the work ran.
  std::uint64_t ran = 0;
  /// Of all counts, for people.
  std::string text;
};

/// The counts of a lapishatch-load whose names begin with "load_".
LoadEnds ReadLoadEnds(std::string_view printed);

/// What runners did of a load's requests.
struct LoadRuns {
  std::uint64_t requests = 0;
  std::uint64_t again = 0;
};

LoadRuns SumRuns(const StandinFigures::RunsById& runs);

/// Why not every request of the load was answered and ran once; empty when it
/// was. A second run of up to `again_at_most` is allowed.
std::string ComplaintOf(const LoadEnds& ends, const LoadRuns& runs,
                        std::uint64_t again_at_most);

/// A lapishatch-load that runs against all entries of a cluster as the
/// platform's balancer does, and repeats no request.
class LoadRun {
 public:
  /// `id` is different for each load of the scenario.
  LoadRun(const LoadAction& action, const std::string& id,
          const Cluster& cluster);

  bool Start() { return process_.Start(); }

  /// Tells it to stop and awaits its end; false when it does not end with 0.
  bool Finish(base::Duration limit);

  bool is_idempotent() const { return is_idempotent_; }
  /// What the ids of its requests begin with.
  const std::string& id_prefix() const { return id_prefix_; }
  /// The file with what it printed.
  const std::string& log() const { return process_.log(); }

 private:
  const bool is_idempotent_;
  const std::string id_prefix_;
  ChildProcess process_;
};

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_LOAD_RUN_H_
