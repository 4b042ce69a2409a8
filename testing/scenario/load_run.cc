#include "scenario/load_run.h"

#include <absl/strings/str_cat.h>
#include <signal.h>

#include <sstream>
#include <utility>
#include <vector>

namespace lapishatch::scenario {
namespace {

constexpr std::string_view kPrefix = "load_";
constexpr std::string_view kUnit = "requests";

std::vector<std::string> CommandOf(const LoadAction& action,
                                   const std::string& id_prefix,
                                   const Cluster& cluster) {
  std::string targets;
  for (const auto& it : cluster.entries()) {
    absl::StrAppend(&targets, targets.empty() ? "" : ",",
                    http::TextOf(*cluster.FindEntry(it)));
  }
  return {cluster.place().programs + "/lapishatch-load",
          absl::StrCat("--target=", targets),
          absl::StrCat("--path=/v1/services/", action.service, "/requests"),
          absl::StrCat("--organisation=", action.organisation),
          absl::StrCat("--idempotent=", action.is_idempotent),
          absl::StrCat("--connections=", action.connections),
          absl::StrCat("--requests=", action.least_requests),
          absl::StrCat("--ready_ms=", action.ready_period.count()),
          "--prefix=" + std::string(kPrefix),
          absl::StrCat("--id_prefix=", id_prefix),
          "--duration_s=0",
          "--warm_up_s=0"};
}

}  // namespace

LoadEnds ReadLoadEnds(std::string_view printed) {
  LoadEnds out;
  std::istringstream lines{std::string(printed)};
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string name;
    std::string unit;
    double value = 0;
    if (!(words >> name >> value >> unit) || !name.starts_with(kPrefix)) {
      continue;
    }
    name.erase(0, kPrefix.size());
    if (unit == kUnit) {
      const auto n = static_cast<std::uint64_t>(value);
      if (name == "sent") out.sent = n;
      if (name == "work_ran") out.ran = n;
    }
    absl::StrAppend(&out.text, out.text.empty() ? "" : ", ", name, " ", value,
                    unit == kUnit ? "" : " " + unit);
  }
  return out;
}

LoadRuns SumRuns(const StandinFigures::RunsById& runs) {
  LoadRuns out;
  for (const auto& [id, n] : runs) {
    ++out.requests;
    out.again += n - 1;
  }
  return out;
}

std::string ComplaintOf(const LoadEnds& ends, const LoadRuns& runs,
                        std::uint64_t again_at_most) {
  if (ends.sent == 0) return "nothing was sent";
  if (ends.ran != ends.sent) {
    return absl::StrCat(ends.sent - ends.ran, " of ", ends.sent,
                        " requests were not answered");
  }
  if (runs.requests != ends.sent) {
    return absl::StrCat(ends.sent, " requests were answered, but ",
                        runs.requests, " ran");
  }
  if (runs.again > again_at_most) {
    return absl::StrCat(runs.again, " runs were second ones of a request");
  }
  return {};
}

LoadRun::LoadRun(const LoadAction& action, const std::string& id,
                 const Cluster& cluster)
    : is_idempotent_(action.is_idempotent),
      id_prefix_(id + "-"),
      process_("lapishatch-load", CommandOf(action, id, cluster),
               cluster.place().folder + "/" + id + ".log") {}

bool LoadRun::Finish(base::Duration limit) {
  process_.Signal(SIGTERM);
  return process_.WaitEnd(limit) == 0;
}

}  // namespace lapishatch::scenario
