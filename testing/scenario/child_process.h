#ifndef LAPISHATCH_TESTING_SCENARIO_CHILD_PROCESS_H_
#define LAPISHATCH_TESTING_SCENARIO_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace lapishatch::scenario {

/// One program that the tool runs, with its output in a file. Its destructor
/// kills the process if it still runs.
class ChildProcess {
 public:
  /// `log` is appended to.
  ChildProcess(std::string name, std::vector<std::string> command,
               std::string log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Starts the program; false when that fails. `input` is the file that it
  /// reads.
  bool Start(const std::string& input = "/dev/null");

  /// Sends a signal, if it runs.
  void Signal(int number);

  /// The exit code once it has ended; a signal's number plus 128.
  std::optional<int> Ended();

  /// Waits for the end; nothing after `limit`.
  std::optional<int> WaitEnd(base::Duration limit);

  bool running() { return pid_ > 0 && !Ended(); }
  /// Process id, or 0 before the start.
  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }
  const std::string& log() const { return log_; }

  /// The text after "<word> " in a line of the output, the last such line;
  /// waits for it while the process runs. Empty when none comes.
  std::string WaitAnnounced(const std::string& word, base::Duration limit);

  /// Every text after "<word> ", without waiting.
  std::vector<std::string> Announced(const std::string& word) const;

 private:
  std::string name_;
  std::vector<std::string> command_;
  std::string log_;
  pid_t pid_ = 0;
  std::optional<int> code_;
};

/// Kills every process that still runs; for a tool that is told to end itself.
void KillAllChildren();

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_CHILD_PROCESS_H_
