#ifndef LAPISHATCH_REVIEW_STANDIN_2_RUNNER_H_
#define LAPISHATCH_REVIEW_STANDIN_2_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "store.h"

namespace review {

/// What all runners together have run, to judge from.
class RunLog {
 public:
  RunLog(Clock& clock, Record& record) : clock_(clock), record_(record) {}

  void OnStart(const std::string& task, int run, const std::string& runner) {
    ++starts_;
    auto& it = tasks_[task];
    ++it.starts;
    if (!it.running_on.empty()) {
      Add("TWICE: " + task + " run " + std::to_string(run) + " begins on " +
          runner + " while another run is at work on " +
          *it.running_on.begin());
    }
    if (it.is_done) {
      Add("TWICE: " + task + " run " + std::to_string(run) + " begins on " +
          runner + " after its end `done` was taken note of");
    }
    it.running_on.insert(runner);
    if (is_verbose) {
      record_.Add(runner + " begins " + task + " run " + std::to_string(run));
    }
  }

  void OnEnd(const std::string& task, int run, const std::string& runner,
             const std::string& how) {
    auto& it = tasks_[task];
    it.running_on.erase(runner);
    ++ends_[how];
    if (is_verbose) {
      record_.Add(runner + " ends " + task + " run " + std::to_string(run) +
                  ": " + how);
    }
  }

  /// An end `done` was taken note of.
  void OnDoneNoted(const std::string& task) { tasks_[task].is_done = true; }

  int starts() const { return starts_; }
  int starts(const std::string& task) const {
    const auto it = tasks_.find(task);
    return it == tasks_.end() ? 0 : it->second.starts;
  }
  bool IsRunning(const std::string& task) const {
    const auto it = tasks_.find(task);
    return it != tasks_.end() && !it->second.running_on.empty();
  }
  const std::string* RunnerOf(const std::string& task) const {
    const auto it = tasks_.find(task);
    if (it == tasks_.end() || it->second.running_on.empty()) return nullptr;
    return &*it->second.running_on.begin();
  }
  int ends(const std::string& how) const {
    const auto it = ends_.find(how);
    return it == ends_.end() ? 0 : it->second;
  }
  const std::vector<std::string>& violations() const { return violations_; }

  bool is_verbose = true;

 private:
  struct Task {
    int starts = 0;
    bool is_done = false;
    std::set<std::string> running_on;
  };

  void Add(const std::string& line) {
    violations_.push_back(line);
    record_.Add(line);
  }

