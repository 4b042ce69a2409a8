#include "entry/explanation.h"

#include <string_view>

#include "entry/refusal.h"

namespace lapishatch::entry {
namespace {

std::string MeaningOf(config::JobPhase phase) {
  switch (phase) {
    case config::JobPhase::kQueued:
      return "It has been accepted and waits for its place; nothing of it has "
             "run in this attempt.";
    case config::JobPhase::kStarting:
      return "Its places are held and its tasks are being started; they run "
             "all together or not at all.";
    case config::JobPhase::kRunning:
      return "All of its tasks run.";
    case config::JobPhase::kCheckpointing:
      return "It writes a checkpoint before it is stopped, and continues from "
             "it later.";
    case config::JobPhase::kFinished:
      return "All of its tasks have ended well.";
    case config::JobPhase::kFailed:
      return "It has ended and will not run again.";
    case config::JobPhase::kCancelled:
      return "It was ended because an operator asked for it.";
    case config::JobPhase::kUnschedulable:
      return "It cannot run on the cluster as it is now.";
    case config::JobPhase::kUnknown:
      return "Whether it has run is not known, and it must not run twice, so "
             "it is left alone: look at what it was to do, then submit it "
             "under another name if it is still wanted.";
  }
  return "";
}

std::string GangText(const config::JobSpec& spec) {
  return std::to_string(spec.tasks) + " task(s) of " +
         std::to_string(spec.needs.accelerators) +
         " accelerator(s), close together within one " +
         std::string(base::NameOf(spec.adjacency));
}

std::string YesNo(bool value) { return value ? "yes" : "no"; }

std::string SpecText(const config::JobSpec& spec) {
  return "organisation  " + spec.organisation.str() + "\nclass         " +
         std::string(base::NameOf(spec.work_class)) + "\ngang          " +
         GangText(spec) + "\nmay run twice " + YesNo(spec.idempotent) +
         "\ncheckpoints   " + YesNo(spec.checkpoint) + "\nmay borrow    " +
         YesNo(spec.borrow) + "\n";
}

std::string StatusText(const config::JobStatus& status) {
  std::string out;
  if (!status.cell.empty()) out += "cell          " + status.cell.str() + "\n";
  if (status.attempts > 0) {
    out += "attempts      " + std::to_string(status.attempts) + "\n";
  }
  for (const auto& it : status.members) {
    out += "task " + std::to_string(it.task) + " on " + it.worker.str() + "\n";
  }
  if (status.borrowed) {
    out +=
        "It runs on capacity that is guaranteed to others, and is moved away "
        "when they need it.\n";
  }
  return out;
}

}  // namespace

std::string ExplanationText(const config::Resource& job,
                            const std::optional<std::string>& word) {
  const auto& spec = std::get<config::JobSpec>(job.spec);
  const auto phase = config::PhaseOf(job);
  std::string out =
      "Job " + job.ref.name + " is " + std::string(base::NameOf(phase)) + ".\n";
  out += MeaningOf(phase) + "\n";
  if (job.cancel_requested && !config::IsFinal(phase)) {
    out += "An operator has asked for its end; it is being ended.\n";
  }
  const bool has_reason = job.status && !job.status->reason.empty();
  if (has_reason) out += "Reason: " + job.status->reason + "\n";
  if (word && !word->empty()) {
    out += "The owner of its cell says: " + *word + "\n";
  } else if (!config::IsFinal(phase)) {
    out +=
        "The owner of its cell did not answer just now; this is what was last "
        "recorded.\n";
  }
  out += "\n" + SpecText(spec);
  const auto domain = config::DomainOf(job);
  if (!domain.empty()) out += "domain        " + domain.str() + "\n";
  if (job.status) out += StatusText(*job.status);
  return out;
}

http::Response ExplanationResponse(const config::Resource& job,
                                   const std::optional<std::string>& word,
                                   const http::Request& request) {
  auto text = ExplanationText(job, word);
  if (request.headers.Find("Accept") == "text/plain") {
    return {kOk, {{"Content-Type", "text/plain"}}, std::move(text)};
  }
  const auto phase = base::NameOf(config::PhaseOf(job));
  return JsonResponse(
      kOk, {{"name", job.ref.name},
            {"phase", boost::json::string_view(phase.data(), phase.size())},
            {"reason", job.status ? job.status->reason : ""},
            {"explanation", text}});
}

}  // namespace lapishatch::entry
