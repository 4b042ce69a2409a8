#ifndef LAPISHATCH_REVIEW_STANDIN_3_WORLD_H_
#define LAPISHATCH_REVIEW_STANDIN_3_WORLD_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

/// Stand-ins of the platform's store, of runners and of clients, all in one
/// process and on loopback addresses. They do what the users' pages say.
namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
using Handler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

/// Milliseconds since the start of the process, and since 1970.
std::int64_t NowMs();
std::int64_t UnixMs();

/// Writes the record of the run, one line an event, with the time.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Write(const std::string& line);

 private:
  std::FILE* file_;
};

/// Waits for `ms` milliseconds.
asio::awaitable<void> Sleep(std::int64_t ms);

/// Serves HTTP/1.1 on a free port of 127.0.0.1.
class HttpServer {
 public:
  HttpServer(asio::io_context& io, Handler handler);
  std::uint16_t port() const { return port_; }

 private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(asio::ip::tcp::socket socket);

  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  std::uint16_t port_;
};

/// The platform's metadata store: rows with versions from one counter,
/// conditional transactions, ranges, and a feed of changes.
class Store {
 public:
  /// `callers`: number of processes, each of which gets a port of its own.
  Store(asio::io_context& io, Record& record, std::size_t callers);
  std::uint16_t port(std::size_t caller) const {
    return servers_[caller]->port();
  }

  /// While it is down, each call is answered with 503.
  void SetDown(bool is_down);
  bool is_down() const { return is_down_; }

  /// The process that last wrote under a condition.
  std::size_t last_writer() const { return last_writer_; }

  /// Writes or removes a row as the operator or a runner does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  /// Transactions refused because a value has more than `max-row-bytes`.
  int oversized() const { return oversized_; }
  /// Bytes of the largest value that was written, or refused.
  std::size_t largest_value() const { return largest_value_; }

 private:
  using Address = std::tuple<std::string, std::string, std::string>;
  struct Row {
    /// Base64, as it is sent.
    std::string value;
    std::uint64_t version = 0;
  };
  struct Change {
    std::uint64_t version = 0;
    Address address;
    bool is_deleted = false;
    std::string value;
  };

  asio::awaitable<HttpResponse> Handle(HttpRequest request, std::size_t caller);
  asio::awaitable<HttpResponse> Transact(std::string body, std::size_t caller);
  asio::awaitable<HttpResponse> Feed(std::map<std::string, std::string> query);
  HttpResponse Range(const std::map<std::string, std::string>& query) const;
  HttpResponse Parts(const std::map<std::string, std::string>& query) const;
  void Apply(const Address& address, const std::string* value,
             std::uint64_t version);
  void WakeFeeds();

  asio::io_context& io_;
  Record& record_;
  std::map<Address, Row> rows_;
  std::vector<Change> changes_;
  std::uint64_t version_ = 1;
  /// When each part has carried out the transactions that it has accepted.
  std::map<std::string, std::int64_t> busy_until_;
  std::set<asio::steady_timer*> feeds_;
  int oversized_ = 0;
  std::size_t largest_value_ = 0;
  bool is_down_ = false;
  std::size_t last_writer_ = 0;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

struct Shape {
  std::int64_t cpu = 64'000;
  std::int64_t memory_mb = 262'144;
  std::int64_t gpu = 8;
};

/// A task that a runner has begun on an order.
struct Start {
  std::string task;
  int run = 0;
  std::string runner;
  std::int64_t at_ms = 0;
  std::string spec;
};

/// How a run of a task ended.
struct End {
  std::string task;
  int run = 0;
  std::string runner;
  std::int64_t at_ms = 0;
  std::string how;
};

/// One run of a gang: its tasks work from when all are present, and all end
/// when one ends.
struct GangRun {
  std::set<std::string> present;
  std::int64_t began_at_ms = 0;
  bool is_broken = false;
};

/// What all runners have done, for the checks.
struct RunLog {
  std::vector<Start> starts;
  std::vector<End> ends;
  /// By step (ID.K.STEP) and run.
  std::map<std::pair<std::string, int>, GangRun> gangs;
};

/// A runner without admission check. A task works for as many milliseconds as
/// its spec says; a spec MS/N is that of a gang of N tasks. A spec LMS is that
/// of a task that lasts and fails after MS milliseconds, or never for 0. If
/// `saves`, a task saves a checkpoint after each 2 s of work.
class Runner {
 public:
  Runner(asio::io_context& io, Store& store, RunLog& log, Record& record,
         std::string id, std::string zone, std::string rack, Shape shape,
         bool saves, std::int64_t order_ms);
  const std::string& id() const { return id_; }
  std::size_t running() const { return running_.size(); }

  /// While it is cut off, nothing that is sent to it or by it arrives.
  void SetCut(bool is_cut) { is_cut_ = is_cut; }
  /// How long after the store's return it registers again, if its entry has
  /// expired meanwhile.
  void SetReturnDelay(std::int64_t ms) { return_delay_ms_ = ms; }

