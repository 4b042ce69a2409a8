#ifndef LAPISHATCH_TESTING_SCENARIO_SCENARIO_READER_H_
#define LAPISHATCH_TESTING_SCENARIO_SCENARIO_READER_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "scenario/scenario.h"

namespace lapishatch::scenario {

/// What is wrong with a scenario file, with its line.
struct ScenarioError {
  std::string text;
};

/// Reads a scenario (docs/SCENARIOS.md gives the language). Fails with
/// ScenarioError, also for keys that it does not know.
boost::leaf::result<Scenario> ParseScenario(std::string_view text,
                                            const std::string& file);
boost::leaf::result<Scenario> ReadScenario(const std::string& file);

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_SCENARIO_READER_H_
