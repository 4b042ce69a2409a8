#include "entry/entry_view.h"

namespace lapishatch::entry {
namespace {

namespace json = boost::json;

json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::vector<SeenResource> EntryView::List(SeenKind kind) const {
  switch (kind) {
    case SeenKind::kWorkers:
      return Workers();
    case SeenKind::kRunners:
      return Runners();
    case SeenKind::kCells:
      return Cells();
  }
  return {};
}

json::object EntryView::VmStatus(const store::Vm& vm) const {
  const bool drained =
      mirror_.Find({config::ResourceKind::kDrain, vm.name}) != nullptr;
  const bool leaving = vm.state == store::VmState::kLeaving;
  return {{"state", View(base::NameOf(vm.state))},
          {"failure_domain", vm.domain.str()},
          {"address", http::TextOf(vm.endpoint)},
          {"takes_new_work", !drained && !leaving}};
}

std::vector<SeenResource> EntryView::Workers() const {
  std::vector<SeenResource> out;
  for (const auto& vm : platform_.Vms(store::VmKind::kWorker)) {
    auto status = VmStatus(vm);
    status["rack"] = vm.rack.str();
    if (const auto size = platform_.SizeOf(base::WorkerName(vm.name))) {
      status["accelerators"] = size->accelerators;
      status["cores"] = size->cores;
      status["memory_mb"] = size->memory_mb;
    }
    out.push_back({vm.name, std::move(status)});
  }
  return out;
}

std::vector<SeenResource> EntryView::Runners() const {
  std::vector<SeenResource> out;
  for (const auto& vm : platform_.Vms(store::VmKind::kRunner)) {
    auto status = VmStatus(vm);
    status["service"] = vm.service.str();
    out.push_back({vm.name, std::move(status)});
  }
  return out;
}

std::vector<SeenResource> EntryView::Cells() const {
  const auto view = node_.view();
  std::vector<SeenResource> out;
  for (const auto& cell : platform_.Cells()) {
    json::object status{{"holder", cell.holder.str()}, {"epoch", cell.epoch}};
    for (const auto& member : view->members) {
      if (member.identity.incarnation != cell.holder) continue;
      status["owner"] = member.identity.name.str();
      status["failure_domain"] = member.identity.domain.str();
      status["owner_state"] = View(base::NameOf(member.state));
    }
    out.push_back({cell.cell.str(), std::move(status)});
  }
  return out;
}

json::array EntryView::Processes() const {
  const auto view = node_.view();
  json::array out;
  for (const auto& member : view->members) {
    out.push_back(json::object{
        {"name", member.identity.name.str()},
        {"role", View(base::NameOf(member.identity.role))},
        {"failure_domain", member.identity.domain.str()},
        {"incarnation", member.identity.incarnation.str()},
        {"state", View(base::NameOf(member.state))},
        {"domain_reachable", view->IsReachable(member.identity.domain)}});
  }
  return out;
}

}  // namespace lapishatch::entry
