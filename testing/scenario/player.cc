#include "scenario/player.h"

#include <absl/strings/str_cat.h>
#include <signal.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <ostream>
#include <thread>
#include <utility>

#include "config/config.h"
#include "ctl/json_text.h"

namespace lapishatch::scenario {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr base::Duration kLook{20};
constexpr base::Duration kShortCall{2'000};
constexpr int kOk = 200;
constexpr int kFirstNotOk = 300;
constexpr double kMillisPerSecond = 1000;
constexpr std::size_t kShownBytes = 300;

auto Fail(const std::string& text) { return leaf::new_error(StepFailed{text}); }

template <typename List>
std::string Joined(const List& items, std::string_view gap = ", ") {
  std::string out;
  for (const auto& it : items) {
    if (!out.empty()) out += gap;
    if constexpr (std::is_arithmetic_v<typename List::value_type>) {
      out += std::to_string(it);
    } else {
      out += it;
    }
  }
  return out;
}

template <typename List, typename Value>
bool Allows(const List& list, const Value& value) {
  return list.empty() ||
         std::find(list.begin(), list.end(), value) != list.end();
}

bool IsOk(const http::Response& response) {
  return response.status >= kOk && response.status < kFirstNotOk;
}

json::value JsonOfBody(const http::Response& response) {
  boost::system::error_code ec;
  auto value = json::parse(response.body, ec);
  return ec ? json::value() : value;
}

/// An answer in a few words.
std::string ShortText(const http::ClientResult& result) {
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) {
    const auto& error = std::get<http::ClientError>(result);
    return "no answer (" + error.detail + ")";
  }
  std::string out = std::to_string(response->status);
  const auto work = response->headers.Find("Lapishatch-Work");
  if (!work.empty()) out += " " + std::string(work);
  if (IsOk(*response)) return out;
  const auto body = JsonOfBody(*response);
  const auto title = ctl::TextAt(body, "title");
  if (title.empty()) return out + " " + response->body.substr(0, kShownBytes);
  return out + " " + title + ": " +
         ctl::TextAt(body, "detail").substr(0, kShownBytes);
}

/// Why an answer is not as expected; empty when it is.
std::string Complaint(const http::ClientResult& result,
                      const Expectation& expectation) {
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) {
    // A caller whose entry died is not lied to: it knows nothing.
    return Allows(expectation.status, 0) ? "" : "no answer came";
  }
  if (!Allows(expectation.status, response->status)) {
    return "status must be " + Joined(expectation.status);
  }
  const std::string work(response->headers.Find("Lapishatch-Work"));
  if (!Allows(expectation.work, work)) {
    return "work must be " + Joined(expectation.work);
  }
  if (expectation.body && *expectation.body != response->body) {
    return "the body must be " + *expectation.body;
  }
  return {};
}

/// Whether `text` has all of `parts`, one after another.
bool HasInOrder(const std::string& text,
                const std::vector<std::string>& parts) {
  std::size_t at = 0;
  for (const auto& it : parts) {
    at = text.find(it, at);
    if (at == std::string::npos) return false;
    at += it.size();
  }
  return true;
}

std::string FileText(const std::string& file) {
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream), {}};
}

}  // namespace

Player::Player(const Scenario& scenario, Cluster& cluster, Caller& caller,
               std::ostream& out)
    : scenario_(scenario),
      cluster_(cluster),
      caller_(caller),
      figures_(cluster, caller),
      out_(out),
      began_(clock_.Now()),
      deadline_(began_) {}

leaf::result<void> Player::Play() {
  for (const auto& step : scenario_.steps) {
    deadline_ = clock_.Now() + step.within;
    std::string problem;
    const auto what = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          return std::visit([this](const auto& it) { return Do(it); },
                            step.action);
        },
        [&](const StepFailed& it) { return problem = it.text; },
        [&](const ClusterError& it) { return problem = it.text; },
        [&] { return problem = "failed for an unknown reason"; });
    Write(step, problem.empty() ? "ok" : "FAILED", what);
    if (problem.empty()) continue;
    return Fail("line " + std::to_string(step.line) + ": " + problem);
  }
  return {};
}

