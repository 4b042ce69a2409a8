#include "crowd/process_usage.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace lapishatch::crowd {
namespace {

std::string ProcFolder(pid_t process) {
  return "/proc/" + std::to_string(process);
}

/// Reads a field that /proc gives in kB.
std::size_t StatusBytes(pid_t process, const std::string& field) {
  constexpr std::size_t kBytesPerKb = 1'024;
  std::ifstream in(ProcFolder(process) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with(field + ":")) continue;
    return std::stoul(line.substr(field.size() + 1)) * kBytesPerKb;
  }
  return 0;
}

}  // namespace

std::size_t PeakMemory(pid_t process) { return StatusBytes(process, "VmHWM"); }

std::size_t PresentMemory(pid_t process) {
  return StatusBytes(process, "VmRSS");
}

std::size_t OpenDescriptors(pid_t process) {
  std::error_code ec;
  std::size_t out = 0;
  std::filesystem::directory_iterator it(ProcFolder(process) + "/fd", ec);
  for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
    ++out;
  }
  return out;
}

}  // namespace lapishatch::crowd
