#ifndef LAPISHATCH_REVIEW_STANDIN_WORLD_H_
#define LAPISHATCH_REVIEW_STANDIN_WORLD_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http_server.h"
#include "record.h"
#include "runner.h"
#include "store.h"

namespace review {

/// Exit codes of a script.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kNotRun = 2;

/// One process of the system, started with the command of the deploy file.
struct Site {
  std::string name;
  std::string zone;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t store = 0;
  pid_t pid = -1;
};

struct ClientJob {
  std::string id;
  std::int64_t accepted_at = 0;
  /// The last state that a caller was given.
  std::string state;
};

/// A small deployment on loopback: the store, the operator, runners, clients,
/// and processes of the system.
class World {
 public:
  static constexpr const char* kService = "levantamento";
  static constexpr const char* kOtherService = "levantamento-norte";

  World(const std::string& program, const std::string& folder,
        const std::string& record)
      : program_(program),
        folder_(folder),
        record_(record),
        store_(io_, record_) {}

  ~World() {
    for (const auto& it : sites_) End(it);
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  asio::io_context& io() { return io_; }
  Record& record() { return record_; }
  Store& store() { return store_; }
  std::vector<Site>& sites() { return sites_; }
  std::vector<std::unique_ptr<Runner>>& runners() { return runners_; }
  std::vector<TaskRun>& runs() { return runs_; }
  std::map<std::string, ClientJob>& jobs() { return jobs_; }

  /// Writes a configuration with one queue, as the operator does.
  void Configure(int version = 1, const std::string& service = kService) {
    json::object route;
    route["name"] = "coverage-map";
    route["host"] = kHost;
    route["prefix"] = kPrefix;
    route["service"] = service;
    route["priority"] = 2;
    route["max-attempts"] = 3;
    route["slack-factor"] = 3;
    route["target-latency-ms"] = 3'000;
    json::object tenant;
    tenant["name"] = "planalto";
    tenant["api-keys"] = json::array{kKey};
    tenant["guaranteed"] = {{"gpu", 0}};
    json::object out;
    out["version"] = version;
    out["routes"] = json::array{route};
    json::array services;
    for (const auto* it : {kService, kOtherService}) {
      services.push_back({{"name", it}, {"admission-check", false}});
    }
    out["services"] = std::move(services);
    out["tenants"] = json::array{tenant};
    out["limits"] = json::object{};
    store_.Put("op", "config", json::serialize(out));
    record_.Add("version " + std::to_string(version) +
                " of the configuration sends the queue to " + service);
  }

  void AddRunners(int count, const std::string& service = kService) {
    constexpr int kRunnersPerRack = 8;
    for (int i = 0; i < count; ++i) {
      char id[16];
      std::snprintf(id, sizeof(id), "i-%08x", 0x7f3a0000U + 977U * added_++);
      runners_.push_back(std::make_unique<Runner>(
          io_, store_, record_, runs_,
          Runner::Options{id, kZones[i * 3 / count],
                          "r-" + std::to_string(i / kRunnersPerRack),
                          service}));
    }
  }

  void AddSites(int count) {
    for (int i = 0; i < count; ++i) {
      Site site;
      site.zone = kZones[i % 3];
      site.name = "edge-" + site.zone + "-" + std::to_string(i / 3 + 1);
      site.front = FreePort();
      site.ready = FreePort();
      site.control = FreePort();
      site.store = store_.Open(i);
      WriteSettings(site);
      sites_.push_back(site);
    }
    for (auto& it : sites_) Start(it);
  }

  void Start(Site& site) {
    const auto settings = "LAPISHATCH_SETTINGS=" + SettingsOf(site);
    std::string variable = settings;
    std::string path = "PATH=/usr/bin:/bin";
    std::string home = "HOME=" + folder_;
    char* environment[] = {variable.data(), path.data(), home.data(), nullptr};
    std::string program = program_;
    char* arguments[] = {program.data(), nullptr};
    const auto log = folder_ + "/" + site.name + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    for (const int fd : {1, 2}) {
      posix_spawn_file_actions_addopen(&files, fd, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    // The process must not hold the sockets of the stand-ins.
    posix_spawn_file_actions_addclosefrom_np(&files, 3);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    if (posix_spawn(&site.pid, program.c_str(), &files, &attributes, arguments,
                    environment) != 0) {
      site.pid = -1;
    }
    posix_spawn_file_actions_destroy(&files);
    posix_spawnattr_destroy(&attributes);
    record_.Add("process " + site.name + " is started");
  }

  /// Sends SIGKILL and waits for the end.
  void Kill(Site& site) {
    record_.Add("process " + site.name + " is killed");
    End(site);
    site.pid = -1;
  }

  /// Waits until a process answers that it is ready, for 20 s at most.
  asio::awaitable<bool> AwaitReady() {
    for (int i = 0; i < 100; ++i) {
      int ready = 0;
      for (const auto& it : sites_) {
        const auto answer = co_await Call(it.ready, http::verb::get,
                                          "/v1/ready", kHost, "", "", 1'000);
        if (answer.status == 200) ++ready;
      }
      if (ready == static_cast<int>(sites_.size())) co_return true;
      co_await Sleep(200);
    }
    co_return false;
  }

  /// Sends a job as a client does: again, at another daemon, after no answer,
  /// a 502, 503 or 504. Returns whether it was accepted.
  asio::awaitable<bool> Submit(std::string id, std::string body) {
    constexpr int kAttempts = 5;
    for (int i = 0; i < kAttempts; ++i) {
      const auto answer = co_await Call(NextFront(), http::verb::post,
                                        kPrefix + id, kHost, kKey, body, 3'000);
      record_.Add("POST " + id + " -> " + std::to_string(answer.status));
      if (answer.status >= 200 && answer.status < 300) {
        jobs_[id] = {id, NowMs(), ""};
        co_return true;
      }
      co_await Sleep(1'000);
    }
    co_return false;
  }

  /// Asks for the state of a job until there is an answer.
  asio::awaitable<std::string> Ask(std::string id) {
    constexpr int kAttempts = 5;
    std::string out = "no answer";
    for (int i = 0; i < kAttempts; ++i) {
      const auto answer = co_await Call(NextFront(), http::verb::get,
                                        kPrefix + id, kHost, kKey, "", 3'000);
      if (answer.status == 410) out = "410";
      if (answer.status == 200) {
        out = json::parse(answer.body).at("state").as_string();
        jobs_[id].state = out;
      }
      if (answer.status == 200 || answer.status == 410) break;
      co_await Sleep(500);
    }
    record_.Add("GET " + id + " -> " + out);
    co_return out;
  }

  /// Cancels a job and returns the status of the answer.
  asio::awaitable<int> Cancel(std::string id) {
    const auto answer = co_await Call(NextFront(), http::verb::delete_,
                                      kPrefix + id, kHost, kKey, "", 3'000);
    record_.Add("DELETE " + id + " -> " + std::to_string(answer.status));
    co_return answer.status;
  }

  /// The process that last wrote to the store under a condition.
  Site* LastWriter() {
    const auto i = store_.last_conditional_writer();
    return i < 0 ? nullptr : &sites_[static_cast<std::size_t>(i)];
  }

  /// Core-thousandths in use, with tasks of `cpu` each.
  int RunningTasks() const {
    std::size_t out = 0;
    for (const auto& it : runners_) out += it->running();
    return static_cast<int>(out);
  }

  /// Runs `script` to its end and returns its exit code.
  int Run(asio::awaitable<int> script) {
    int out = kNotRun;
    asio::signal_set signals(io_, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code& ec, int) {
      if (!ec) io_.stop();
    });
    asio::co_spawn(io_, std::move(script),
                   [this, &out](const std::exception_ptr& error, int code) {
                     out = error ? kNotRun : code;
                     if (error) record_.Add("error: " + TextOf(error));
                     io_.stop();
                   });
    io_.run();
    return out;
  }

  static std::string JobBody(int tasks, int cpu, int memory_mb,
                             std::int64_t work_ms, bool saves) {
    json::object step;
    step["count"] = tasks;
    step["cpu"] = cpu;
    step["mem-mb"] = memory_mb;
    step["estimate-ms"] = work_ms;
    if (saves) step["checkpointing"] = true;
    json::object out;
    out["spec"] = std::string(saves ? "saves work-ms=" : "work-ms=") +
                  std::to_string(work_ms);
    out["steps"] = json::array{step};
    return json::serialize(out);
  }

 private:
  static std::string TextOf(const std::exception_ptr& error) {
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& it) {
      return it.what();
    }
  }

  static constexpr const char* kHost = "nony24.example";
  static constexpr const char* kKey = "k-5c0e7a21d94b36f8";
  const std::string kPrefix = "/lohu930/";
  const std::vector<std::string> kZones = {"caxias-hall", "passo-hall",
                                           "lages-hall"};

  std::string SettingsOf(const Site& site) const {
    return folder_ + "/" + site.name + ".toml";
  }

  /// A free port below those that the system gives to connections. Scripts
  /// that run at the same time begin at different ones.
  std::uint16_t FreePort() {
    constexpr int kFirst = 10'000;
    constexpr int kCount = 20'000;
    constexpr int kPerScript = 50;
    while (true) {
      const auto port = static_cast<std::uint16_t>(
          kFirst + (::getpid() * kPerScript + next_port_++) % kCount);
      boost::system::error_code ec;
      tcp::acceptor probe(io_);
      probe.open(tcp::v4());
      probe.bind(tcp::endpoint(asio::ip::address_v4::loopback(), port), ec);
      if (!ec) return port;
    }
  }

  std::uint16_t NextFront() {
    while (true) {
      const auto& it = sites_[next_front_++ % sites_.size()];
      if (it.pid > 0) return it.front;
    }
  }

  static void End(const Site& site) {
    if (site.pid <= 0) return;
    ::kill(site.pid, SIGKILL);
    ::waitpid(site.pid, nullptr, 0);
  }

  void WriteSettings(const Site& site) const {
    const auto at = [](std::uint16_t port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream out(SettingsOf(site));
    out << "node = \"" << site.name << "\"\n"
        << "role = \"site\"\n"
        << "machine-class = \"edge\"\n"
        << "serves = [\"edge\"]\n"
        << "ip = \"127.0.0.1\"\n"
        << "zone = \"" << site.zone << "\"\n"
        << "region = \"planalto-sul\"\n"
        << "bootstrap = true\n"
        << "heartbeat-ms = 1500\n"
        << "control-mode = \"invoke\"\n"
        << "[listen-addrs]\n"
        << "front = " << at(site.front) << "ready = " << at(site.ready)
        << "control = " << at(site.control)
        << "[limits]\n"
           "cpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\n"
           "[bounds]\n"
           "contact-ms = 3000\nack-ms = 4000\ndrain-ms = 2000\ngrace-s = 6\n"
           "config-apply-ms = 2000\nmax-stretch-ms = 5000\n"
           "max-hold-ms = 6000\nstop-timeout-ms = 400\n"
           "gang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
           "early_ms = 250\nfinish_s = 14\nstatus_s = 120\n"
           "remote-factor = 3\ncheckpoint-interval-s = 2\n"
           "restore-ms = 100\nnotice-ms = 4500\nrequire-fencing = true\n"
           "lease-ms = 3000\nreclaim-ms = 2900\n"
           "[platform]\n"
        << "address = " << at(site.store)
        << "form = \"table\"\nwrites-per-s = 800\nreads-per-s = 2000\n"
           "txn-latency-ms = 8.0\npartition-writes-s = 150\n"
           "max-row-bytes = 65536\ncross-shard = false\nretention-s = 20\n";
  }

  const std::string program_;
  const std::string folder_;
  asio::io_context io_{1};
  Record record_;
  Store store_;
  std::vector<Site> sites_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::vector<TaskRun> runs_;
  std::map<std::string, ClientJob> jobs_;
  std::size_t next_front_ = 0;
  int next_port_ = 0;
  unsigned added_ = 0;
};

/// Counts the breaks of TWICE: two runs of a task at the same time, or a start
/// after a run has ended done whose end was taken note of then or later.
inline int CountTwice(const std::vector<TaskRun>& runs, Record& record) {
  std::map<std::string, std::vector<const TaskRun*>> by_task;
  for (const auto& it : runs) by_task[it.task].push_back(&it);
  int out = 0;
  for (const auto& [task, list] : by_task) {
    for (const auto* first : list) {
      for (const auto* later : list) {
        if (later == first || later->began < first->began) continue;
        const bool overlaps = first->ended == 0 || later->began < first->ended;
        const bool was_done = first->how == "done" && first->noted > 0 &&
                              !first->has_lapsed && !overlaps;
        if (!overlaps && !was_done) continue;
        ++out;
        record.Add("BROKEN TWICE: " + task + " run " +
                   std::to_string(first->run) + " on " + first->runner +
                   (overlaps ? " was running" : " had ended done") +
                   " when run " + std::to_string(later->run) +
                   " was started on " + later->runner + ", " +
                   std::to_string(later->began - first->ended) +
                   " ms after its end");
      }
    }
  }
  return out;
}

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_WORLD_H_
