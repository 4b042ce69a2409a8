#include "load/load_generator.h"

#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cstdio>
#include <mutex>
#include <optional>
#include <utility>

#include "load/balancer.h"

namespace lapishatch::load {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

/// An open load sends what has become due since the last tick.
constexpr std::chrono::milliseconds kTick{1};

/// A request for which no entry is ready asks again after this.
constexpr std::chrono::milliseconds kAskAgain{20};

constexpr int kOk = 200;
constexpr std::size_t kMaxFailures = 20;
constexpr std::size_t kShownBytes = 300;

/// Requests of an open load that may wait for a connection.
constexpr std::size_t kMaxWaiting = 100'000;

/// Counts by status and work, in shards, so that threads seldom meet.
class EndCounts {
 public:
  void Add(const http::Response& response) {
    auto& shard =
        shards_[next_.fetch_add(1, std::memory_order_relaxed) % shards_.size()];
    const std::lock_guard lock(shard.mutex);
    ++shard.by_status[response.status];
    const auto work = response.headers.Find("Lapishatch-Work");
    ++shard.by_work[work.empty() ? "none" : std::string(work)];
  }

  void AddTo(LoadReport& report) {
    for (auto& shard : shards_) {
      const std::lock_guard lock(shard.mutex);
      for (const auto& [status, n] : shard.by_status) {
        report.by_status[status] += n;
      }
      for (const auto& [work, n] : shard.by_work) report.by_work[work] += n;
    }
  }

 private:
  struct Shard {
    std::mutex mutex;
    std::map<int, std::uint64_t> by_status;
    std::map<std::string, std::uint64_t> by_work;
  };

  std::array<Shard, 16> shards_;
  std::atomic<std::size_t> next_{0};
};

http::ClientLimits LimitsOf(const LoadOptions& options) {
  http::ClientLimits out;
  // All of them may have to go to the one entry that is ready.
  const bool is_balanced = options.ready_period.count() > 0;
  const auto targets =
      is_balanced ? 1 : std::max<std::size_t>(options.targets.size(), 1);
  out.connections_per_endpoint =
      std::max<std::size_t>(options.connections / targets, 1);
  out.waiting_per_endpoint = kMaxWaiting;
  return out;
}

class Load : public std::enable_shared_from_this<Load> {
 public:
  Load(asio::io_context& io, LoadOptions options,
       std::function<void(LoadReport)> done)
      : io_(io),
        options_(std::move(options)),
        done_(std::move(done)),
        client_(io, LimitsOf(options_)),
        ticker_(asio::make_strand(io)),
        key_prefix_(options_.id_prefix.empty() ? base::MakeUniqueText("load-")
                                               : options_.id_prefix),
        body_(options_.body_bytes, 'x'),
        latency_(std::make_unique<LatencyHistogram>()) {}

  void Start() {
    if (options_.ready_period.count() == 0) return Begin();
    balancer_ = std::make_unique<Balancer>(io_, options_.targets,
                                           options_.ready_period);
    balancer_->Start([self = shared_from_this()] { self->Begin(); });
  }

  void Stop() { is_told_to_stop_ = true; }

 private:
  void Begin() {
    begin_ = Clock::now();
    measure_from_ = begin_ + options_.warm_up;
    end_ = options_.duration.count() == 0 ? Clock::time_point::max()
                                          : measure_from_ + options_.duration;
    if (options_.rate > 0) return Tick();
    for (std::size_t i = 0; i < options_.connections; ++i) {
      asio::post(io_, [self = shared_from_this()] { self->SendNext(); });
    }
  }

  bool IsOver(Clock::time_point now) const {
    if (now >= end_) return true;
    return is_told_to_stop_ && next_ >= options_.least_requests;
  }

  // A closed load.

  void SendNext() {
    const auto now = Clock::now();
    if (IsOver(now)) return EndLoop();
    Send(now, true);
  }

  void EndLoop() {
    if (++ended_loops_ == options_.connections) Finish();
  }

