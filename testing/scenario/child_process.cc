#include "scenario/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>  // environ

#include <fstream>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace lapishatch::scenario {
namespace {

constexpr base::Duration kLook{5};
constexpr int kSignalBase = 128;
constexpr int kLogMode = 0644;

/// The processes started and not yet seen to have ended.
class Children {
 public:
  void Add(pid_t pid) {
    const std::lock_guard lock(mutex_);
    pids_.insert(pid);
  }

  void Remove(pid_t pid) {
    const std::lock_guard lock(mutex_);
    pids_.erase(pid);
  }

  void KillAll() {
    const std::lock_guard lock(mutex_);
    for (const auto pid : pids_) ::kill(pid, SIGKILL);
  }

 private:
  std::mutex mutex_;
  std::set<pid_t> pids_;
};

Children& AllChildren() {
  static auto& children = *new Children;
  return children;
}

}  // namespace

void KillAllChildren() { AllChildren().KillAll(); }

ChildProcess::ChildProcess(std::string name, std::vector<std::string> command,
                           std::string log)
    : name_(std::move(name)),
      command_(std::move(command)),
      log_(std::move(log)) {}

ChildProcess::~ChildProcess() {
  if (!running()) return;
  Signal(SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  AllChildren().Remove(pid_);
}

bool ChildProcess::Start(const std::string& input) {
  code_.reset();
  std::vector<char*> arguments;
  for (auto& it : command_) arguments.push_back(it.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, input.c_str(),
                                     O_RDONLY, 0);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A connection of this tool must not live on in the program.
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  // Signals that this tool waits for must still end the program.
  posix_spawnattr_t attributes;
  ::posix_spawnattr_init(&attributes);
  sigset_t none;
  ::sigemptyset(&none);
  ::posix_spawnattr_setsigmask(&attributes, &none);
  ::posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  const int error = ::posix_spawn(&pid_, command_.front().c_str(), &actions,
                                  &attributes, arguments.data(), environ);
  ::posix_spawnattr_destroy(&attributes);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) pid_ = 0;
  if (error == 0) AllChildren().Add(pid_);
  return error == 0;
}

void ChildProcess::Signal(int number) {
  if (running()) ::kill(pid_, number);
}

std::optional<int> ChildProcess::Ended() {
  if (code_ || pid_ == 0) return code_;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  AllChildren().Remove(pid_);
  code_ =
      WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  return code_;
}

std::optional<int> ChildProcess::WaitEnd(base::Duration limit) {
  const base::SteadyClock clock;
  const auto deadline = clock.Now() + limit;
  while (!Ended() && clock.Now() < deadline) std::this_thread::sleep_for(kLook);
  return Ended();
}

std::string ChildProcess::WaitAnnounced(const std::string& word,
                                        base::Duration limit) {
  const base::SteadyClock clock;
  const auto deadline = clock.Now() + limit;
  while (clock.Now() < deadline) {
    const auto found = Announced(word);
    if (!found.empty()) return found.back();
    if (!running()) return {};
    std::this_thread::sleep_for(kLook);
  }
  return {};
}

std::vector<std::string> ChildProcess::Announced(
    const std::string& word) const {
  std::vector<std::string> out;
  std::ifstream stream(log_);
  const auto prefix = word + " ";
  for (std::string line; std::getline(stream, line);) {
    if (stream.eof()) break;
    if (line.starts_with(prefix)) out.push_back(line.substr(prefix.size()));
  }
  return out;
}

}  // namespace lapishatch::scenario
