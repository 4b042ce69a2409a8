#ifndef LAPISHATCH_TESTING_NET_CHILD_PROCESS_H_
#define LAPISHATCH_TESTING_NET_CHILD_PROCESS_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lapishatch::testing {

/// A program that a test runs, and the lines of its output and log. Killed with
/// the object.
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
    ::posix_spawn_file_actions_adddup2(&actions, ends[1], STDERR_FILENO);
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
    // It is read as it comes, so that the program never waits for its reader.
    reader_ = std::jthread([this] { ReadAll(); });
  }

  ~ChildProcess() {
    if (pid_ > 0) {
      Signal(SIGKILL);
      Wait();
    }
    reader_.join();
    std::fclose(output_);
  }

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Waits for a line that has all of `texts`; empty when none comes before
  /// the program ends or `limit` has passed.
  std::string WaitLine(const std::vector<std::string>& texts,
                       std::chrono::seconds limit) {
    std::unique_lock lock(mutex_);
    const std::string* found = nullptr;
    changed_.wait_for(lock, limit, [&] {
      found = Find(texts);
      return found != nullptr || ended_;
    });
    return found == nullptr ? std::string() : *found;
  }

  pid_t pid() const { return pid_; }

  void Signal(int number) const { ::kill(pid_, number); }

  /// Waits for its end; the exit code, or minus the signal that ended it.
  int Wait() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

 private:
  void ReadAll() {
    std::string line;
    for (int c = std::fgetc(output_); c != EOF; c = std::fgetc(output_)) {
      if (c != '\n') {
        line += static_cast<char>(c);
        continue;
      }
      const std::lock_guard lock(mutex_);
      lines_.push_back(std::exchange(line, {}));
      changed_.notify_all();
    }
    const std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
  }

  const std::string* Find(const std::vector<std::string>& texts) const {
    const auto has_all = [&](const std::string& line) {
      return std::all_of(texts.begin(), texts.end(), [&](const auto& it) {
        return line.find(it) != std::string::npos;
      });
    };
    const auto it = std::find_if(lines_.begin(), lines_.end(), has_all);
    return it == lines_.end() ? nullptr : &*it;
  }

  pid_t pid_ = -1;
  std::FILE* output_ = nullptr;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lines_;
  bool ended_ = false;
  std::jthread reader_;
};

}  // namespace lapishatch::testing

#endif  // LAPISHATCH_TESTING_NET_CHILD_PROCESS_H_
