#ifndef LAPISHATCH_REVIEW_STANDIN_RUNNER_H_
#define LAPISHATCH_REVIEW_STANDIN_RUNNER_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "http_server.h"
#include "record.h"
#include "store.h"

namespace review {

/// One run of a task, as a runner has seen it.
struct TaskRun {
  std::string task;
  int run = 0;
  std::string runner;
  std::int64_t began = 0;
  /// 0 while it runs, or if its runner was lost.
  std::int64_t ended = 0;
  std::string how;
  /// When `last-seen` reached its end; 0 if that has not happened.
  std::int64_t noted = 0;
  /// Whether the runner's lease lapsed between its end and the note of it.
  bool has_lapsed = false;
};

/// A runner that receives its orders by calls. The spec of a job says how long
/// each of its tasks works: "work-ms=N", and "saves" if it has checkpoints.
class Runner {
 public:
  struct Options {
    std::string id;
    std::string zone;
    std::string rack;
    std::string service = "levantamento";
    int cpu = 64'000;
    int memory_mb = 262'144;
    int gpu = 8;
  };

  Runner(asio::io_context& io, Store& store, Record& record,
         std::vector<TaskRun>& runs, Options options)
      : io_(io),
        store_(store),
        record_(record),
        runs_(runs),
        options_(std::move(options)),
        server_(io, [this](Request request) {
          return Handle(std::move(request));
        }) {
    asio::co_spawn(io_, Beat(), asio::detached);
    asio::co_spawn(io_, Work(), asio::detached);
  }

  const std::string& id() const { return options_.id; }
  std::size_t running() const { return running_.size(); }
  std::size_t unseen_ends() const { return ended_.size(); }
  bool is_gone() const { return is_gone_; }
  const Options& options() const { return options_; }

  /// The runner is lost for good. It says nothing; its entry
  /// expires after three heartbeats.
  void Lose() {
    is_gone_ = true;
    record_.Add("runner " + id() + " is lost with " +
                std::to_string(running_.size()) + " tasks");
    for (auto& [task, it] : running_) {
      runs_[it.log].ended = NowMs();
      runs_[it.log].how = "lost";
    }
    running_.clear();
    server_.Close();
    Notify();
    asio::co_spawn(io_, Expire(), asio::detached);
  }

 private:
  struct Running {
    int run = 0;
    std::int64_t began = 0;
    std::int64_t work_ms = 0;
    /// Work that was done when it was started.
    std::int64_t done_ms = 0;
    bool saves = false;
    std::int64_t stop_at = 0;
    std::size_t log = 0;
  };

  struct Ended {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    std::string saved;
    std::size_t log = 0;
  };

  static constexpr std::int64_t kHeartbeatMs = 1'500;
  static constexpr std::int64_t kMaxHoldMs = 6'000;
  static constexpr std::int64_t kStopMs = 100;
  static constexpr std::int64_t kSaveMs = 2'000;
  static constexpr std::int64_t kTickMs = 5;
  static constexpr std::size_t kMaxEnds = 500;

  std::int64_t Clock() const { return NowMs() - born_ + 1'000; }

  void Notify() {
    for (auto* it : waiting_) it->cancel();
  }

  asio::awaitable<void> Beat() {
    for (int seq = 1; !is_gone_; ++seq) {
      json::object entry;
      entry["service"] = options_.service;
      entry["address"] = "127.0.0.1:" + std::to_string(server_.port());
      entry["zone"] = options_.zone;
      entry["version"] = "1";
      entry["slots"] = 8;
      entry["state"] = "ready";
      entry["cold-left-ms"] = 0;
      entry["seq"] = seq;
      entry["capacity"] = {{"cpu", options_.cpu},
                           {"mem-mb", options_.memory_mb},
                           {"gpu", options_.gpu}};
      entry["labels"] = json::array{"a", options_.rack};
      store_.Put("servers", id(), json::serialize(entry));
      co_await Sleep(kHeartbeatMs);
    }
  }

  asio::awaitable<void> Expire() {
    co_await Sleep(3 * kHeartbeatMs);
    store_.Remove("servers", id());
  }

  /// Ends what has worked to its end, was stopped or has lost its lease.
  asio::awaitable<void> Work() {
    while (!is_gone_) {
      co_await Sleep(kTickMs);
      const auto now = NowMs();
      if (!running_.empty() && Clock() > expires_) Lapse();
      std::vector<std::pair<std::string, std::string>> over;
      for (const auto& [task, it] : running_) {
        if (it.stop_at > 0 && now >= it.stop_at) {
          over.emplace_back(task, "stopped");
        } else if (now - it.began + it.done_ms >= it.work_ms) {
          over.emplace_back(task, "done");
        }
      }
      for (const auto& [task, how] : over) End(task, how);
    }
  }

  void Lapse() {
    record_.Add("the lease of runner " + id() + " has lapsed");
    for (auto& it : ended_) runs_[it.log].has_lapsed = true;
    while (!running_.empty()) End(running_.begin()->first, "lapsed");
  }

  static std::string Saved(const Running& it) {
    if (!it.saves) return "";
    const auto worked = NowMs() - it.began;
    const auto done = it.done_ms + worked / kSaveMs * kSaveMs;
    if (done == 0) return "";
    char text[17];
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(done),
                  0x7a21d94bU);
    return text;
  }

  static std::int64_t PercentOf(const Running& it) {
    const auto worked = NowMs() - it.began;
    return std::min<std::int64_t>(100 * (worked + it.done_ms) / it.work_ms, 99);
  }

