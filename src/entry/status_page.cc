#include "entry/status_page.h"

#include <boost/json/array.hpp>

#include "entry/refusal.h"

namespace lapishatch::entry {
namespace {

namespace json = boost::json;

json::object Configuration(const config::Mirror& mirror) {
  json::object out;
  for (const auto log : {config::LogId::kConfig, config::LogId::kJobs}) {
    const auto status = mirror.Status(log);
    const auto name = base::NameOf(log);
    out[json::string_view(name.data(), name.size())] =
        json::object{{"accepted", status.accepted},
                     {"in_force", status.in_force},
                     {"loaded", status.loaded}};
  }
  return out;
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

}  // namespace

http::Response StatusPage(const StatusSource& source) {
  return JsonResponse(
      kOk,
      {{"process",
        {{"name", source.process.name.str()},
         {"failure_domain", source.process.failure_domain.str()},
         {"incarnation", source.incarnation.str()}}},
       {"configuration", Configuration(source.mirror)},
       {"store", {{"table_reachable", source.mirror.is_table_reachable()}}},
       {"processes", source.system.Processes()},
       {"cells", Cells(source.system)}});
}

}  // namespace lapishatch::entry