Player::Outcome Player::Do(const CallAction& action) {
  Answers answers;
  for (const auto& it : action.calls) {
    BOOST_LEAF_AUTO(answer, SendUntil(it, action.again_on));
    answers.push_back(std::move(answer));
  }
  const auto& first = action.calls.front().request;
  auto what = first.method + " " + first.target;
  if (action.calls.size() > 1) {
    what += " and " + std::to_string(action.calls.size() - 1) + " more";
  }
  if (!action.label.empty()) {
    labelled_[action.label] = std::move(answers);
    return what + ", answer to come";
  }
  BOOST_LEAF_AUTO(came, Await(std::move(answers), action.expectation));
  return what + " -> " + came;
}

leaf::result<std::future<http::ClientResult>> Player::SendUntil(
    const CallSpec& call, const std::vector<int>& again_on) {
  while (true) {
    BOOST_LEAF_AUTO(entry, EntryFor(call.at));
    auto answer = caller_.Send(entry, call.request, deadline_ - clock_.Now());
    if (again_on.empty()) return answer;
    auto result = answer.get();
    const auto* response = std::get_if<http::Response>(&result);
    const bool is_again =
        response != nullptr && std::find(again_on.begin(), again_on.end(),
                                         response->status) != again_on.end();
    if (!is_again || clock_.Now() + kLook >= deadline_) {
      std::promise<http::ClientResult> promise;
      promise.set_value(std::move(result));
      return promise.get_future();
    }
    std::this_thread::sleep_for(kLook);
  }
}

Player::Outcome Player::Do(const AnswerAction& action) {
  const auto it = labelled_.find(action.label);
  if (it == labelled_.end()) {
    return Fail("no request is called " + action.label);
  }
  auto answers = std::move(it->second);
  labelled_.erase(it);
  BOOST_LEAF_AUTO(came, Await(std::move(answers), action.expectation));
  return action.label + " -> " + came;
}

Player::Outcome Player::Await(Answers answers, const Expectation& expectation) {
  std::map<std::string, int> kinds;
  int winners = 0;
  std::string complaint;
  for (auto& it : answers) {
    const auto result = it.get();
    const auto text = ShortText(result);
    if (complaint.empty()) complaint = Complaint(result, expectation);
    const auto* response = std::get_if<http::Response>(&result);
    if (response != nullptr && IsOk(*response)) ++winners;
    ++kinds[text];
  }
  std::string out;
  for (const auto& [text, n] : kinds) {
    if (!out.empty()) out += "; ";
    if (answers.size() > 1) out += std::to_string(n) + " x ";
    out += text;
  }
  if (!complaint.empty()) return Fail(complaint + ", but there came " + out);
  if (expectation.winners && *expectation.winners != winners) {
    return Fail("of the answers, " + std::to_string(*expectation.winners) +
                " must be 2xx: " + out);
  }
  return out;
}

Player::Outcome Player::Do(const WaitAction& action) {
  if (action.at != kEveryEntry) return WaitAt(action, action.at);
  std::string what;
  for (const auto& it : cluster_.entries()) {
    if (!cluster_.Find(it)->running()) continue;
    BOOST_LEAF_ASSIGN(what, WaitAt(action, it));
  }
  return what + " at every entry";
}

Player::Outcome Player::WaitAt(const WaitAction& action,
                               const std::string& at) {
  http::Request request;
  request.target = action.target;
  std::string seen = "nothing";
  while (clock_.Now() < deadline_) {
    const auto result = CallAny(at, request);
    const auto* response = std::get_if<http::Response>(&result);
    if (response != nullptr) {
      seen = std::to_string(response->status);
      if (IsOk(*response) || action.path == "status") {
        seen = ctl::TextAt(JsonOfBody(*response), action.path);
      }
      if (action.has.empty() && Allows(action.is, seen)) {
        return action.target + " is " + seen;
      }
      if (!action.has.empty() && seen.find(action.has) != std::string::npos) {
        return action.target + " has " + action.has;
      }
    }
    std::this_thread::sleep_for(kLook);
  }
  return Fail(action.target + " " + action.path + " must become " +
              Joined(action.is) + action.has + ", but is " + seen);
}

Player::Outcome Player::Do(const ProcessAction& action) {
  for (const auto& name : action.names) {
    auto* process = cluster_.Find(name);
    if (process == nullptr) return Fail("no process is called " + name);
    BOOST_LEAF_CHECK(DoTo(action.verb, *process));
  }
  return std::string(base::NameOf(action.verb)) + " " + Joined(action.names);
}

