#include "ctl/error.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "ctl/json_text.h"

namespace lapishatch::ctl {
namespace {

namespace json = boost::json;

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kStale = 412;
constexpr int kUnprocessable = 422;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

/// What to do about a refusal, by status.
std::string AdviceFor(int status) {
  switch (status) {
    case kBadRequest:
    case kUnprocessable:
      return "Correct the fields named above and try again.";
    case kForbidden:
      return "Ask for this as an organisation that may do it.";
    case kNotFound:
      return "See what there is with `lapishatchctl get KIND`.";
    case kConflict:
    case kStale:
      return "Somebody changed it meanwhile: look with `lapishatchctl get`, "
             "then try again.";
    case kTooMany:
      return "Try again later.";
    case kUnavailable:
      return "Try again; `lapishatchctl status` shows what is wrong.";
    default:
      return "";
  }
}

/// One entry of the list of problems: "field: detail".
std::string ProblemText(const json::value& problem) {
  auto out = TextAt(problem, "field");
  const auto detail = TextAt(problem, "detail");
  if (out.empty() || detail.empty()) return ShortText(problem);
  out += ": ";
  out += detail;
  return out;
}

void AddLine(std::string& out, const std::string& line) {
  if (line.empty()) return;
  if (!out.empty()) out += '\n';
  out += line;
}

}  // namespace

Refused RefusalFrom(const http::Endpoint& entry,
                    const http::Response& response) {
  Refused out;
  out.entry = entry;
  out.status = response.status;
  out.work = response.headers.Find("Lapishatch-Work");
  boost::system::error_code ec;
  const auto body = json::parse(response.body, ec);
  if (ec || !body.is_object()) {
    out.detail = response.body;
    return out;
  }
  out.title = TextAt(body, "title");
  out.detail = TextAt(body, "detail");
  if (out.work.empty()) out.work = TextAt(body, "work");
  const auto* problems = body.as_object().if_contains("problems");
  if (problems == nullptr || !problems->is_array()) return out;
  for (const auto& it : problems->as_array()) {
    out.problems.push_back(ProblemText(it));
  }
  return out;
}

std::string TextOf(const BadUsage& error) {
  return error.detail + "\nSee `lapishatchctl --help`.";
}

std::string TextOf(const Refused& error) {
  std::string out = "refused (" + std::to_string(error.status) + ")";
  if (!error.title.empty()) out += ": " + error.title;
  AddLine(out, error.detail);
  for (const auto& it : error.problems) {
    const bool is_told = error.detail.find(it) != std::string::npos;
    if (!is_told) AddLine(out, "  " + it);
  }
  if (error.work == "unknown") {
    AddLine(out, "Whether it took effect is unknown.");
  }
  AddLine(out, AdviceFor(error.status));
  return out;
}

std::string TextOf(const Unreachable& error) {
  std::string out = "no entry answered";
  for (const auto& it : error.entries) {
    AddLine(out, "  " + http::TextOf(it.entry) + ": " + it.detail);
  }
  AddLine(out,
          "Nothing was changed. Check the addresses given by --entry, "
          "--config or LAPISHATCH_ENTRIES, and the network.");
  return out;
}

std::string TextOf(const OutcomeUnknown& error) {
  return "the answer of " + http::TextOf(error.failure.entry) +
         " was lost: " + error.failure.detail +
         "\nWhether the change took effect is unknown. " + error.advice;
}

}  // namespace lapishatch::ctl
