#include "scenario/scenario_reader.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "scenario/table_reader.h"

namespace lapishatch::scenario {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

/// Reads one step: the action is the one key of it that names an action.
class StepReader {
 public:
  explicit StepReader(const toml::table& table) : in_(table) {
    step_.line = table.source().begin.line;
  }

  leaf::result<Step> Read() {
    step_.say = in_.Text("say").value_or("");
    if (const auto ms = in_.Integer("within_ms")) {
      step_.within = base::Duration(*ms);
    }
    const auto found = ReadAction();
    auto problem = in_.Problem();
    if (problem.empty() && !found) {
      problem = "line " + std::to_string(step_.line) +
                ": the step has no action (see docs/SCENARIOS.md)";
    }
    if (!problem.empty()) return leaf::new_error(ScenarioError{problem});
    return std::move(step_);
  }

 private:
  bool ReadAction() {
    return ReadCalls() || ReadAnswer() || ReadWait() || ReadProcess() ||
           ReadFault() || ReadLink() || ReadCount() || ReadCtl() ||
           ReadSeen() || ReadLoad() || ReadLoaded();
  }

  bool ReadCalls() {
    CallAction action;
    if (in_.Has("race")) {
      ReadRace(action);
    } else {
      auto call = ReadCall(in_);
      if (!call) return false;
      const auto times = in_.Integer("times");
      const auto n = static_cast<std::size_t>(times.value_or(1));
      action.calls.assign(n, *call);
      if (times) NumberCalls(action.calls);
    }
    action.label = in_.Text("as").value_or("");
    action.expectation = ReadExpectation();
    action.again_on = in_.Integers("again_on");
    step_.action = std::move(action);
    return true;
  }

  void ReadRace(CallAction& action) {
    const auto* list = in_.Array("race");
    if (list == nullptr) return;
    for (const auto& it : *list) {
      const auto* table = it.as_table();
      if (table == nullptr) {
        in_.Refuse("race", "must hold tables only");
        continue;
      }
      TableReader reader(*table);
      auto call = ReadCall(reader);
      const auto problem = reader.Problem();
      if (!problem.empty()) in_.Refuse("race", "has an error in " + problem);
      if (call) action.calls.push_back(std::move(*call));
    }
  }

  std::optional<CallSpec> ReadCall(TableReader& in) {
    CallSpec out;
    if (const auto service = in.Text("request")) {
      ReadRequest(in, *service, out.request);
    } else if (const auto job = in.Text("submit")) {
      MakeWrite(out.request, "PUT", "/v1/jobs/" + *job,
                json::object{{"spec", in.Json("spec").value_or(nullptr)}});
      out.request.headers.Set("If-None-Match", "*");
    } else if (const auto resources = in.Json("apply")) {
      MakeWrite(out.request, "POST", "/v1/apply",
                json::object{{"resources", *resources}});
    } else if (const auto put = in.Text("put")) {
      MakeWrite(out.request, "PUT", *put,
                json::object{{"spec", in.Json("spec").value_or(nullptr)}});
    } else if (const auto target = in.Text("delete")) {
      out.request.method = "DELETE";
      out.request.target = *target;
    } else {
      return std::nullopt;
    }
    if (const auto it = in.Text("if_match")) {
      out.request.headers.Set("If-Match", *it);
    }
    if (const auto it = in.Text("if_none_match")) {
      out.request.headers.Set("If-None-Match", *it);
    }
    out.at = in.Text("at").value_or("");
    return out;
  }

  static void MakeWrite(http::Request& out, const std::string& method,
                        const std::string& target, const json::value& body) {
    out.method = method;
    out.target = target;
    out.body = json::serialize(body);
    out.headers.Set("Content-Type", "application/json");
  }

  static void ReadRequest(TableReader& in, const std::string& service,
                          http::Request& out) {
    out.method = "POST";
    out.target = "/v1/services/" + service + "/requests";
    out.body = in.Text("with").value_or("");
    const auto set = [&](std::string_view key, std::string_view header) {
      if (const auto value = in.Text(key)) out.headers.Set(header, *value);
    };
    set("organisation", "Lapishatch-Organisation");
    set("class", "Lapishatch-Class");
    set("key", "Idempotency-Key");
    if (const auto ms = in.Integer("deadline_ms")) {
      out.headers.Set("Lapishatch-Deadline-Ms", std::to_string(*ms));
    }
    const bool idempotent = in.Flag("idempotent").value_or(false);
    out.headers.Set("Lapishatch-Idempotent", idempotent ? "true" : "false");
  }