  void End(std::string task, const std::string& how) {
    const auto it = running_.at(task);
    running_.erase(task);
    auto& run = runs_[it.log];
    run.ended = NowMs();
    run.how = how;
    highest_[task] = std::max(highest_[task], it.run);
    ended_.push_back({++last_end_, task, it.run, how, Saved(it), it.log});
    record_.Add("ended " + task + " run " + std::to_string(it.run) + " on " +
                id() + ": " + how);
    Notify();
  }

  Response Refuse(const std::string& reason) const {
    return MakeResponse(409, {{"clock-ms", Clock()}, {"reason", reason}});
  }

  void Hold(const json::object& body) {
    const auto* expires = body.if_contains("expires-ms");
    if (expires == nullptr) return;
    const auto most = Clock() + kMaxHoldMs;
    expires_ =
        std::max(expires_, std::min(expires->to_number<std::int64_t>(), most));
  }

  asio::awaitable<std::optional<Response>> Handle(Request request) {
    if (is_gone_) co_return std::nullopt;
    const std::string path(request.target());
    if (path == "/health") co_return MakeResponse(200, {});
    if (request["X-Expect-Instance"] != id()) co_return MakeResponse(421, {});
    const auto body = json::parse(request.body()).as_object();
    const auto fence = body.at("fence").to_number<std::uint64_t>();
    if (fence < fence_) co_return Refuse("fence");
    fence_ = fence;
    if (path == "/v1/run-start") co_return Start(body);
    if (path == "/v1/run-stop") co_return Stop(body);
    if (path == "/v1/hold") co_return co_await Report(body);
    co_return MakeResponse(404, {});
  }

  Response Start(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const auto run = body.at("run-id").to_number<int>();
    const std::string spec(body.at("spec").as_string());
    if (body.at("expires-ms").to_number<std::int64_t>() < Clock()) {
      return Refuse("late");
    }
    Hold(body);
    const auto present = running_.find(task);
    if (present != running_.end()) {
      if (present->second.run != run) return Refuse("old");
      return MakeResponse(200, {{"clock-ms", Clock()}});
    }
    if (run <= highest_[task]) return Refuse("old");
    Running it;
    it.run = run;
    it.began = NowMs();
    it.work_ms = std::stoll(spec.substr(spec.find('=') + 1));
    it.saves = spec.find("saves") != std::string::npos;
    if (const auto* saved = body.if_contains("checkpoint")) {
      const std::string text(saved->as_string());
      it.done_ms = std::stoll(text.substr(0, 8), nullptr, 16);
    }
    it.log = runs_.size();
    runs_.push_back({task, run, id(), it.began, 0, "", 0, false});
    running_[task] = it;
    record_.Add("started " + task + " run " + std::to_string(run) + " on " +
                id() + ", fence " + std::to_string(fence_));
    return MakeResponse(200, {{"clock-ms", Clock()}});
  }

  Response Stop(const json::object& body) {
    const std::string task(body.at("task").as_string());
    const auto run = body.at("run-id").to_number<int>();
    highest_[task] = std::max(highest_[task], run);
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.run <= run &&
        it->second.stop_at == 0) {
      it->second.stop_at = NowMs() + kStopMs;
    }
    return MakeResponse(200, {{"clock-ms", Clock()}});
  }

  void NoteEnds(std::uint64_t last_seen) {
    for (const auto& it : ended_) {
      if (it.number <= last_seen) runs_[it.log].noted = NowMs();
    }
    std::erase_if(ended_, [last_seen](const Ended& it) {
      return it.number <= last_seen;
    });
  }

  asio::awaitable<std::optional<Response>> Report(json::object body) {
    Hold(body);
    NoteEnds(body.at("last-seen").to_number<std::uint64_t>());
    if (const auto* wait = body.if_contains("wait-ms")) {
      const auto until = NowMs() + wait->to_number<std::int64_t>();
      while (ended_.empty() && !is_gone_ && NowMs() < until) {
        asio::steady_timer timer(io_, Millis(until - NowMs()));
        waiting_.insert(&timer);
        boost::system::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
        waiting_.erase(&timer);
      }
    }
    if (is_gone_) co_return std::nullopt;
    json::array running;
    for (const auto& [task, it] : running_) {
      running.push_back(json::array{task, it.run, Saved(it), PercentOf(it), 0});
    }
    json::array ended;
    for (const auto& it : ended_) {
      if (ended.size() >= kMaxEnds) break;
      ended.push_back(
          json::array{it.number, it.task, it.run, it.how, it.saved});
    }
    if (ended_.size() > kMaxEnds) {
      record_.Add("runner " + id() + " lists " + std::to_string(kMaxEnds) +
                  " of " + std::to_string(ended_.size()) + " ends and " +
                  std::to_string(running_.size()) + " running tasks");
    }
    json::object out;
    out["clock-ms"] = Clock();
    out["running"] = std::move(running);
    out["ended"] = std::move(ended);
    co_return MakeResponse(200, out);
  }

  asio::io_context& io_;
  Store& store_;
  Record& record_;
  std::vector<TaskRun>& runs_;
  const Options options_;
  const std::int64_t born_ = NowMs();
  std::map<std::string, Running> running_;
  std::vector<Ended> ended_;
  std::map<std::string, int> highest_;
  std::set<asio::steady_timer*> waiting_;
  std::uint64_t last_end_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t expires_ = 0;
  bool is_gone_ = false;
  HttpServer server_;
};

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_RUNNER_H_
