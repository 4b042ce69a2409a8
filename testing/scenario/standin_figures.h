#ifndef LAPISHATCH_TESTING_SCENARIO_STANDIN_FIGURES_H_
#define LAPISHATCH_TESTING_SCENARIO_STANDIN_FIGURES_H_

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "scenario/caller.h"
#include "scenario/cluster.h"

namespace lapishatch::scenario {

/// What the stand-ins of a cluster executed, over all of their processes. Every
/// call asks them anew and fails with ClusterError.
class StandinFigures {
 public:
  /// Executions by request id.
  using RunsById = std::unordered_map<std::string, std::uint64_t>;

  StandinFigures(const Cluster& cluster, Caller& caller)
      : cluster_(cluster), caller_(caller) {}

  /// How often runners ran the request with this body.
  boost::leaf::result<std::uint64_t> RunsOfBody(const std::string& body) const;

  /// How many tasks of this job workers started.
  boost::leaf::result<std::uint64_t> StartsOfJob(const std::string& job) const;

  /// What runners ran of the requests whose id begins with `prefix`.
  boost::leaf::result<RunsById> RunsOfIds(const std::string& prefix) const;

 private:
  /// The field `field` of what each stand-in called `prefix`... answers at its
  /// fault port.
  boost::leaf::result<std::vector<boost::json::value>> Ask(
      const std::string& prefix, const std::string& target,
      const std::string& field) const;

  const Cluster& cluster_;
  Caller& caller_;
};

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_STANDIN_FIGURES_H_
