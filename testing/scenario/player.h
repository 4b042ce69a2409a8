#ifndef LAPISHATCH_TESTING_SCENARIO_PLAYER_H_
#define LAPISHATCH_TESTING_SCENARIO_PLAYER_H_

#include <boost/leaf/result.hpp>
#include <future>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scenario/cluster.h"
#include "scenario/load_run.h"
#include "scenario/scenario.h"
#include "scenario/standin_figures.h"

namespace lapishatch::scenario {

/// A step did not come out as it says.
struct StepFailed {
  std::string text;
};

/// Plays the steps of one scenario on a cluster and writes the transcript.
class Player {
 public:
  Player(const Scenario& scenario, Cluster& cluster, Caller& caller,
         std::ostream& out);

  /// Plays every step up to the first that fails. Fails with StepFailed.
  boost::leaf::result<void> Play();

 private:
  using Answers = std::vector<std::future<http::ClientResult>>;
  /// What a step did, for the transcript.
  using Outcome = boost::leaf::result<std::string>;

  Outcome Do(const CallAction& action);
  Outcome Do(const AnswerAction& action);
  Outcome Do(const WaitAction& action);
  Outcome Do(const ProcessAction& action);
  Outcome Do(const ExitAction& action);
  Outcome Do(const FaultAction& action);
  Outcome Do(const LinkAction& action);
  Outcome Do(const CountAction& action);
  Outcome Do(const CtlAction& action);
  Outcome Do(const SeenAction& action);
  Outcome Do(const LoadAction& action);
  Outcome Do(const LoadedAction& action);

  Outcome WaitAt(const WaitAction& action, const std::string& at);
  Outcome Await(Answers answers, const Expectation& expectation);
  /// An answer of a call that is sent again on some statuses.
  boost::leaf::result<std::future<http::ClientResult>> SendUntil(
      const CallSpec& call, const std::vector<int>& again_on);
  boost::leaf::result<http::Endpoint> EntryFor(const std::string& at);
  /// Calls an entry, or each in turn until one answers.
  http::ClientResult CallAny(const std::string& at,
                             const http::Request& request);
  boost::leaf::result<std::uint64_t> Count(const CountAction& action) const;
  boost::leaf::result<void> DoTo(ProcessVerb verb, ChildProcess& process);
  boost::leaf::result<void> Replace(ChildProcess& process);
  void Write(const Step& step, const std::string& verdict,
             const std::string& what);
  base::Duration Elapsed() const;

  const Scenario& scenario_;
  Cluster& cluster_;
  Caller& caller_;
  StandinFigures figures_;
  std::ostream& out_;
  base::SteadyClock clock_;
  base::TimePoint began_;
  base::TimePoint deadline_;
  std::size_t next_entry_ = 0;
  int ctl_runs_ = 0;
  std::map<std::string, Answers> labelled_;
  std::map<std::string, std::unique_ptr<ChildProcess>> screens_;
  std::map<std::string, std::unique_ptr<LoadRun>> loads_;
};

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_PLAYER_H_