  static void NumberCalls(std::vector<CallSpec>& calls) {
    for (std::size_t i = 0; i < calls.size(); ++i) {
      auto& request = calls[i].request;
      request.target = Numbered(request.target, i);
      request.body = Numbered(request.body, i);
      http::Headers headers;
      for (const auto& it : request.headers.fields()) {
        headers.Set(it.name, Numbered(it.value, i));
      }
      request.headers = std::move(headers);
    }
  }

  static std::string Numbered(std::string text, std::size_t n) {
    static constexpr std::string_view kMark = "{n}";
    for (auto at = text.find(kMark); at != std::string::npos;
         at = text.find(kMark, at)) {
      text.replace(at, kMark.size(), std::to_string(n));
    }
    return text;
  }

  Expectation ReadExpectation() {
    Expectation out;
    out.status = in_.Integers("status");
    out.work = in_.Texts("work");
    out.body = in_.Text("body");
    if (const auto n = in_.Integer("winners")) {
      out.winners = static_cast<int>(*n);
    }
    return out;
  }

  bool ReadAnswer() {
    const auto label = in_.Text("answer");
    if (!label) return false;
    step_.action = AnswerAction{*label, ReadExpectation()};
    return true;
  }

  bool ReadWait() {
    WaitAction action;
    if (const auto job = in_.Text("job")) {
      action.target = "/v1/jobs/" + *job;
      action.path = in_.Text("path").value_or("status.phase");
    } else if (const auto target = in_.Text("wait")) {
      action.target = *target;
      action.path = in_.Text("path").value_or("");
    } else {
      return false;
    }
    action.at = in_.Text("at").value_or("");
    action.is = in_.Texts("is");
    action.has = in_.Text("has").value_or("");
    if (action.is.empty() && action.has.empty()) {
      in_.Refuse("is", "or has must be given");
    }
    step_.action = std::move(action);
    return true;
  }

  bool ReadProcess() {
    for (const auto name : base::EnumNames<ProcessVerb>::kNames) {
      auto names = in_.Texts(name);
      if (names.empty()) continue;
      step_.action =
          ProcessAction{*base::ParseEnum<ProcessVerb>(name), std::move(names)};
      return true;
    }
    const auto name = in_.Text("exits");
    if (!name) return false;
    const auto code = in_.Integer("code").value_or(0);
    step_.action = ExitAction{*name, static_cast<int>(code)};
    return true;
  }

  bool ReadFault() {
    const auto at = in_.Text("fault");
    if (!at) return false;
    step_.action = FaultAction{*at, in_.Json("set").value_or(nullptr)};
    return true;
  }

  bool ReadLink() {
    auto names = in_.Texts("link");
    if (names.empty()) return false;
    const auto mode = base::ParseEnum<LinkMode>(in_.Text("mode").value_or(""));
    if (!mode) {
      in_.Refuse("mode", "must be one of " + base::AllowedNames<LinkMode>());
    }
    step_.action = LinkAction{std::move(names), mode.value_or(LinkMode::kOpen)};
    return true;
  }

  bool ReadCount() {
    CountAction action;
    if (const auto body = in_.Text("runs_of")) {
      action.key = *body;
    } else if (const auto job = in_.Text("starts_of")) {
      action.counted = Counted::kStarts;
      action.key = *job;
    } else {
      return false;
    }
    const auto times = in_.Integer("is");
    const auto least = in_.Integer("at_least").value_or(times.value_or(0));
    const auto most =
        in_.Integer("at_most").value_or(times.value_or(INT32_MAX));
    action.at_least = static_cast<std::uint64_t>(least);
    action.at_most = static_cast<std::uint64_t>(most);
    step_.action = std::move(action);
    return true;
  }

  bool ReadCtl() {
    CtlAction action;
    action.arguments = in_.Texts("ctl");
    if (action.arguments.empty()) return false;
    action.input = in_.Text("input").value_or("");
    action.code = static_cast<int>(in_.Integer("code").value_or(0));
    action.says = in_.Texts("says");
    action.label = in_.Text("as").value_or("");
    step_.action = std::move(action);
    return true;
  }

