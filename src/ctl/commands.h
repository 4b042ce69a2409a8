#ifndef LAPISHATCH_CTL_COMMANDS_H_
#define LAPISHATCH_CTL_COMMANDS_H_

#include <array>
#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/api_client.h"

namespace lapishatch::ctl {

/// How results are printed.
enum class Output : std::uint8_t { kTable, kJson };

}  // namespace lapishatch::ctl

namespace lapishatch::base {
template <>
struct EnumNames<ctl::Output> {
  static constexpr std::array<std::string_view, 2> kNames = {"table", "json"};
};
}  // namespace lapishatch::base

namespace lapishatch::ctl {

struct CommandOptions {
  Output output = Output::kTable;
  /// apply: validate and say what would change.
  bool dry_run = false;
  /// delete: the version to delete; nothing takes the present one.
  std::optional<std::uint64_t> version;
  /// watch: the version to continue from.
  std::optional<std::uint64_t> since;
  /// submit, cancel: until the job has ended.
  bool wait = false;
  /// drain: take the drain back.
  bool undo = false;
  /// drain: for people.
  std::string reason;
  /// Who makes the changes, for people; empty: not told.
  std::string operator_name;
};

/// One line of the help.
struct CommandHelp {
  std::string_view usage;
  std::string_view meaning;
};

/// Every command with its arguments.
std::vector<CommandHelp> AllCommands();

/// Runs one command against the API and prints what came of it.
class Commands {
 public:
  Commands(ApiClient& client, CommandOptions options, std::istream& in,
           std::ostream& out)
      : client_(client), options_(std::move(options)), in_(in), out_(out) {}

  /// Returns the exit code. Fails with any error of error.h.
  boost::leaf::result<int> Run(const std::vector<std::string>& words);

 private:
  using Words = std::vector<std::string>;
  using ResultCode = boost::leaf::result<int>;
  struct Command;

  static const std::vector<Command>& Table();

  ResultCode Get(const Words& words);
  ResultCode Apply(const Words& words);
  ResultCode Delete(const Words& words);
  ResultCode Submit(const Words& words);
  ResultCode Cancel(const Words& words);
  ResultCode WatchKind(const Words& words);
  ResultCode Explain(const Words& words);
  ResultCode Status(const Words& words);
  ResultCode Drain(const Words& words);

  /// A request that changes something, in the operator's name.
  http::Request Write(const std::string& method, const std::string& target,
                      const boost::json::value& body,
                      const http::HeaderField& condition) const;
  /// The body of a GET.
  boost::leaf::result<boost::json::value> Read(const std::string& target);
  boost::leaf::result<boost::json::value> ReadFile(const std::string& file);
  /// Creates a resource, or finds that the same one is there already.
  boost::leaf::result<bool> Create(const std::string& kind,
                                   const std::string& name,
                                   const boost::json::value& body);
  /// The present version of a resource. An entry may not have heard of a new
  /// one yet, so all of them are asked before it counts as not there.
  boost::leaf::result<std::uint64_t> FindVersion(const std::string& target);
  boost::leaf::result<void> Remove(const std::string& kind,
                                   const std::string& name);
  /// Prints the job's phases until it has ended; 0 if it finished.
  ResultCode WaitFor(const std::string& job);
  void Print(const boost::json::value& value);
  void Say(const std::string& line, const boost::json::value& value);

  ApiClient& client_;
  CommandOptions options_;
  std::istream& in_;
  std::ostream& out_;

  friend std::vector<CommandHelp> AllCommands();
};

/// Runs a command and turns every error into a message on `err` and an exit
/// code: 0 done, 1 failed, 2 bad usage.
int RunCommand(ApiClient& client, const CommandOptions& options,
               const std::vector<std::string>& words, std::istream& in,
               std::ostream& out, std::ostream& err);

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_COMMANDS_H_