  // An open load.

  void Tick() {
    const auto now = Clock::now();
    const std::chrono::duration<double> passed = now - begin_;
    const auto due = static_cast<std::uint64_t>(passed.count() * options_.rate);
    for (; arrived_ < due; ++arrived_) {
      const auto at =
          begin_ + std::chrono::duration_cast<Clock::duration>(
                       std::chrono::duration<double>(
                           static_cast<double>(arrived_) / options_.rate));
      if (IsOver(at)) break;
      ++open_;
      Send(at, false);
    }
    if (IsOver(now)) return EndOne();
    ticker_.expires_after(kTick);
    ticker_.async_wait([self = shared_from_this()](
                           const boost::system::error_code&) { self->Tick(); });
  }

  void EndOne() {
    if (--open_ == 0) Finish();
  }

  // Requests.

  std::optional<http::Endpoint> NextTarget() {
    if (balancer_) return balancer_->Next();
    return options_.targets[turn_++ % options_.targets.size()];
  }

  /// Nothing was sent, since no entry is ready.
  void SendLater(Clock::time_point due, bool is_closed_loop) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, kAskAgain);
    timer->async_wait([self = shared_from_this(), timer, due,
                       is_closed_loop](const boost::system::error_code&) {
      if (!self->IsOver(Clock::now())) return self->Send(due, is_closed_loop);
      is_closed_loop ? self->EndLoop() : self->EndOne();
    });
  }

  void Send(Clock::time_point due, bool is_closed_loop) {
    const auto target = NextTarget();
    if (!target) return SendLater(due, is_closed_loop);
    const auto n = next_.fetch_add(1, std::memory_order_relaxed);
    const bool is_measured = due >= measure_from_;
    if (is_measured) ++sent_;
    client_.Send(*target, MakeRequest(n), options_.timeout,
                 [self = shared_from_this(), n, due, is_measured,
                  is_closed_loop](const http::ClientResult& result) {
                   if (is_measured) self->Count(n, due, result);
                   if (is_closed_loop) return self->SendNext();
                   self->EndOne();
                 });
  }

  std::string IdOf(std::uint64_t n) const {
    return key_prefix_ + "-" + std::to_string(n);
  }

  http::Request MakeRequest(std::uint64_t n) const {
    http::Request out;
    out.method = "POST";
    out.target = options_.path;
    std::vector<http::HeaderField> fields{
        {"Content-Type", "application/octet-stream"},
        // A runner demands one of its callers.
        {"Lapishatch-Request-Id", IdOf(n)},
        {"Lapishatch-Class", options_.work_class},
        {"Lapishatch-Deadline-Ms", std::to_string(options_.deadline.count())}};
    const auto& organisations = options_.organisations;
    if (!organisations.empty()) {
      fields.push_back(
          {"Lapishatch-Organisation", organisations[n % organisations.size()]});
    }
    if (options_.is_idempotent) {
      fields.push_back({"Lapishatch-Idempotent", "true"});
    } else {
      fields.push_back({"Idempotency-Key", IdOf(n)});
    }
    out.headers = http::Headers(std::move(fields));
    out.body = body_;
    return out;
  }

  void Count(std::uint64_t n, Clock::time_point due,
             const http::ClientResult& result) {
    NoteFailure(n, result);
    if (const auto* error = std::get_if<http::ClientError>(&result)) {
      const bool unsent = error->progress == http::Progress::kNothingSent;
      ++(unsent ? failed_unsent_ : failed_maybe_sent_);
      if (error->timed_out) ++timed_out_;
      return;
    }
    ++answered_;
    ends_.Add(std::get<http::Response>(result));
    latency_->Add(std::chrono::duration_cast<std::chrono::microseconds>(
        Clock::now() - due));
  }

  void NoteFailure(std::uint64_t n, const http::ClientResult& result) {
    const auto* response = std::get_if<http::Response>(&result);
    if (response != nullptr && response->status == kOk) return;
    const std::lock_guard lock(failures_mutex_);
    if (first_failures_.size() >= kMaxFailures) return;
    first_failures_.push_back(
        IdOf(n) + ": " +
        (response == nullptr ? std::get<http::ClientError>(result).detail
                             : std::to_string(response->status) + " " +
                                   response->body.substr(0, kShownBytes)));
  }

  void Finish() {
    balancer_.reset();
    LoadReport out;
    const std::chrono::duration<double> measured =
        std::min(Clock::now(), end_) - measure_from_;
    out.first_failures = std::move(first_failures_);
    out.seconds = measured.count();
    out.sent = sent_;
    out.answered = answered_;
    out.failed_unsent = failed_unsent_;
    out.failed_maybe_sent = failed_maybe_sent_;
    out.timed_out = timed_out_;
    ends_.AddTo(out);
    out.latency = std::move(latency_);
    done_(std::move(out));
  }

  asio::io_context& io_;
  const LoadOptions options_;
  const std::function<void(LoadReport)> done_;
  http::Client client_;
  asio::steady_timer ticker_;
  std::unique_ptr<Balancer> balancer_;
  std::atomic<bool> is_told_to_stop_{false};
  const std::string key_prefix_;
  const std::string body_;
  Clock::time_point begin_;
  Clock::time_point measure_from_;
  Clock::time_point end_;
  std::uint64_t arrived_ = 0;
  std::atomic<std::uint64_t> next_{0};
  std::atomic<std::size_t> turn_{0};
  std::atomic<std::size_t> ended_loops_{0};
  /// One for the arrivals themselves, so that it reaches 0 once.
  std::atomic<std::int64_t> open_{1};
  std::atomic<std::uint64_t> sent_{0};
  std::atomic<std::uint64_t> answered_{0};
  std::atomic<std::uint64_t> failed_unsent_{0};
  std::atomic<std::uint64_t> failed_maybe_sent_{0};
  std::atomic<std::uint64_t> timed_out_{0};
  EndCounts ends_;
  std::mutex failures_mutex_;
  std::vector<std::string> first_failures_;
  std::unique_ptr<LatencyHistogram> latency_;
};