leaf::result<void> Player::DoTo(ProcessVerb verb, ChildProcess& process) {
  switch (verb) {
    case ProcessVerb::kKill:
      process.Signal(SIGKILL);
      if (!process.WaitEnd(deadline_ - clock_.Now())) {
        return Fail(process.name() + " does not end");
      }
      return {};
    case ProcessVerb::kStop:
      process.Signal(SIGTERM);
      return {};
    case ProcessVerb::kPause:
      process.Signal(SIGSTOP);
      return {};
    case ProcessVerb::kResume:
      process.Signal(SIGCONT);
      return {};
    case ProcessVerb::kStart:
      if (process.running() || !process.Start()) {
        return Fail(process.name() + " cannot be started");
      }
      return {};
    case ProcessVerb::kReplace:
      return Replace(process);
  }
  return {};
}

leaf::result<void> Player::Replace(ChildProcess& process) {
  process.Signal(SIGTERM);
  const auto code = process.WaitEnd(deadline_ - clock_.Now());
  if (!code) return Fail(process.name() + " still runs");
  if (*code != 0) {
    return Fail(process.name() + " ended with " + std::to_string(*code) +
                "; see " + process.log());
  }
  if (!process.Start()) return Fail(process.name() + " cannot be started");
  return cluster_.WaitReady(process.name(), deadline_ - clock_.Now());
}

Player::Outcome Player::Do(const ExitAction& action) {
  auto* process = cluster_.Find(action.name);
  if (process == nullptr) return Fail("no process is called " + action.name);
  const auto code = process->WaitEnd(deadline_ - clock_.Now());
  if (!code) return Fail(action.name + " still runs");
  if (*code != action.code) {
    return Fail(action.name + " ended with " + std::to_string(*code) +
                "; see " + process->log());
  }
  return action.name + " ended with " + std::to_string(*code);
}

Player::Outcome Player::Do(const FaultAction& action) {
  const auto ports = cluster_.FaultPorts(action.at);
  if (ports.empty()) return Fail("no stand-in is called " + action.at);
  for (const auto& port : ports) {
    http::Request request;
    request.method = "POST";
    request.target = "/faults";
    request.body = json::serialize(action.body);
    const auto result =
        caller_.Send(port, request, deadline_ - clock_.Now()).get();
    const auto* response = std::get_if<http::Response>(&result);
    if (response == nullptr || response->status != kOk) {
      return Fail("the fault is not taken: " + ShortText(result));
    }
  }
  return action.at + ": " + json::serialize(action.body);
}

Player::Outcome Player::Do(const LinkAction& action) {
  for (const auto& name : action.names) {
    if (!cluster_.SetLink(name, action.mode)) {
      return Fail("no link is called " + name);
    }
  }
  return Joined(action.names) + " is " + std::string(base::NameOf(action.mode));
}

Player::Outcome Player::Do(const CountAction& action) {
  std::uint64_t n = 0;
  while (true) {
    BOOST_LEAF_ASSIGN(n, Count(action));
    if (n >= action.at_least || clock_.Now() >= deadline_) break;
    std::this_thread::sleep_for(kLook);
  }
  auto what = action.key + " ran " + std::to_string(n) + " times";
  if (n < action.at_least || n > action.at_most) {
    return Fail(what + ", must be " + std::to_string(action.at_least) + " to " +
                std::to_string(action.at_most));
  }
  return what;
}

leaf::result<std::uint64_t> Player::Count(const CountAction& action) const {
  return action.counted == Counted::kRuns ? figures_.RunsOfBody(action.key)
                                          : figures_.StartsOfJob(action.key);
}

Player::Outcome Player::Do(const CtlAction& action) {
  const auto& place = cluster_.place();
  const auto base = place.folder + "/ctl-" + std::to_string(++ctl_runs_);
  std::ofstream(base + ".in") << action.input;
  std::vector<std::string> command = {place.programs + "/lapishatchctl"};
  for (const auto& it : cluster_.entries()) {
    command.push_back("--entry=" + http::TextOf(*cluster_.FindEntry(it)));
  }
  command.insert(command.end(), action.arguments.begin(),
                 action.arguments.end());
  auto process = std::make_unique<ChildProcess>(
      "lapishatchctl", std::move(command), base + ".out");
  if (!process->Start(base + ".in")) return Fail("cannot start lapishatchctl");
  if (!action.label.empty()) {
    screens_[action.label] = std::move(process);
    return "lapishatchctl " + Joined(action.arguments, " ") + ", goes on";
  }
  const auto code = process->WaitEnd(deadline_ - clock_.Now());
  const auto said = FileText(base + ".out");
  if (!code) return Fail("lapishatchctl does not end; it said: " + said);
  if (*code != action.code) {
    return Fail("lapishatchctl ended with " + std::to_string(*code) + ": " +
                said);
  }
  for (const auto& it : action.says) {
    if (said.find(it) != std::string::npos) continue;
    return Fail(
        absl::StrCat("lapishatchctl does not say \"", it, "\" but: ", said));
  }
  auto what = "lapishatchctl " + Joined(action.arguments, " ") + "\n" + said;
  what.erase(what.find_last_not_of('\n') + 1);
  return what;
}