  Clock& clock_;
  Record& record_;
  std::map<std::string, Task> tasks_;
  std::map<std::string, int> ends_;
  int starts_ = 0;
  std::vector<std::string> violations_;
};

/// One runner machine as the pages describe it: leases on its own clock, the
/// highest fence, ends that are listed until they are taken note of, and
/// checkpoints. It starts whatever it is told to (`admission-check` false).
class Runner {
 public:
  struct Options {
    std::string service = "svc";
    std::string zone = "zone-a";
    std::string rack = "r1-1";
    int cpu = 64'000;
    int mem_mb = 262'144;
    int gpu = 8;
    Millis max_hold{6'000};
    Millis stop_time{100};
    Millis heartbeat{1'500};
    /// Zero for tasks without checkpoints.
    Millis checkpoint_interval{0};
    Millis run_time{5'000};
    /// Whether `born` is in its entry and its lists (pages of `demands`).
    bool says_born = false;
  };

  Runner(Clock& clock, Store& store, RunLog& log, Record& record,
         std::string id, std::size_t callers, const Options& options)
      : clock_(clock),
        store_(store),
        log_(log),
        record_(record),
        options_(options),
        id_(std::move(id)) {
    for (std::size_t i = 0; i < callers; ++i) {
      links_.push_back(std::make_unique<Link>(
          clock.io(), [this](const Request& request, Respond respond) {
            Handle(request, std::move(respond));
          }));
    }
    Begin();
    clock_.Every(options_.heartbeat, [this] { Heartbeat(); });
    clock_.Every(Millis(20), [this] { Tick(); });
  }

  const std::string& id() const { return id_; }
  const std::string& zone() const { return options_.zone; }
  Link& link(std::size_t caller) { return *links_[caller]; }

  /// Whether it reaches the store. Without, its entry is removed after three
  /// heartbeats.
  void SetStoreReached(bool is_reached) {
    reaches_store_ = is_reached;
    if (is_reached) return Heartbeat();
    const auto number = ++absence_;
    clock_.After(3 * options_.heartbeat, [this, number] {
      if (!reaches_store_ && absence_ == number) {
        store_.Remove("servers", id_);
      }
    });
  }

  /// The process ends with all that it runs, and starts again at the same
  /// address after `down`, under `next_id`. The old entry stays until three
  /// heartbeats are missed, unless the id is the same.
  void Crash(Millis down, const std::string& next_id) {
    record_.Add("runner " + id_ + " crashes");
    is_up_ = false;
    ++life_;
    for (const auto& [task, run] : running_) {
      log_.OnEnd(task, run.run, id_, "lost with its runner");
    }
    running_.clear();
    ended_.clear();
    highest_.clear();
    waiting_.clear();
    for (const auto& it : links_) it->Down();
    if (next_id != id_) {
      clock_.After(3 * options_.heartbeat,
                   [this, old = id_] { store_.Remove("servers", old); });
    }
    clock_.After(down, [this, next_id] {
      id_ = next_id;
      Begin();
      for (const auto& it : links_) it->Up();
      record_.Add("runner " + id_ + " is up again at the same address");
      Heartbeat();
    });
  }

  bool is_up() const { return is_up_; }
  std::size_t running() const { return running_.size(); }

  /// Called for each order to start, before it is handled.
  std::function<void(const std::string& task)> on_start_order;

 private:
  struct Run {
    int run = 0;
    Millis began{0};
    Millis checkpointed{0};
    std::string saved;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    std::string saved;
  };
  struct Hold {
    Respond respond;
    std::int64_t after = 0;
    int life = 0;
    bool is_done = false;
  };

  void Begin() {
    is_up_ = true;
    begun_at_ = clock_.Now();
    born_ms_ = std::chrono::duration_cast<Millis>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    fence_ = 0;
    expires_ = 0;
    last_end_ = 0;
  }

  /// Its own steady clock.
  std::int64_t ClockMs() const {
    return 1'000 + (clock_.Now() - begun_at_).count();
  }

  void Heartbeat() {
    if (!is_up_ || !reaches_store_) return;
    ++seq_;
    std::vector<std::string> values;
    for (const auto& link : links_) {
      json::object entry;
      entry["service"] = options_.service;
      entry["address"] = link->address();
      entry["zone"] = options_.zone;
      entry["version"] = "v1";
      entry["slots"] = 8;
      entry["state"] = "ready";
      entry["cold-left-ms"] = 0;
      entry["capacity"] = json::object{{"cpu", options_.cpu},
                                       {"mem-mb", options_.mem_mb},
                                       {"gpu", options_.gpu}};
      entry["labels"] = json::array{"a", options_.rack};
      if (options_.says_born) entry["born"] = born_ms_;
      entry["clock-ms"] = ClockMs();
      entry["seq"] = seq_;
      values.push_back(json::serialize(entry));
    }
    store_.PutByRunner("servers", id_, values);
  }

  void Handle(const Request& request, Respond respond) {
    if (!is_up_) return;
    const auto expected = request.find("X-Expect-Instance");
    if (expected != request.end() && expected->value() != id_) {
      return respond(421, "{}");
    }
    boost::system::error_code ec;
    const auto value = json::parse(request.body(), ec);
    const auto* body = ec ? nullptr : value.if_object();
    if (body == nullptr) return respond(400, "{}");
    const auto* fence_value = body->if_contains("fence");
    const auto fence =
        fence_value == nullptr ? 0 : fence_value->to_number<std::int64_t>();
    if (fence < fence_) return Refuse(respond, "fence");
    fence_ = fence;
    const auto target = request.target();
    if (target == "/v1/run-start") return Start(*body, respond);
    if (target == "/v1/run-stop") return Stop(*body, respond);
    if (target == "/v1/hold") return Look(*body, respond);
    respond(404, "{}");
  }

  void Refuse(const Respond& respond, const char* reason) {
    json::object out;
    out["clock-ms"] = ClockMs();
    out["reason"] = reason;
    respond(409, json::serialize(out));
  }

  void Confirm(const Respond& respond) {
    json::object out;
    out["clock-ms"] = ClockMs();
    if (options_.says_born) out["born"] = born_ms_;
    respond(200, json::serialize(out));
  }

  void Extend(const json::object& body) {
    const auto* expires = body.if_contains("expires-ms");
    if (expires == nullptr) return;
    const auto latest = ClockMs() + options_.max_hold.count();
    expires_ = std::max(expires_,
                        std::min(expires->to_number<std::int64_t>(), latest));
  }

  void Start(const json::object& body, const Respond& respond) {
    const auto task = ToText(body.at("task").as_string());
    const auto run = body.at("run-id").to_number<int>();
    if (on_start_order) on_start_order(task);
    const auto same = running_.find(task);
    if (same != running_.end() && same->second.run == run) {
      Extend(body);
      return Confirm(respond);
    }
    const auto highest = highest_.find(task);
    if (highest != highest_.end() && run <= highest->second) {
      Extend(body);
      return Refuse(respond, "old");
    }
    if (body.at("expires-ms").to_number<std::int64_t>() < ClockMs()) {
      return Refuse(respond, "late");
    }
    Extend(body);
    Run it;
    it.run = run;
    it.began = clock_.Now();
    it.checkpointed = it.began;
    running_[task] = it;
    log_.OnStart(task, run, id_);
    Confirm(respond);
  }

  void Stop(const json::object& body, const Respond& respond) {
    const auto task = ToText(body.at("task").as_string());
    const auto run = body.at("run-id").to_number<int>();
    highest_[task] = std::max(highest_[task], run);
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.run <= run) {
      clock_.After(options_.stop_time, [this, task, life = life_,
                                        stopped = it->second.run] {
        const auto found = running_.find(task);
        const bool is_same = life == life_ && found != running_.end() &&
                             found->second.run == stopped;
        if (is_same) EndRun(task, "stopped");
      });
    }
    Confirm(respond);
  }

  void Look(const json::object& body, const Respond& respond) {
    const auto seen = body.at("last-seen").to_number<std::int64_t>();
    while (!ended_.empty() && ended_.front().number <= seen) {
      if (ended_.front().how == "done") log_.OnDoneNoted(ended_.front().task);
      ended_.erase(ended_.begin());
    }
    Extend(body);
    const auto* wait = body.if_contains("wait-ms");
    const auto wait_ms = wait == nullptr ? 0 : wait->to_number<std::int64_t>();
    if (wait_ms == 0 || !ended_.empty()) return respond(200, Lists());
    const auto hold = std::make_shared<Hold>();
    hold->respond = respond;
    hold->life = life_;
    waiting_.push_back(hold);
    clock_.After(Millis(std::min<std::int64_t>(wait_ms, 2'000)),
                 [this, hold] { Answer(*hold); });
  }

  void Answer(Hold& hold) {
    if (std::exchange(hold.is_done, true) || hold.life != life_) return;
    hold.respond(200, Lists());
  }

  std::string Lists() const {
    json::array running;
    for (const auto& [task, it] : running_) {
      const auto worked = clock_.Now() - it.began;
      const auto percent = std::min<std::int64_t>(
          99, 100 * worked.count() / options_.run_time.count());
      running.push_back(json::array{task, it.run, it.saved, percent, 0});
    }
    json::array ended;
    for (const auto& it : ended_) {
      if (ended.size() == 500) break;
      ended.push_back(
          json::array{it.number, it.task, it.run, it.how, it.saved});
    }
    json::object out;
    out["clock-ms"] = ClockMs();
    if (options_.says_born) out["born"] = born_ms_;
    out["running"] = std::move(running);
    out["ended"] = std::move(ended);
    return json::serialize(out);
  }

  void EndRun(const std::string& task, const std::string& how) {
    const auto it = running_.find(task);
    const auto run = it->second;
    running_.erase(it);
    highest_[task] = std::max(highest_[task], run.run);
    ended_.push_back({++last_end_, task, run.run, how, run.saved});
    log_.OnEnd(task, run.run, id_, how);
    for (const auto& hold : std::exchange(waiting_, {})) Answer(*hold);
  }

  void Tick() {
    if (!is_up_) return;
    const auto now = clock_.Now();
    const bool has_lapsed = ClockMs() >= expires_;
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, it] : running_) {
      if (has_lapsed) {
        ends.emplace_back(task, "lapsed");
        continue;
      }
      if (now - it.began >= options_.run_time) {
        ends.emplace_back(task, "done");
        continue;
      }
      const auto interval = options_.checkpoint_interval;
      if (interval.count() > 0 && now - it.checkpointed >= interval) {
        it.checkpointed = now;
        char text[17];
        std::snprintf(text, sizeof(text), "%08x%08x",
                      static_cast<unsigned>((now - it.began).count()),
                      static_cast<unsigned>(std::hash<std::string>()(task)));
        it.saved = text;
      }
    }
    for (const auto& [task, how] : ends) EndRun(task, how);
  }

  Clock& clock_;
  Store& store_;
  RunLog& log_;
  Record& record_;
  const Options options_;
  std::string id_;
  std::vector<std::unique_ptr<Link>> links_;
  bool is_up_ = false;
  bool reaches_store_ = true;
  int absence_ = 0;
  /// Counts the crashes.
  int life_ = 0;
  Millis begun_at_{0};
  std::int64_t born_ms_ = 0;
  std::int64_t seq_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t expires_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, Run> running_;
  std::vector<End> ended_;
  std::map<std::string, int> highest_;
  std::vector<std::shared_ptr<Hold>> waiting_;
};

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_2_RUNNER_H_
