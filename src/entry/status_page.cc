#include "entry/status_page.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <utility>
#include <vector>

#include "entry/refusal.h"

namespace lapishatch::entry {
namespace {

namespace json = boost::json;

/// Of the warnings and errors of all processes, on one page.
constexpr std::size_t kMostEvents = 50;

json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

/// Whether a process is held for running, by the name of its state.
bool IsRunning(const json::object& process) {
  const auto& state = process.at("state").as_string();
  return state == "alive" || state == "suspect";
}

/// What the life that `process` tells of has said, or null.
const wire::ProcessStatus* AnswerOf(const membership::ProcessStatuses& answers,
                                    const json::object& process) {
  const auto& incarnation = process.at("incarnation").as_string();
  for (const auto& it : answers) {
    if (incarnation == it.incarnation.str()) return &it;
  }
  return nullptr;
}

json::object ToJson(const wire::CellStatus& cell) {
  return {{"cell", cell.cell.str()},
          {"phase", cell.phase},
          {"epoch", cell.epoch},
          {"workers", cell.workers},
          {"workers_reached", cell.workers_reached},
          {"queued", cell.queued},
          {"gangs", cell.gangs}};
}

void AddAnswer(const wire::ProcessStatus& answer, json::object& process) {
  process["ready"] = answer.ready;
  process["table_reachable"] = answer.table_reachable;
  json::object logs;
  for (const auto& it : answer.logs) {
    logs[it.log.str()] =
        json::object{{"accepted", it.accepted}, {"in_force", it.in_force}};
  }
  process["configuration"] = std::move(logs);
  json::array cells;
  for (const auto& it : answer.cells) cells.push_back(ToJson(it));
  process["cells"] = std::move(cells);
}

/// The processes, each with what it says of itself.
json::array Processes(const StatusSource& source) {
  auto out = source.system.Processes();
  for (auto& it : out) {
    auto& process = it.as_object();
    const auto* answer = AnswerOf(source.answers, process);
    process["answered"] = answer != nullptr;
    if (answer != nullptr) AddAnswer(*answer, process);
  }
  return out;
}

/// The processes that are held for running and did not answer.
json::array Silent(const json::array& processes) {
  json::array out;
  for (const auto& it : processes) {
    const auto& process = it.as_object();
    if (!IsRunning(process) || process.at("answered").as_bool()) continue;
    out.push_back(process.at("name"));
  }
  return out;
}

std::int64_t CountRunning(const json::array& processes) {
  return std::count_if(processes.begin(), processes.end(), [](const auto& it) {
    return IsRunning(it.as_object());
  });
}

/// The highest version of a log that any process has heard of.
config::LogVersion Accepted(const StatusSource& source, config::LogId log) {
  auto out = source.mirror.Status(log).accepted;
  for (const auto& answer : source.answers) {
    for (const auto& it : answer.logs) {
      if (it.log.str() == base::NameOf(log)) out = std::max(out, it.accepted);
    }
  }
  return out;
}

/// Answers in which a log is in force up to `version`.
std::int64_t CountInForce(const StatusSource& source, config::LogId log,
                          config::LogVersion version) {
  std::int64_t out = 0;
  for (const auto& answer : source.answers) {
    for (const auto& it : answer.logs) {
      const bool is_it = it.log.str() == base::NameOf(log);
      if (is_it && it.in_force >= version) ++out;
    }
  }
  return out;
}

json::object Configuration(const StatusSource& source, std::int64_t running) {
  json::object out;
  for (const auto log : {config::LogId::kConfig, config::LogId::kJobs}) {
    const auto status = source.mirror.Status(log);
    const auto accepted = Accepted(source, log);
    out[View(base::NameOf(log))] =
        json::object{{"accepted", accepted},
                     {"in_force", status.in_force},
                     {"loaded", status.loaded},
                     {"in_force_in", CountInForce(source, log, accepted)},
                     {"processes", running}};
  }
  return out;
}

json::object Store(const StatusSource& source, std::int64_t running) {
  const auto reached =
      std::count_if(source.answers.begin(), source.answers.end(),
                    [](const auto& it) { return it.table_reachable; });
  return {{"table_reachable", source.mirror.is_table_reachable()},
          {"reachable_in", reached},
          {"processes", running}};
}

json::array Cells(const SystemView& system) {
  json::array out;
  for (const auto& cell : system.List(SeenKind::kCells)) {
    auto object = cell.status;
    object["name"] = cell.name;
    out.push_back(std::move(object));
  }
  return out;
}

json::object ToJson(const wire::EventLine& event, const std::string& process) {
  json::object out{{"process", process}, {"number", event.number}};
  for (const auto& it : base::kAllEvents) {
    if (it.number == event.number) out["name"] = View(it.name);
  }
  out["age_ms"] = event.age_ms;
  out["text"] = event.text;
  return out;
}

/// The last warnings and errors of all, the newest first.
json::array Events(const membership::ProcessStatuses& answers) {
  std::vector<std::pair<std::int64_t, json::object>> found;
  for (const auto& answer : answers) {
    for (const auto& it : answer.events) {
      found.emplace_back(it.age_ms, ToJson(it, answer.name.str()));
    }
  }
  std::stable_sort(
      found.begin(), found.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  json::array out;
  for (auto& [age, event] : found) {
    if (out.size() == kMostEvents) break;
    out.push_back(std::move(event));
  }
  return out;
}

}  // namespace

http::Response StatusPage(const StatusSource& source) {
  auto processes = Processes(source);
  const auto running = CountRunning(processes);
  auto silent = Silent(processes);
  return JsonResponse(
      kOk, {{"process",
             {{"name", source.process.name.str()},
              {"failure_domain", source.process.failure_domain.str()},
              {"incarnation", source.incarnation.str()}}},
            {"configuration", Configuration(source, running)},
            {"store", Store(source, running)},
            {"silent", std::move(silent)},
            {"processes", std::move(processes)},
            {"cells", Cells(source.system)},
            {"events", Events(source.answers)}});
}

}  // namespace lapishatch::entry
