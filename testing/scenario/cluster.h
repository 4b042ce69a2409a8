#ifndef LAPISHATCH_TESTING_SCENARIO_CLUSTER_H_
#define LAPISHATCH_TESTING_SCENARIO_CLUSTER_H_

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scenario/caller.h"
#include "scenario/child_process.h"
#include "scenario/peer_network.h"
#include "scenario/port_range.h"
#include "scenario/relay.h"
#include "scenario/scenario.h"

namespace lapishatch::scenario {

/// Something of the cluster is not as it must be; the scenario has failed.
struct ClusterError {
  std::string text;
};

/// Where things are.
struct ClusterPlace {
  /// Folder with the programs.
  std::string programs;
  /// Folder for settings and logs.
  std::string folder;
};

/// The processes of a scenario: the stand-in platform, per domain the stand-in
/// workers and runners, and per entry VM an entry and a scheduler. Everything
/// between them and the platform, the runners and the workers passes through
/// relays.
///
/// Processes: "platform", "runners-DOMAIN-SERVICE", "workers-DOMAIN",
/// "entry-DOMAIN-N", "scheduler-DOMAIN-N". Links: "platform-DOMAIN" (of the
/// domain's entry VMs), each runner and worker by its name, "peers-FROM-TO"
/// (what the system's processes of one domain send to those of another), and
/// "peers-DOMAIN" (all that goes from and to a domain).
class Cluster {
 public:
  Cluster(ClusterSpec spec, ClusterPlace place, Caller& caller);
  ~Cluster();

  /// Starts everything and waits until every entry is ready. Fails with
  /// ClusterError.
  boost::leaf::result<void> Start();

  /// Planned stop of the system's processes, then the stand-ins. Returns the
  /// names of those that did not end with 0.
  std::vector<std::string> Stop();

  /// Waits until an entry or scheduler that was started is ready.
  boost::leaf::result<void> WaitReady(const std::string& name,
                                      base::Duration limit);

  /// Nothing when no process is called so.
  ChildProcess* Find(const std::string& name);
  /// False when no link is called so.
  bool SetLink(const std::string& name, LinkMode mode);
  /// Where an entry listens; nothing when none is called so.
  const http::Endpoint* FindEntry(const std::string& name) const;
  const std::vector<std::string>& entries() const { return entry_names_; }

  /// The fault ports of the stand-ins whose name begins with `prefix`.
  std::vector<http::Endpoint> FaultPorts(const std::string& prefix) const;

  const ClusterPlace& place() const { return place_; }

 private:
  struct SystemProcess {
    http::Endpoint listen;
    http::Endpoint peer_listen;
    /// The relay before peer_listen, where the others reach it.
    http::Endpoint peer_advertised;
    std::string domain;
  };

  using Done = boost::leaf::result<void>;

  Done StartPlatform();
  Done StartBackends();
  Done StartRunners(const std::string& domain, const std::string& service);
  Done StartWorkers(const std::string& domain);
  Done StartStandin(const std::string& name, const std::string& program,
                    std::vector<std::string> flags);
  Done AddVms(const std::string& standin);
  Done TellVms();
  Done StartSystem();
  void PlanSystem();
  bool SetPeerLink(const std::string& name, LinkMode mode);
  std::string WriteSettings(const std::string& name,
                            const SystemProcess& process,
                            const toml::table& extra) const;
  ChildProcess& Add(const std::string& name, std::vector<std::string> command);

  ClusterSpec spec_;
  ClusterPlace place_;
  Caller& caller_;
  std::map<std::string, std::unique_ptr<Relay>> links_;
  PortRange ports_;
  PeerNetwork peers_;
  std::map<std::string, http::Endpoint> fault_ports_;
  std::map<std::string, SystemProcess> system_;
  std::vector<std::string> entry_names_;
  boost::json::array vms_;
  http::Endpoint platform_;
  /// In order of start.
  std::vector<std::unique_ptr<ChildProcess>> processes_;
};

}  // namespace lapishatch::scenario

#endif  // LAPISHATCH_TESTING_SCENARIO_CLUSTER_H_
