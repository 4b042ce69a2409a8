#include "config/flags.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <map>
#include <optional>

namespace lapishatch::config {
namespace {

/// A flag of ours: Abseil brings some of its own, which our programs do not
/// offer.
absl::CommandLineFlag* FindOurs(std::string_view name) {
  auto* flag = absl::FindCommandLineFlag({name.data(), name.size()});
  if (flag == nullptr || flag->IsRetired()) return nullptr;
  if (flag->Filename().find("absl/") != absl::string_view::npos) return nullptr;
  return flag;
}

struct FlagArgument {
  std::string name;
  std::optional<std::string> value;
};

/// Abseil's name of a flag that people write with dashes.
std::string WithUnderscores(std::string_view name) {
  std::string out(name);
  std::replace(out.begin(), out.end(), '-', '_');
  return out;
}

std::string WithDashes(std::string name) {
  std::replace(name.begin(), name.end(), '_', '-');
  return name;
}

FlagArgument Split(std::string_view argument) {
  const auto text = argument.substr(argument.find_first_not_of('-'));
  const auto equals = text.find('=');
  if (equals == std::string_view::npos) return {WithUnderscores(text), {}};
  return {WithUnderscores(text.substr(0, equals)),
          std::string(text.substr(equals + 1))};
}

/// Takes arguments from the front.
class Parser {
 public:
  Parser(int argc, const char* const* argv) : rest_(argv + 1, argv + argc) {}

  CommandLine Parse() {
    while (next_ < rest_.size() && out_.problem.empty()) Take();
    return std::move(out_);
  }

 private:
  void Take() {
    const auto argument = rest_[next_++];
    if (argument == "--") {
      out_.positional.insert(out_.positional.end(), rest_.begin() + next_,
                             rest_.end());
      next_ = rest_.size();
      return;
    }
    if (argument.size() < 2 || argument.front() != '-') {
      out_.positional.push_back(argument);
      return;
    }
    TakeFlag(argument);
  }

  void TakeFlag(const std::string& argument) {
    if (argument.find_first_not_of('-') == std::string::npos) {
      out_.problem = argument + " is not a flag; see --help";
      return;
    }
    auto [name, value] = Split(argument);
    if (name == "help" && !value) {
      out_.help = true;
      return;
    }
    if (name == "version" && !value) {
      out_.version = true;
      return;
    }
    Set(name, std::move(value));
  }

  void Set(const std::string& name, std::optional<std::string> value) {
    auto* flag = FindOurs(name);
    if (flag == nullptr && !value && name.starts_with("no")) {
      flag = FindOurs(std::string_view{name}.substr(2));
      if (flag != nullptr && !flag->IsOfType<bool>()) flag = nullptr;
      value = "false";
    }
    if (flag == nullptr) {
      out_.problem = "--" + WithDashes(name) + " is unknown; see --help";
      return;
    }
    if (!value && flag->IsOfType<bool>()) value = "true";
    if (!value && next_ < rest_.size()) value = rest_[next_++];
    if (!value) {
      out_.problem = "--" + WithDashes(name) + " needs a value";
      return;
    }
    std::string error;
    if (flag->ParseFrom(*value, &error)) return;
    out_.problem = "--" + WithDashes(name) + "=" + *value +
                   " is not allowed: " + (error.empty() ? flag->Help() : error);
  }

  std::vector<std::string> rest_;
  std::size_t next_ = 0;
  CommandLine out_;
};

}  // namespace

CommandLine ParseCommandLine(int argc, const char* const* argv) {
  return Parser(argc, argv).Parse();
}

std::string FlagsHelp() {
  std::map<std::string, std::string> lines;
  for (const auto& [name, flag] : absl::GetAllFlags()) {
    const std::string key(name);
    if (FindOurs(key) == nullptr) continue;
    lines[key] = "  --" + WithDashes(key) + "  " + flag->Help() +
                 " (default: \"" + flag->DefaultValue() + "\")\n";
  }
  lines["help"] = "  --help  Prints this and ends.\n";
  lines["version"] = "  --version  Prints the version and ends.\n";
  std::string out;
  for (const auto& [key, line] : lines) out += line;
  return out;
}

}  // namespace lapishatch::config
