#include <boost/system/system_error.hpp>
#include <iostream>

#include "config/config.h"
#include "entry/entry.h"

namespace {

using lapishatch::config::kExitFailed;
using lapishatch::config::Program;
using lapishatch::entry::EntryOptions;
using lapishatch::entry::EntryProcess;

int Serve(Program& program, const EntryOptions& options) {
  EntryProcess entry(program, options);
  program.OnPlannedStop([&] { entry.Stop([&program] { program.Finish(); }); });
  entry.Start();
  std::cout << "listening " << TextOf(entry.endpoint()) << " peers "
            << TextOf(entry.peer_endpoint()) << std::endl;
  return program.Run();
}

}  // namespace

int main(int argc, char** argv) {
  Program program({"lapishatch-entry",
                   "Serves the resource API, watches and requests to runners.",
                   LAPISHATCH_VERSION});
  EntryOptions options;
  AddSections(options, program.settings());
  if (const auto code = program.Start(argc, argv)) return *code;
  try {
    return Serve(program, options);
  } catch (const boost::system::system_error& error) {
    std::cerr << "lapishatch-entry: cannot listen: " << error.what() << '\n';
    return kExitFailed;
  }
}
