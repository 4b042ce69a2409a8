#ifndef LAPISHATCH_REVIEW_STANDIN_2_SITE_H_
#define LAPISHATCH_REVIEW_STANDIN_2_SITE_H_

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "runner.h"

namespace review {

/// The host and the prefix of the one queue, which is public.
inline constexpr const char* kHost = "jobs.example";
inline constexpr const char* kPrefix = "/queue/";

/// A loopback port that nobody listens on now, below those that the system
/// gives to sockets that name none.
inline std::uint16_t FreePort(asio::io_context& io) {
  constexpr int kFirst = 18'000;
  constexpr int kCount = 14'000;
  static std::mt19937 random(std::random_device{}());
  while (true) {
    const auto port = static_cast<std::uint16_t>(
        kFirst + static_cast<int>(random() % kCount));
    tcp::acceptor probe(io);
    boost::system::error_code ec;
    probe.open(tcp::v4(), ec);
    probe.bind({asio::ip::make_address(kLoopback), port}, ec);
    if (!ec) return port;
  }
}

/// One process of the program under test, as an entry VM runs it.
class Site {
 public:
  Site(Clock& clock, Record& record, std::string name, std::string zone,
       const Link& store, std::string program, const std::string& folder,
       int status_s = 120)
      : record_(record),
        name_(std::move(name)),
        zone_(std::move(zone)),
        program_(std::move(program)),
        settings_(folder + '/' + name_ + ".toml"),
        log_(folder + '/' + name_ + ".log"),
        front_(FreePort(clock.io())),
        ready_(FreePort(clock.io())) {
    std::ofstream out(settings_);
    out << "node = \"" << name_ << "\"\nrole = \"site\"\n"
        << "machine-class = \"edge\"\nserves = [\"edge\"]\n"
        << "ip = \"" << kLoopback << "\"\nzone = \"" << zone_ << "\"\n"
        << "region = \"region\"\nheartbeat-ms = 1500\n"
        << "control-mode = \"invoke\"\n"
        << "[listen-addrs]\n"
        << "front = \"" << kLoopback << ':' << front_ << "\"\n"
        << "ready = \"" << kLoopback << ':' << ready_ << "\"\n"
        << "[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\n"
        << "max-fds = 4100\n"
        << "[bounds]\ncontact-ms = 3000\nack-ms = 4000\ndrain-ms = 2000\n"
        << "grace-s = 6\nconfig-apply-ms = 2000\nmax-stretch-ms = 5000\n"
        << "max-hold-ms = 6000\nstop-timeout-ms = 400\n"
        << "gang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
        << "status_s = " << status_s
        << "\nremote-factor = 3\nreclaim-ms = 2900\n"
        << "checkpoint-interval-s = 2\nrestore-ms = 100\n"
        << "[platform]\naddress = \"" << store.address() << "\"\n"
        << "form = \"table\"\nwrites-per-s = 800\nreads-per-s = 2000\n"
        << "txn-latency-ms = 8.0\npartition-writes-s = 150\n"
        << "max-row-bytes = 65536\nretention-s = 20\n";
  }
  ~Site() { End(); }
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  void Start() {
    record_.Add("process " + name_ + " starts");
    pid_ = fork();
    if (pid_ != 0) return;
    // So that nothing is left when the case itself is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int fd = 3; fd < 4'096; ++fd) close(fd);
    const std::string variable = "LAPISHATCH_SETTINGS=" + settings_;
    const std::string path = "PATH=/usr/bin:/bin";
    char* environment[] = {const_cast<char*>(variable.c_str()),
                           const_cast<char*>(path.c_str()), nullptr};
    char* arguments[] = {const_cast<char*>(program_.c_str()), nullptr};
    execve(program_.c_str(), arguments, environment);
    _exit(127);
  }

  void Signal(int number) {
    if (pid_ <= 0) return;
    record_.Add("process " + name_ + " gets signal " + std::to_string(number));
    kill(pid_, number);
  }

  /// Whether it still runs.
  bool IsRunning() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = 0;
    return pid_ > 0;
  }

  void End() {
    if (!IsRunning()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = 0;
  }

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  std::uint16_t front() const { return front_; }
  std::uint16_t ready() const { return ready_; }

 private:
  Record& record_;
  const std::string name_;
  const std::string zone_;
  const std::string program_;
  const std::string settings_;
  const std::string log_;
  const std::uint16_t front_;
  const std::uint16_t ready_;
  pid_t pid_ = 0;
  int status_ = 0;
};

/// Where a case runs, from its command line: PROGRAM RECORD TEMPORARY_FOLDER.
/// The variable TROUBLE=0 leaves the disruption out.
struct CaseOptions {
  std::string program;
  std::string record;
  std::string folder;
  bool has_trouble = true;
};

inline CaseOptions ReadOptions(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s PROGRAM RECORD TEMPORARY_FOLDER\n",
                 argv[0]);
    std::exit(2);
  }
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3],
          trouble == nullptr || std::string(trouble) != "0"};
}

/// The exit codes of a case.
enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

/// The stand-ins and processes of a case, all on one thread.
class World {
 public:
  explicit World(const CaseOptions& options)
      : options_(options),
        clock(io),
        record(clock, options.record),
        store(clock, record, {}),
        log(clock, record),
        random_(std::random_device()()) {}

