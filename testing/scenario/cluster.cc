#include "scenario/cluster.h"

#include <absl/strings/str_cat.h>
#include <signal.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <thread>
#include <utility>

#include "config/config.h"

namespace lapishatch::scenario {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr base::Duration kStartLimit{30'000};
constexpr base::Duration kStopLimit{30'000};
constexpr base::Duration kCallLimit{5'000};
constexpr base::Duration kLook{20};
constexpr int kOk = 200;

std::string Flag(const std::string& name, const std::string& value) {
  return "--" + name + "=" + value;
}

std::string Flag(const std::string& name, int value) {
  return Flag(name, std::to_string(value));
}

leaf::result<void> Fail(const std::string& text) {
  return leaf::new_error(ClusterError{text});
}

/// Adds the tables and values of `extra` to `base`, key by key.
void Merge(toml::table& base, const toml::table& extra) {
  for (const auto& [key, value] : extra) {
    auto* table = base.get_as<toml::table>(key.str());
    if (table != nullptr && value.is_table()) {
      Merge(*table, *value.as_table());
    } else {
      base.insert_or_assign(key.str(), value);
    }
  }
}

}  // namespace

Cluster::Cluster(ClusterSpec spec, ClusterPlace place, Caller& caller)
    : spec_(std::move(spec)),
      place_(std::move(place)),
      caller_(caller),
      ports_(caller.io()),
      peers_(caller.io()) {}

Cluster::~Cluster() = default;

leaf::result<void> Cluster::Start() {
  BOOST_LEAF_CHECK(StartPlatform());
  BOOST_LEAF_CHECK(StartBackends());
  BOOST_LEAF_CHECK(TellVms());
  return StartSystem();
}

leaf::result<void> Cluster::StartPlatform() {
  BOOST_LEAF_CHECK(StartStandin("platform", "standin-platform", {}));
  const auto announced = Find("platform")->Announced("listening");
  if (announced.empty()) return Fail("platform does not listen");
  platform_ = *config::ParseEndpoint(announced.front());
  for (const auto& it : spec_.domains) {
    links_["platform-" + it] = std::make_unique<Relay>(caller_.io(), platform_);
  }
  return {};
}

leaf::result<void> Cluster::StartBackends() {
  for (const auto& domain : spec_.domains) {
    if (spec_.workers > 0) BOOST_LEAF_CHECK(StartWorkers(domain));
    for (const auto& service : spec_.services) {
      BOOST_LEAF_CHECK(StartRunners(domain, service));
    }
  }
  return {};
}

leaf::result<void> Cluster::StartRunners(const std::string& domain,
                                         const std::string& service) {
  const auto name = "runners-" + domain + "-" + service;
  BOOST_LEAF_CHECK(
      StartStandin(name, "standin-runner",
                   {Flag("name", "runner-" + domain + "-" + service),
                    Flag("service", service), Flag("failure_domain", domain),
                    Flag("runners", spec_.runners), Flag("slots", spec_.slots),
                    Flag("service_ms", spec_.service_ms)}));
  return AddVms(name);
}

leaf::result<void> Cluster::StartWorkers(const std::string& domain) {
  const auto name = "workers-" + domain;
  BOOST_LEAF_CHECK(StartStandin(
      name, "standin-worker",
      {Flag("name", "worker-" + domain), Flag("rack", "rack-" + domain),
       Flag("failure_domain", domain), Flag("workers", spec_.workers),
       Flag("workers_per_rack", spec_.workers_per_rack),
       Flag("accelerators", spec_.accelerators),
       Flag("checkpoint_ms", spec_.checkpoint_ms),
       Flag("platform", http::TextOf(platform_))}));
  return AddVms(name);
}

leaf::result<void> Cluster::StartStandin(const std::string& name,
                                         const std::string& program,
                                         std::vector<std::string> flags) {
  flags.insert(flags.begin(), place_.programs + "/" + program);
  auto& process = Add(name, std::move(flags));
  if (!process.Start()) return Fail("cannot start " + program);
  const auto port =
      config::ParseEndpoint(process.WaitAnnounced("faults", kStartLimit));
  const bool listens = !process.WaitAnnounced("listening", kStartLimit).empty();
  if (!port || !listens) return Fail(name + " did not start: " + process.log());
  fault_ports_[name] = *port;
  return {};
}

/// Asks a stand-in for its lines of the VM list and puts a relay before each
/// VM.
leaf::result<void> Cluster::AddVms(const std::string& standin) {
  http::Request request;
  request.target = "/vms";
  const auto result =
      caller_.Send(fault_ports_[standin], request, kCallLimit).get();
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) return Fail(standin + " does not tell its VMs");
  auto body = json::parse(response->body);
  for (auto& it : body.as_object()["vms"].as_array()) {
    auto& vm = it.as_object();
    const http::Endpoint target{std::string(vm["address"].as_string()),
                                vm["port"].to_number<std::uint16_t>()};
    auto& link = links_[std::string(vm["name"].as_string())];
    link = std::make_unique<Relay>(caller_.io(), target);
    vm["port"] = link->endpoint().port;
    vms_.push_back(vm);
  }
  return {};
}

leaf::result<void> Cluster::TellVms() {
  http::Request request;
  request.method = "PUT";
  request.target = "/vms";
  request.body = json::serialize(json::object{{"vms", vms_}});
  const auto result =
      caller_.Send(fault_ports_["platform"], request, kCallLimit).get();
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr || response->status != kOk) {
    return Fail("the platform does not take the list of VMs");
  }
  return {};
}

leaf::result<void> Cluster::StartSystem() {
  PlanSystem();
  for (const auto& [name, process] : system_) {
    const bool entry = name.starts_with("entry-");
    const auto file = WriteSettings(
        name, process, entry ? spec_.entry_settings : spec_.scheduler_settings);
    const std::string program =
        entry ? "lapishatch-entry" : "lapishatch-scheduler";
    auto& child =
        Add(name, {place_.programs + "/" + program, Flag("config", file)});
    if (!child.Start()) return Fail("cannot start " + program);
  }
  for (const auto& it : system_) {
    BOOST_LEAF_CHECK(WaitReady(it.first, kStartLimit));
  }
  return {};
}

void Cluster::PlanSystem() {
  for (std::size_t i = 0; i < spec_.domains.size(); ++i) {
    for (int vm = 0; vm < spec_.entry_vms[i]; ++vm) {
      const auto suffix = spec_.domains[i] + "-" + std::to_string(vm);
      entry_names_.push_back("entry-" + suffix);
      for (const std::string program : {"entry-", "scheduler-"}) {
        auto& process = system_[program + suffix];
        process.domain = spec_.domains[i];
        process.listen = ports_.Next();
        process.peer_listen = ports_.Next();
        process.peer_advertised =
            peers_.Add(process.domain, process.peer_listen);
      }
    }
  }
}

std::string Cluster::WriteSettings(const std::string& name,
                                   const SystemProcess& process,
                                   const toml::table& extra) const {
  toml::array peers;
  for (const auto& [other, it] : system_) {
    if (other != name) peers.push_back(http::TextOf(it.peer_advertised));
  }
  const auto platform = links_.at("platform-" + process.domain)->endpoint();
  toml::table table{
      {"process",
       toml::table{{"name", name},
                   {"failure_domain", process.domain},
                   {"listen", http::TextOf(process.listen)},
                   {"peer_listen", http::TextOf(process.peer_listen)},
                   {"peer_advertised", http::TextOf(process.peer_advertised)},
                   {"peers", peers},
                   {"platform", http::TextOf(platform)}}}};
  if (name.starts_with("scheduler-")) {
    std::string domains;
    for (const auto& it : spec_.domains) {
      domains += (domains.empty() ? "" : ",") + it;
    }
    table.insert("scheduler", toml::table{{"failure_domains", domains}});
  }
  Merge(table, extra);
  auto file = place_.folder + "/" + name + ".toml";
  std::ofstream(file) << table << '\n';
  return file;
}

leaf::result<void> Cluster::WaitReady(const std::string& name,
                                      base::Duration limit) {
  const base::SteadyClock clock;
  const auto deadline = clock.Now() + limit;
  if (!system_.contains(name)) return Fail(name + " is no entry or scheduler");
  auto* child = Find(name);
  http::Request request;
  request.target = "/readyz";
  while (clock.Now() < deadline && child->running()) {
    const auto result =
        caller_.Send(system_.at(name).listen, request, kCallLimit).get();
    const auto* response = std::get_if<http::Response>(&result);
    if (response != nullptr && response->status == kOk) return {};
    std::this_thread::sleep_for(kLook);
  }
  return Fail(name + " did not become ready: " + child->log());
}

std::vector<std::string> Cluster::Stop() {
  std::vector<std::string> bad;
  const auto stop = [&](bool system) {
    std::vector<ChildProcess*> stopped;
    for (const auto& it : processes_) {
      if (system_.contains(it->name()) != system || !it->running()) continue;
      it->Signal(SIGCONT);
      it->Signal(SIGTERM);
      stopped.push_back(it.get());
    }
    for (auto* it : stopped) {
      if (it->WaitEnd(kStopLimit) != 0) bad.push_back(it->name());
    }
  };
  stop(true);
  stop(false);
  return bad;
}

ChildProcess* Cluster::Find(const std::string& name) {
  const auto it =
      std::find_if(processes_.begin(), processes_.end(),
                   [&](const auto& p) { return p->name() == name; });
  return it == processes_.end() ? nullptr : it->get();
}

bool Cluster::SetLink(const std::string& name, LinkMode mode) {
  const auto it = links_.find(name);
  if (it == links_.end()) return SetPeerLink(name, mode);
  it->second->SetMode(mode);
  return true;
}

bool Cluster::SetPeerLink(const std::string& name, LinkMode mode) {
  bool is_found = false;
  for (const auto& from : spec_.domains) {
    for (const auto& to : spec_.domains) {
      const bool is_meant = name == absl::StrCat("peers-", from, "-", to) ||
                            name == absl::StrCat("peers-", from) ||
                            name == absl::StrCat("peers-", to);
      if (from == to || !is_meant) continue;
      peers_.SetMode(from, to, mode);
      is_found = true;
    }
  }
  return is_found;
}

const http::Endpoint* Cluster::FindEntry(const std::string& name) const {
  const auto it = system_.find(name);
  return it == system_.end() ? nullptr : &it->second.listen;
}

std::vector<http::Endpoint> Cluster::FaultPorts(
    const std::string& prefix) const {
  std::vector<http::Endpoint> out;
  for (const auto& [name, port] : fault_ports_) {
    if (name.starts_with(prefix)) out.push_back(port);
  }
  return out;
}

ChildProcess& Cluster::Add(const std::string& name,
                           std::vector<std::string> command) {
  processes_.push_back(std::make_unique<ChildProcess>(
      name, std::move(command), place_.folder + "/" + name + ".log"));
  return *processes_.back();
}

}  // namespace lapishatch::scenario