  bool ReadSeen() {
    const auto label = in_.Text("seen");
    if (!label) return false;
    step_.action = SeenAction{*label, in_.Texts("says")};
    return true;
  }

  bool ReadLoad() {
    const auto service = in_.Text("load");
    if (!service) return false;
    LoadAction action;
    action.service = *service;
    action.label = in_.Text("as").value_or("");
    action.organisation = in_.Text("organisation").value_or("");
    action.is_idempotent = in_.Flag("idempotent").value_or(false);
    if (const auto n = in_.Integer("connections")) {
      action.connections = static_cast<int>(*n);
    }
    if (const auto n = in_.Integer("at_least")) {
      action.least_requests = static_cast<std::uint64_t>(*n);
    }
    if (const auto ms = in_.Integer("ready_ms")) {
      action.ready_period = base::Duration(*ms);
    }
    if (action.label.empty()) in_.Refuse("as", "must be given");
    if (action.ready_period.count() < 1) {
      in_.Refuse("ready_ms", "must be above 0");
    }
    step_.action = std::move(action);
    return true;
  }

  bool ReadLoaded() {
    const auto label = in_.Text("loaded");
    if (!label) return false;
    const auto again = in_.Integer("again_at_most").value_or(0);
    step_.action = LoadedAction{*label, static_cast<std::uint64_t>(again)};
    return true;
  }

  TableReader in_;
  Step step_;
};

void ReadNumber(TableReader& in, std::string_view key, int& target) {
  if (const auto n = in.Integer(key)) target = static_cast<int>(*n);
}

leaf::result<ClusterSpec> ReadCluster(const toml::table& table) {
  TableReader in(table);
  ClusterSpec out;
  out.domains = in.Texts("domains");
  out.entry_vms = in.Integers("entry_vms");
  out.services = in.Texts("services");
  ReadNumber(in, "runners", out.runners);
  ReadNumber(in, "slots", out.slots);
  ReadNumber(in, "service_ms", out.service_ms);
  ReadNumber(in, "workers", out.workers);
  ReadNumber(in, "workers_per_rack", out.workers_per_rack);
  ReadNumber(in, "accelerators", out.accelerators);
  ReadNumber(in, "checkpoint_ms", out.checkpoint_ms);
  if (const auto* it = in.Table("entry")) out.entry_settings = *it;
  if (const auto* it = in.Table("scheduler")) out.scheduler_settings = *it;
  if (out.domains.empty()) in.Refuse("domains", "must be given");
  if (out.entry_vms.size() != out.domains.size()) {
    in.Refuse("entry_vms", "must have one number for each domain");
  }
  const auto problem = in.Problem();
  if (!problem.empty()) return leaf::new_error(ScenarioError{problem});
  return out;
}

leaf::result<Scenario> ReadTable(const toml::table& table) {
  TableReader in(table);
  Scenario out;
  out.title = in.Text("title").value_or("");
  out.story = in.Text("story").value_or("");
  const auto* cluster = in.Table("cluster");
  const auto* steps = in.Array("step");
  if (out.title.empty()) in.Refuse("title", "must be given");
  if (cluster == nullptr) in.Refuse("cluster", "must be given");
  if (steps == nullptr) in.Refuse("step", "must be given");
  const auto problem = in.Problem();
  if (!problem.empty()) return leaf::new_error(ScenarioError{problem});
  BOOST_LEAF_ASSIGN(out.cluster, ReadCluster(*cluster));
  for (const auto& it : *steps) {
    BOOST_LEAF_AUTO(step, StepReader(*it.as_table()).Read());
    out.steps.push_back(std::move(step));
  }
  return out;
}

}  // namespace

leaf::result<Scenario> ParseScenario(std::string_view text,
                                     const std::string& file) {
  try {
    const auto table = toml::parse(text, file);
    BOOST_LEAF_AUTO(out, ReadTable(table));
    out.file = file;
    return out;
  } catch (const toml::parse_error& error) {
    return leaf::new_error(
        ScenarioError{"line " + std::to_string(error.source().begin.line) +
                      ": " + std::string(error.description())});
  }
}

leaf::result<Scenario> ReadScenario(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) return leaf::new_error(ScenarioError{"cannot be read"});
  const std::string text{std::istreambuf_iterator<char>(stream), {}};
  return ParseScenario(text, file);
}

}  // namespace lapishatch::scenario