std::string Line(const std::string& name, double value, const char* unit) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), " %.6g ", value);
  std::string out = name;
  out += text.data();
  out += unit;
  out += '\n';
  return out;
}

std::string CountLine(const std::string& name, std::uint64_t n) {
  std::string out = name;
  out += ' ';
  out += std::to_string(n);
  out += " requests\n";
  return out;
}

}  // namespace

StopLoad StartLoad(asio::io_context& io, LoadOptions options,
                   std::function<void(LoadReport)> done) {
  const auto load =
      std::make_shared<Load>(io, std::move(options), std::move(done));
  load->Start();
  return [weak = std::weak_ptr(load)] {
    if (const auto it = weak.lock()) it->Stop();
  };
}

std::string Render(const LoadReport& report, const std::string& prefix) {
  std::string out;
  const auto rate = static_cast<double>(report.answered) / report.seconds;
  out += Line(prefix + "rate", rate, "requests/s");
  out += Line(prefix + "p50", report.latency->QuantileMs(0.5), "ms");
  out += Line(prefix + "p99", report.latency->QuantileMs(0.99), "ms");
  out += Line(prefix + "p99.9", report.latency->QuantileMs(0.999), "ms");
  for (const auto& [status, n] : report.by_status) {
    out += CountLine(prefix + "status_" + std::to_string(status), n);
  }
  const auto work_prefix = prefix + "work_";
  for (const auto& [work, n] : report.by_work) {
    out += CountLine(work_prefix + work, n);
  }
  out += CountLine(prefix + "sent", report.sent);
  out += CountLine(prefix + "failed_unsent", report.failed_unsent);
  out += CountLine(prefix + "failed_maybe_sent", report.failed_maybe_sent);
  out += CountLine(prefix + "timed_out", report.timed_out);
  return out;
}

}  // namespace lapishatch::load
