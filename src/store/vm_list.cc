#include "store/vm_list.h"

#include <boost/json.hpp>
#include <limits>
#include <utility>

namespace lapishatch::store {
namespace {

namespace json = boost::json;

std::optional<std::string> FindText(const json::object& object,
                                    std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return std::string(value->as_string());
}

std::optional<std::uint16_t> FindPort(const json::object& object) {
  const auto* value = object.if_contains("port");
  if (value == nullptr) return std::nullopt;
  boost::system::error_code ec;
  const auto out = value->to_number<std::uint16_t>(ec);
  if (ec || out == 0) return std::nullopt;
  return out;
}

std::optional<Vm> VmFrom(const json::value& value) {
  if (!value.is_object()) return std::nullopt;
  const auto& object = value.as_object();
  const auto name = FindText(object, "name");
  const auto kind = FindText(object, "kind");
  const auto state = FindText(object, "state");
  const auto domain = FindText(object, "failure_domain");
  const auto address = FindText(object, "address");
  const auto port = FindPort(object);
  if (!name || !kind || !state || !domain || !address || !port) return {};
  const auto parsed_kind = base::ParseEnum<VmKind>(*kind);
  const auto parsed_state = base::ParseEnum<VmState>(*state);
  if (!parsed_kind || !parsed_state) return std::nullopt;
  Vm out;
  out.name = *name;
  out.kind = *parsed_kind;
  out.state = *parsed_state;
  out.domain = base::DomainName(*domain);
  out.endpoint = {*address, *port};
  out.rack = base::RackName(FindText(object, "rack").value_or(""));
  out.service = base::ServiceName(FindText(object, "service").value_or(""));
  return out;
}

json::object ObjectOf(const Vm& vm) {
  json::object out;
  out["name"] = vm.name;
  out["kind"] = base::NameOf(vm.kind);
  out["state"] = base::NameOf(vm.state);
  out["failure_domain"] = vm.domain.str();
  out["address"] = vm.endpoint.address;
  out["port"] = vm.endpoint.port;
  out["rack"] = vm.rack.str();
  out["service"] = vm.service.str();
  return out;
}

}  // namespace

std::string SerializeVms(const std::vector<Vm>& vms) {
  json::array list;
  for (const auto& it : vms) list.push_back(ObjectOf(it));
  json::object body;
  body["vms"] = std::move(list);
  return json::serialize(body);
}

std::optional<ParsedVms> ParseVms(std::string_view body) {
  boost::system::error_code ec;
  const auto value = json::parse(body, ec);
  if (ec || !value.is_object()) return std::nullopt;
  const auto* vms = value.as_object().if_contains("vms");
  if (vms == nullptr || !vms->is_array()) return std::nullopt;
  ParsedVms out;
  for (const auto& it : vms->as_array()) {
    if (auto vm = VmFrom(it)) {
      out.vms.push_back(std::move(*vm));
    } else {
      ++out.unreadable;
    }
  }
  return out;
}

}  // namespace lapishatch::store