  /// Crashes. After `down_ms` it is back at its address, under a new id.
  asio::awaitable<void> Crash(std::int64_t down_ms);
  asio::awaitable<void> Live();

 private:
  struct Run {
    int run = 0;
    std::int64_t started_ms = 0;
    std::int64_t work_ms = 0;
    std::int64_t resumed_ms = 0;
    std::int64_t stop_at_ms = 0;
    std::string checkpoint;
    std::size_t gang_size = 0;
    bool lasts = false;
    std::int64_t fails_after_ms = 0;
  };
  struct ListedEnd {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    std::string checkpoint;
  };

  asio::awaitable<HttpResponse> Handle(HttpRequest request);
  HttpResponse StartTask(const json::object& order);
  HttpResponse StopTask(const json::object& order);
  asio::awaitable<HttpResponse> Hold(json::object order);
  GangRun& GangOf(const std::string& task, int run);
  /// Milliseconds of work done; none while a gang waits for its tasks.
  std::int64_t WorkedMs(const std::string& task, const Run& run);
  /// How the run ends now; empty if it goes on.
  std::string EndOf(const std::string& task, const Run& run);
  bool IsStale(const json::object& order);
  void ExtendLease(const json::object& order);
  HttpResponse Answer(int status, json::object body) const;
  void EndRun(const std::string& task, const std::string& how);
  void Tick();
  void Register();

  Store& store_;
  RunLog& log_;
  Record& record_;
  std::string id_;
  const std::string zone_;
  const std::string rack_;
  const Shape shape_;
  const bool saves_;
  const std::int64_t order_ms_;
  bool is_cut_ = false;
  std::int64_t registered_at_ms_ = -10'000;
  bool is_expired_ = false;
  std::int64_t return_delay_ms_ = 200;
  std::int64_t store_back_at_ms_ = 0;
  int sequence_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, int> highest_ended_;
  std::vector<ListedEnd> ended_;
  std::uint64_t ends_ = 0;
  std::set<asio::steady_timer*> holds_;
  HttpServer server_;
};

/// What a daemon answered; status 0 for no answer.
struct Answer {
  int status = 0;
  std::string body;
};

/// A VM on which run.sh starts the program with the settings written here.
struct Site {
  std::string node;
  std::string zone;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
};

struct WorldOptions {
  int sites = 3;
  int runners = 48;
  Shape shape;
  /// Whether tasks save checkpoints.
  bool saves = false;
  /// How long a runner takes to answer a start or a stop.
  std::int64_t order_ms = 1;
};

/// A small deployment: three zones, `sites` VMs, `runners` runners of one
/// service, one queue "/jobs/" and one tenant.
class World {
 public:
  /// `folder`: a temporary folder, in which the settings are written.
  World(asio::io_context& io, const std::string& folder,
        const std::string& record, WorldOptions options);

  Record& record() { return record_; }
  Store& store() { return store_; }
  RunLog& log() { return log_; }
  std::vector<std::unique_ptr<Runner>>& runners() { return runners_; }
  const std::vector<Site>& sites() const { return sites_; }

  /// Calls a site. The path follows the queue's prefix.
  asio::awaitable<Answer> Call(std::size_t site, std::string method,
                               std::string path, std::string body);

  /// Waits until each VM says that it is ready. False after `ms`.
  asio::awaitable<bool> AwaitReady(std::int64_t ms);

  /// Hands a job in as the pages say: again at another VM after no answer, a
  /// 502 or a 504, and after a pause when it was refused with 429 or 503.
  asio::awaitable<Answer> Submit(std::string id, std::string body);

  /// The state that any VM gives for the job; empty if none does.
  asio::awaitable<std::string> StateOf(std::string id);

  /// Kills the process of a VM; run.sh starts it again.
  void Kill(std::size_t site);

  /// Number of times that run.sh saw a process of a VM end by itself.
  int ExitsSeen() const;

 private:
  void WriteSettings(const Site& site, std::uint16_t store_port) const;
  void PutConfiguration();

  asio::io_context& io_;
  const std::string folder_;
  Record record_;
  RunLog log_;
  Store store_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::vector<Site> sites_;
  std::size_t next_site_ = 0;
};

/// Body of a job of one step. `ms` is how long each task works.
std::string JobBody(int tasks, std::int64_t ms, Shape needs, bool checkpointing,
                    bool is_gang = false);

/// Body of a job of `tasks` tasks that last and fail after `ms`; 0 for never.
std::string LastingJobBody(int tasks, std::int64_t ms, Shape needs);

/// A name for job `n`, spread over the parts of the store as by chance.
std::string JobId(std::uint64_t n);

/// Runs `scenario` and returns what it returns.
int RunScenario(asio::io_context& io,
                std::function<asio::awaitable<int>()> scenario);

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_3_WORLD_H_