  Site& AddSite(const std::string& name, const std::string& zone) {
    auto& link = store.Serve();
    store_links.push_back(&link);
    sites.push_back(std::make_unique<Site>(clock, record, name, zone, link,
                                           options_.program, options_.folder,
                                           status_s));
    return *sites.back();
  }

  /// All sites must have been added before.
  Runner& AddRunner(const std::string& id, const Runner::Options& options) {
    runners.push_back(std::make_unique<Runner>(clock, store, log, record, id,
                                               sites.size(), options));
    return *runners.back();
  }

  /// Writes the configuration: one queue, of service `svc`.
  void Configure(int priority, int max_attempts) {
    json::object route;
    route["name"] = "queue";
    route["host"] = kHost;
    route["prefix"] = kPrefix;
    route["kind"] = "non_idempotent";
    route["timeout-ms"] = 3'000;
    route["target-latency-ms"] = 3'000;
    route["priority"] = priority;
    route["service"] = "svc";
    route["max-attempts"] = max_attempts;
    route["slack-factor"] = 3.0;
    route["public"] = true;
    json::object service;
    service["name"] = "svc";
    service["health-path"] = "/health";
    service["max-conns"] = 64;
    service["protocol"] = "h1";
    service["tls"] = false;
    service["admission-check"] = false;
    service["standby"] = false;
    json::object out;
    out["version"] = 1;
    out["routes"] = json::array{route};
    out["services"] = json::array{service};
    out["limits"] = json::object{{"max-header-bytes", 16'384},
                                 {"max-body-bytes", 262'144},
                                 {"header-timeout-ms", 3'000},
                                 {"idle-timeout-ms", 15'000}};
    out["tenants"] = json::array();
    store.Put("op", "config", {json::serialize(out)});
  }

  std::string NewId() {
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(random_()));
    return text;
  }

  /// One call of a client for job `id`; an empty `id` asks for the queue.
  void Ask(const Site& site, http::verb method, const std::string& id,
           const std::string& body, ClientCallback done) {
    Request request;
    request.method(method);
    request.target(std::string(kPrefix) + id);
    request.version(11);
    request.set(http::field::host, kHost);
    request.set("X-Deadline-Ms", "3000");
    request.keep_alive(false);
    if (!body.empty()) {
      request.set(http::field::content_type, "application/json");
      request.body() = body;
    }
    if (method == http::verb::post) request.prepare_payload();
    Call::Send(io, site.front(), std::move(request), Millis(3'000),
               std::move(done));
  }

  /// Hands a job in, again with the same ID until it is accepted, and calls
  /// `accepted`.
  void Submit(std::size_t site, const std::string& id, const std::string& body,
              std::function<void()> accepted) {
    Ask(*sites[site % sites.size()], http::verb::post, id, body,
        [this, site, id, body, accepted](int status, const std::string& text) {
          record.Add("POST " + id + " -> " + std::to_string(status));
          if (status == 200) {
            if (accepted) accepted();
            return;
          }
          if (status == 400) {
            record.Add("refused: " + text);
            return;
          }
          clock.After(Millis(300), [this, site, id, body, accepted] {
            Submit(site + 1, id, body, accepted);
          });
        });
  }

  /// Asks for the state of a job, at one process after the other, until one
  /// answers 200 or 410. `done` gets the state, "gone" for a 410.
  void AskState(std::size_t site, const std::string& id,
                std::function<void(std::string)> done) {
    Ask(*sites[site % sites.size()], http::verb::get, id, "",
        [this, site, id, done](int status, const std::string& text) {
          if (status == 410) return done("gone");
          if (status != 200) {
            clock.After(Millis(200), [this, site, id, done] {
              AskState(site + 1, id, done);
            });
            return;
          }
          boost::system::error_code ec;
          const auto value = json::parse(text, ec);
          done(ec ? "unreadable" : ToText(value.at("state").as_string()));
        });
  }

  /// Calls `done` once the process responds to the balancer with 200.
  void WhenReady(const Site& site, std::function<void()> done) {
    Request request;
    request.method(http::verb::get);
    request.target("/v1/ready");
    request.version(11);
    request.set(http::field::host, kHost);
    request.keep_alive(false);
    Call::Send(io, site.ready(), std::move(request), Millis(1'000),
               [this, &site, done](int status, const std::string&) {
                 if (status == 200) return done();
                 clock.After(Millis(100),
                             [this, &site, done] { WhenReady(site, done); });
               });
  }

  void Finish(Verdict verdict, const std::string& why) {
    static const char* const kNames[] = {"HELD", "BROKEN", "NOT RUN"};
    record.Add(std::string(kNames[static_cast<int>(verdict)]) + ": " + why);
    verdict_ = verdict;
    io.stop();
  }

  /// Runs until Finish, for `limit` at most, and ends all processes.
  int Run(Millis limit) {
    clock.After(limit, [this] {
      Finish(Verdict::kNotRun, "the case did not come to its end in time");
    });
    io.run();
    for (const auto& it : sites) it->End();
    return static_cast<int>(verdict_);
  }

 private:
  const CaseOptions options_;

 public:
  asio::io_context io{1};
  Clock clock;
  Record record;
  Store store;
  RunLog log;
  std::vector<Link*> store_links;
  /// `status_s` of the processes that are added from now on.
  int status_s = 120;
  std::vector<std::unique_ptr<Site>> sites;
  std::vector<std::unique_ptr<Runner>> runners;

 private:
  std::mt19937_64 random_;
  Verdict verdict_ = Verdict::kNotRun;
};

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_2_SITE_H_
