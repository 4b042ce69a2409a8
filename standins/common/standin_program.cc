#include "common/standin_program.h"

#include <csignal>
#include <iostream>
#include <thread>
#include <utility>
#include <vector>

#include "config/config.h"

namespace lapishatch::standins {

StandinProgram::StandinProgram(std::string name, std::string purpose,
                               std::string version)
    : name_(std::move(name)),
      purpose_(std::move(purpose)),
      version_(std::move(version)) {}

std::optional<int> StandinProgram::ParseFlags(int argc,
                                              const char* const* argv) {
  const auto line = config::ParseCommandLine(argc, argv);
  if (line.help) {
    std::cout << name_ << ": " << purpose_ << "\n\n" << config::FlagsHelp();
    return config::kExitDone;
  }
  if (line.version) {
    std::cout << name_ << ' ' << version_ << '\n';
    return config::kExitDone;
  }
  auto problem = line.problem;
  if (problem.empty() && !line.positional.empty()) {
    problem = line.positional.front() + " is not expected; see --help";
  }
  if (problem.empty()) return std::nullopt;
  std::cerr << name_ << ": " << problem << '\n';
  return config::kExitBadUsage;
}

void StandinProgram::Announce(const std::string& what,
                              const http::Endpoint& endpoint) {
  std::cout << what << ' ' << http::TextOf(endpoint) << std::endl;
}

int StandinProgram::Run(int threads, std::function<void()> leave) {
  std::signal(SIGPIPE, SIG_IGN);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.async_wait(
      [leave = std::move(leave)](const boost::system::error_code& ec, int) {
        if (!ec) leave();
      });
  std::vector<std::jthread> others;
  for (int i = 1; i < threads; ++i) {
    others.emplace_back([this] { io_.run(); });
  }
  io_.run();
  return config::kExitDone;
}

}  // namespace lapishatch::standins
