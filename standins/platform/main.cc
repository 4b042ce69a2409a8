#include <absl/flags/flag.h>

#include <cstdint>
#include <iostream>

#include "common/common.h"
#include "config/config.h"
#include "platform/platform.h"

ABSL_FLAG(std::uint16_t, port, 0, "port of the platform; 0 takes a free one");
ABSL_FLAG(std::uint16_t, fault_port, 0,
          "port that sets faults; 0 takes a free one");
ABSL_FLAG(double, writes_per_s, 0,
          "writes a second that are carried out; 0 is unlimited");
ABSL_FLAG(double, reads_per_s, 0,
          "reads a second that are carried out; 0 is unlimited");
ABSL_FLAG(int, threads, 2, "threads that serve");

namespace {

namespace config = lapishatch::config;
namespace standins = lapishatch::standins;

standins::PlatformOptions OptionsFromFlags() {
  standins::PlatformOptions out;
  out.endpoint.port = absl::GetFlag(FLAGS_port);
  out.fault_endpoint.port = absl::GetFlag(FLAGS_fault_port);
  out.writes_per_s = absl::GetFlag(FLAGS_writes_per_s);
  out.reads_per_s = absl::GetFlag(FLAGS_reads_per_s);
  return out;
}

int Serve(standins::StandinProgram& program) {
  standins::PlatformServer server(program.io(), OptionsFromFlags());
  program.Announce("faults", server.fault_endpoint());
  program.Announce("listening", server.endpoint());
  return program.Run(absl::GetFlag(FLAGS_threads),
                     [&] { server.Drain([&] { program.Finish(); }); });
}

}  // namespace

int main(int argc, char** argv) {
  standins::StandinProgram program(
      "standin-platform",
      "the platform's table, object store and VM list in memory, for tests",
      LAPISHATCH_VERSION);
  if (const auto code = program.ParseFlags(argc, argv)) return *code;
  try {
    return Serve(program);
  } catch (const boost::system::system_error& error) {
    std::cerr << "standin-platform: " << error.what() << '\n';
    return config::kExitFailed;
  }
}
