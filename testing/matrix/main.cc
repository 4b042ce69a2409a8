#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <thread>

#include "matrix/matrix.h"

ABSL_FLAG(std::string, protocol, "",
          "Only this protocol: request, gang or configuration");
ABSL_FLAG(bool, pairs, false, "Also all ordered pairs of faults");
ABSL_FLAG(std::string, plan, "",
          "Only this cell, e.g. claim:lost+record:dies-after");
ABSL_FLAG(std::string, broken, "none",
          "A rule to break on purpose, to see that the checks can fail");
ABSL_FLAG(bool, trace, false, "With --plan: print every step with its time");
ABSL_FLAG(unsigned, threads, 4, "Threads of the sweep");

namespace lapishatch::matrix {
namespace {

constexpr int kViolated = 1;
constexpr int kBadUsage = 2;

int RunOne(const std::string& text, Break broken) {
  const auto plan = ParsePlan(text);
  if (!plan) {
    std::cerr << "no such plan: " << text
              << "\nsteps: " << base::AllowedNames<Step>()
              << "\nfaults: " << base::AllowedNames<Fault>() << '\n';
    return kBadUsage;
  }
  const auto protocol =
      plan->faults().empty()
          ? base::ParseEnum<Protocol>(absl::GetFlag(FLAGS_protocol))
                .value_or(Protocol::kRequest)
          : ProtocolOf(plan->faults().front().step);
  const auto result =
      RunWorld(protocol, *plan,
               {broken, absl::GetFlag(FLAGS_trace) ? &std::cout : nullptr});
  std::cout << TextOf(*plan) << (result.reached ? "" : " (not all reached)")
            << '\n';
  for (const auto& it : result.violations) {
    std::cout << "  " << base::NameOf(it.invariant) << ": " << it.detail
              << '\n';
  }
  return result.violations.empty() ? 0 : kViolated;
}

int Main() {
  const auto broken = base::ParseEnum<Break>(absl::GetFlag(FLAGS_broken));
  if (!broken) {
    std::cerr << "--broken: one of " << base::AllowedNames<Break>() << '\n';
    return kBadUsage;
  }
  const auto plan = absl::GetFlag(FLAGS_plan);
  if (!plan.empty()) return RunOne(plan, *broken);
  const auto only = absl::GetFlag(FLAGS_protocol);
  int status = 0;
  for (std::size_t i = 0; i < base::kEnumSize<Protocol>; ++i) {
    const auto protocol = static_cast<Protocol>(i);
    if (!only.empty() && base::NameOf(protocol) != only) continue;
    const auto summary = Sweep(protocol, absl::GetFlag(FLAGS_pairs),
                               absl::GetFlag(FLAGS_threads), *broken);
    std::cout << TextOf(summary);
    if (summary.total_violations() > 0) status = kViolated;
  }
  return status;
}

}  // namespace
}  // namespace lapishatch::matrix

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs every fault at every step of the protocols in virtual time and "
      "checks what must always hold.");
  absl::ParseCommandLine(argc, argv);
  return lapishatch::matrix::Main();
}
