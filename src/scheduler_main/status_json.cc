#include "scheduler_main/status_json.h"

#include <utility>

namespace lapishatch::scheduler_main {

namespace json = boost::json;

wire::CellStatus ToWire(const base::CellName& cell,
                        const scheduler::OwnerStatus& status) {
  return {cell,
          std::string(base::NameOf(status.phase)),
          status.epoch,
          status.workers,
          status.workers_reached,
          status.queued,
          status.gangs};
}

json::object ToJson(const base::CellName& cell,
                    const scheduler::OwnerStatus& status) {
  json::array shortfalls;
  for (const auto& it : status.shortfalls) {
    shortfalls.emplace_back(
        json::object{{"organisation", it.organisation.str()},
                     {"accelerators", it.shape.accelerators},
                     {"adjacency", base::NameOf(it.shape.adjacency)},
                     {"missing", it.missing}});
  }
  json::value taken;
  if (status.taken) taken = base::NameOf(*status.taken);
  return {{"cell", cell.str()},
          {"phase", base::NameOf(status.phase)},
          {"epoch", status.epoch},
          {"holder", status.holder.str()},
          {"taken", std::move(taken)},
          {"taken_from", status.taken_from.str()},
          {"table_out", status.table_out},
          {"workers", status.workers},
          {"workers_reached", status.workers_reached},
          {"queued", status.queued},
          {"gangs", status.gangs},
          {"shortfalls", std::move(shortfalls)}};
}

json::object ToJson(const base::JobName& job,
                    const placement::Explanation& explanation) {
  return {{"job", job.str()},
          {"state", explanation.state},
          {"reason", explanation.reason},
          {"queue_position", explanation.queue_position}};
}

json::object ToJson(const config::MirrorStatus& status) {
  return {{"loaded", status.loaded},
          {"in_force", status.in_force},
          {"accepted", status.accepted}};
}

}  // namespace lapishatch::scheduler_main