Player::Outcome Player::Do(const SeenAction& action) {
  const auto it = screens_.find(action.label);
  if (it == screens_.end()) return Fail("no screen is called " + action.label);
  std::string said;
  bool complete = false;
  while (!complete && clock_.Now() < deadline_) {
    said = FileText(it->second->log());
    complete = HasInOrder(said, action.says);
    if (!complete) std::this_thread::sleep_for(kLook);
  }
  it->second->Signal(SIGTERM);
  it->second->WaitEnd(deadline_ - clock_.Now());
  screens_.erase(it);
  if (!complete) {
    return Fail("it must say " + Joined(action.says) + ", but says: " + said);
  }
  for (const auto& text : action.says) {
    if (said.find(text) == said.rfind(text)) continue;
    return Fail(absl::StrCat("it says \"", text, "\" more than once: ", said));
  }
  said.erase(said.find_last_not_of('\n') + 1);
  return action.label + " showed\n" + said;
}

Player::Outcome Player::Do(const LoadAction& action) {
  if (loads_.contains(action.label)) {
    return Fail("a load is called " + action.label + " already");
  }
  const auto id = absl::StrCat("load-", loads_.size());
  auto load = std::make_unique<LoadRun>(action, id, cluster_);
  if (!load->Start()) return Fail("cannot start lapishatch-load");
  loads_[action.label] = std::move(load);
  return absl::StrCat(action.connections, " callers of ", action.service,
                      ", go on");
}

Player::Outcome Player::Do(const LoadedAction& action) {
  const auto it = loads_.find(action.label);
  if (it == loads_.end()) return Fail("no load is called " + action.label);
  auto& load = *it->second;
  const bool ended = load.Finish(deadline_ - clock_.Now());
  const auto printed = FileText(load.log());
  if (!ended) return Fail("lapishatch-load did not end well: " + printed);
  const auto ends = ReadLoadEnds(printed);
  BOOST_LEAF_AUTO(by_id, figures_.RunsOfIds(load.id_prefix()));
  const auto runs = SumRuns(by_id);
  const auto again = load.is_idempotent() ? action.again_at_most : 0;
  const auto complaint = ComplaintOf(ends, runs, again);
  if (!complaint.empty()) return Fail(complaint + ": " + printed);
  return absl::StrCat(action.label, " -> ", ends.text,
                      "\nat runners: ", runs.requests, " requests ran, ",
                      runs.again, " a second time");
}

leaf::result<http::Endpoint> Player::EntryFor(const std::string& at) {
  if (!at.empty()) {
    const auto* endpoint = cluster_.FindEntry(at);
    if (endpoint == nullptr) return Fail("no entry is called " + at);
    return *endpoint;
  }
  const auto& names = cluster_.entries();
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto& name = names[next_entry_++ % names.size()];
    if (cluster_.Find(name)->running()) return *cluster_.FindEntry(name);
  }
  return Fail("no entry runs");
}

http::ClientResult Player::CallAny(const std::string& at,
                                   const http::Request& request) {
  const auto entry = leaf::try_handle_all(
      [&]() -> leaf::result<http::Endpoint> { return EntryFor(at); },
      [] { return http::Endpoint{}; });
  return caller_.Send(entry, request, kShortCall).get();
}

void Player::Write(const Step& step, const std::string& verdict,
                   const std::string& what) {
  const auto seconds =
      static_cast<double>(Elapsed().count()) / kMillisPerSecond;
  out_ << std::fixed << std::setprecision(2) << std::setw(7) << seconds
       << " s  " << std::left << std::setw(7) << verdict << std::right;
  if (!step.say.empty()) out_ << step.say << "\n" << std::string(18, ' ');
  std::string indented;
  for (const char c : what) {
    indented += c;
    if (c == '\n') indented += std::string(20, ' ');
  }
  out_ << indented << std::endl;
}

base::Duration Player::Elapsed() const { return clock_.Now() - began_; }

}  // namespace lapishatch::scenario
