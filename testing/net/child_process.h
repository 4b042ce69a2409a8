#ifndef LAPISHATCH_TESTING_NET_CHILD_PROCESS_H_
#define LAPISHATCH_TESTING_NET_CHILD_PROCESS_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <vector>

namespace lapishatch::testing {

/// A program that a test runs. Killed with the object.
class ChildProcess {
 public:
  explicit ChildProcess(std::vector<std::string> arguments) {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
      throw std::runtime_error("no pipe");
    }
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& it : arguments) argv.push_back(it.data());
    argv.push_back(nullptr);
    const int error =
        ::posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    output_ = ::fdopen(ends[0], "r");
    if (error != 0) throw std::runtime_error("cannot run " + arguments[0]);
  }

  ~ChildProcess() {
    if (pid_ > 0) {
      Signal(SIGKILL);
      Wait();
    }
    std::fclose(output_);
  }

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// The next line of its standard output; empty at the end.
  std::string ReadLine() {
    std::string out;
    for (int c = std::fgetc(output_); c != EOF && c != '\n';
         c = std::fgetc(output_)) {
      out += static_cast<char>(c);
    }
    return out;
  }

  void Signal(int number) const { ::kill(pid_, number); }

  /// Waits for its end; the exit code, or minus the signal that ended it.
  int Wait() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

 private:
  pid_t pid_ = -1;
  std::FILE* output_ = nullptr;
};

}  // namespace lapishatch::testing

#endif  // LAPISHATCH_TESTING_NET_CHILD_PROCESS_H_
