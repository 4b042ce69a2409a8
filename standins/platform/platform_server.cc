#include "platform/platform_server.h"

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/common.h"
#include "platform/row_store.h"
#include "platform/token_bucket.h"
#include "platform/transaction_json.h"
#include "store/store.h"

namespace lapishatch::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace leaf = boost::leaf;

using http::ExchangePtr;
using http::Request;
using http::Response;
using http::Target;

constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;
constexpr std::size_t kDefaultPage = 1000;
constexpr std::size_t kObjectShards = 16;

/// Silent requests that are kept open; older ones are let go.
constexpr std::size_t kMaxSilent = 10'000;

/// Which limit a call counts against.
enum class CallKind : std::uint8_t { kRead, kWrite, kList };

struct Counts {
  std::atomic<std::uint64_t> transactions{0};
  std::atomic<std::uint64_t> conflicts{0};
  std::atomic<std::uint64_t> rows_written{0};
  std::atomic<std::uint64_t> row_reads{0};
  std::atomic<std::uint64_t> page_reads{0};
  std::atomic<std::uint64_t> objects_written{0};
  std::atomic<std::uint64_t> object_reads{0};
  std::atomic<std::uint64_t> vm_lists{0};
  std::atomic<std::uint64_t> refused_by_rate{0};
  std::atomic<std::uint64_t> refused_down{0};
  std::atomic<std::uint64_t> answers_lost{0};
  std::atomic<std::uint64_t> never_answered{0};
};

/// The objects, in shards by name, each under its own lock.
class ObjectShards {
 public:
  void Put(const std::string& name, std::string bytes) {
    auto& shard = ShardOf(name);
    const std::lock_guard lock(shard.mutex);
    shard.objects[name] = std::move(bytes);
  }

  std::optional<std::string> Find(const std::string& name) {
    auto& shard = ShardOf(name);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.objects.find(name);
    if (it == shard.objects.end()) return std::nullopt;
    return it->second;
  }

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_map<std::string, std::string> objects;
  };

  Shard& ShardOf(const std::string& name) {
    return shards_[std::hash<std::string>()(name) % kObjectShards];
  }

  std::array<Shard, kObjectShards> shards_;
};

Response JsonWithStatus(int status, const json::value& value) {
  auto out = JsonAnswer(value);
  out.status = status;
  return out;
}

Response MakeNotFound(std::string_view what) {
  return http::MakeProblem(404, "not-found", "Not found", what);
}

Response MakeNoEffect() {
  auto out = JsonWithStatus(503, {{"effect", "none"}});
  out.headers.Set("Retry-After", "1");
  return out;
}

/// The number in `text`, or `otherwise` when it is empty or none.
std::size_t NumberOr(std::string_view text, std::size_t otherwise) {
  std::size_t out = otherwise;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

bool IsPath(const Target& target, std::string_view first,
            std::string_view second) {
  return target.segments.size() >= 2 && target.segments[0] == first &&
         target.segments[1] == second;
}

CallKind KindOf(const Request& request, const Target& target) {
  if (!target.segments.empty() && target.segments[0] == "vms") {
    return CallKind::kList;
  }
  return request.method == "GET" ? CallKind::kRead : CallKind::kWrite;
}

}  // namespace

class PlatformServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, const PlatformOptions& options)
      : io_(io), writes_(options.writes_per_s), reads_(options.reads_per_s) {}

  void Open(const PlatformOptions& options) {
    server_ = MakeServer(options.endpoint, &Impl::Receive);
    fault_server_ = MakeServer(options.fault_endpoint, &Impl::ReceiveFault);
    server_->Start();
    fault_server_->Start();
  }

  void Close() {
    Clear();
    server_.reset();
    fault_server_.reset();
  }

  http::Endpoint endpoint() const { return server_->endpoint(); }
  http::Endpoint fault_endpoint() const { return fault_server_->endpoint(); }

  void Apply(PlatformFault fault, base::Duration time, double share) {
    if (fault == PlatformFault::kNone) return Clear();
    if (fault == PlatformFault::kStaleVms) {
      const std::lock_guard lock(vms_mutex_);
      stale_vms_ = vms_;
    }
    faults_.Set(fault, time, share);
  }

  void Drain(std::function<void()> done) {
    Clear();
    server_->Drain([self = shared_from_this(), done = std::move(done)] {
      self->fault_server_->Drain(done);
    });
  }

 private:
  using Receiver = void (Impl::*)(const ExchangePtr&);

  std::unique_ptr<http::Server> MakeServer(const http::Endpoint& endpoint,
                                           Receiver receive) {
    http::ServerLimits limits;
    limits.max_body_bytes = kMaxBodyBytes;
    return std::make_unique<http::Server>(
        io_, endpoint, limits,
        [weak = weak_from_this(), receive](const ExchangePtr& exchange) {
          if (const auto self = weak.lock()) ((*self).*receive)(exchange);
        });
  }

  // Faults of a call, then the call.

  void Receive(const ExchangePtr& exchange) {
    if (faults_.Hits(PlatformFault::kSilent)) return KeepSilent(exchange);
    if (!faults_.Hits(PlatformFault::kSlow)) return Serve(exchange);
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, faults_.TimeOf(PlatformFault::kSlow));
    timer->async_wait([self = shared_from_this(), timer,
                       exchange](const boost::system::error_code&) {
      self->Serve(exchange);
    });
  }

  void KeepSilent(const ExchangePtr& exchange) {
    ++counts_.never_answered;
    const std::lock_guard lock(silent_mutex_);
    if (silent_.size() >= kMaxSilent) silent_.clear();
    silent_.push_back(exchange);
  }

  void Serve(const ExchangePtr& exchange) {
    const auto& request = exchange->request();
    const auto target = http::ParseTarget(request.target);
    if (faults_.Hits(PlatformFault::kDown)) {
      ++counts_.refused_down;
      return exchange->Respond(MakeNoEffect());
    }
    if (!IsWithinRate(KindOf(request, target))) {
      ++counts_.refused_by_rate;
      return exchange->Respond(MakeNoEffect());
    }
    auto response = Answer(request, target);
    if (faults_.Hits(PlatformFault::kLoseAnswers)) return Lose(exchange);
    exchange->Respond(std::move(response));
  }

  /// A stream that is dropped before its end breaks the connection.
  void Lose(const ExchangePtr& exchange) {
    ++counts_.answers_lost;
    exchange->StartStream({});
  }

  bool IsWithinRate(CallKind kind) {
    const auto now = TokenBucket::Clock::now();
    if (kind == CallKind::kList) return true;
    return kind == CallKind::kRead ? reads_.TryTake(now) : writes_.TryTake(now);
  }

  Response Answer(const Request& request, const Target& target) {
    const bool is_get = request.method == "GET";
    if (IsPath(target, "table", "transactions") && request.method == "POST") {
      return Commit(request);
    }
    if (IsPath(target, "table", "rows") && is_get) return ReadTable(target);
    const bool is_object =
        target.segments.size() == 2 && target.segments[0] == "objects";
    if (is_object && is_get) return ReadObject(target.segments[1]);
    if (is_object && request.method == "PUT") {
      return WriteObject(target.segments[1], request);
    }
    if (target.path == "/vms" && is_get) return ListVms();
    return MakeNotFound(request.method + " " + target.path);
  }

  Response Commit(const Request& request) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<Response> {
          BOOST_LEAF_AUTO(transaction, ParseTransaction(request.body));
          return CommitParsed(transaction);
        },
        [](const TransactionError& error) {
          return http::MakeProblem(400, "transaction", "Bad transaction",
                                   error.detail);
        },
        [] {
          return http::MakeProblem(400, "transaction", "Bad transaction",
                                   "not understood");
        });
  }

  Response CommitParsed(const store::Transaction& transaction) {
    ++counts_.transactions;
    const auto outcome = rows_.Apply(transaction);
    if (const auto* conflict = std::get_if<store::Conflict>(&outcome)) {
      ++counts_.conflicts;
      return JsonWithStatus(409, ObjectOf(*conflict));
    }
    counts_.rows_written += transaction.writes.size();
    return JsonAnswer(ObjectOf(std::get<store::Committed>(outcome)));
  }

  Response ReadTable(const Target& target) {
    if (target.segments.size() == 3) return ReadRow(target.segments[2]);
    ++counts_.page_reads;
    const auto limit = NumberOr(target.Query("limit"), kDefaultPage);
    const auto page = rows_.Page(std::string(target.Query("prefix")),
                                 std::string(target.Query("after")), limit);
    return JsonAnswer(ObjectOf(page));
  }

  Response ReadRow(const std::string& key) {
    ++counts_.row_reads;
    const auto row = rows_.Find(key);
    if (!row) return MakeNotFound(key);
    return JsonAnswer(ObjectOf(*row));
  }

  Response ReadObject(const std::string& name) {
    ++counts_.object_reads;
    auto bytes = objects_.Find(name);
    if (!bytes) return MakeNotFound(name);
    Response out;
    out.headers.Set("Content-Type", "application/octet-stream");
    out.body = std::move(*bytes);
    return out;
  }

  Response WriteObject(const std::string& name, const Request& request) {
    ++counts_.objects_written;
    objects_.Put(name, request.body);
    return {};
  }

  Response ListVms() {
    ++counts_.vm_lists;
    const bool is_stale = faults_.Hits(PlatformFault::kStaleVms);
    const std::lock_guard lock(vms_mutex_);
    Response out;
    out.headers.Set("Content-Type", "application/json");
    out.body = store::SerializeVms(is_stale ? stale_vms_ : vms_);
    return out;
  }

  // The fault port.

  void ReceiveFault(const ExchangePtr& exchange) {
    exchange->Respond(AnswerFault(exchange->request()));
  }

  Response AnswerFault(const Request& request) {
    const auto path = http::ParseTarget(request.target).path;
    if (path == "/faults" && request.method == "POST") {
      return SetFault(request.body);
    }
    if (path == "/vms" && request.method == "PUT") return SetVms(request.body);
    if (path == "/stats" && request.method == "GET") {
      return JsonAnswer(Stats());
    }
    return MakeNotFound(request.method + " " + path);
  }

  Response SetFault(const std::string& body) {
    return AnswerFaultRequest<PlatformFault>(
        body, "service", [&](PlatformFault fault, const FaultRequest& request) {
          if (!request.target.empty()) return false;
          Apply(fault, request.time, ShareIn(body));
          return true;
        });
  }

  /// The `share` of a fault request that has been found to be an object.
  static double ShareIn(const std::string& body) {
    const auto value = json::parse(body);
    const auto* share = value.as_object().if_contains("share");
    boost::system::error_code ec;
    if (share == nullptr) return 1;
    const auto out = share->to_number<double>(ec);
    return ec ? 1 : std::clamp(out, 0.0, 1.0);
  }

  Response SetVms(const std::string& body) {
    auto vms = store::ParseVms(body);
    if (!vms || vms->unreadable > 0) {
      return BadFaultRequest("not a list of VMs");
    }
    const std::lock_guard lock(vms_mutex_);
    vms_ = std::move(vms->vms);
    return JsonAnswer({{"vms", vms_.size()}});
  }

  json::object Stats() const {
    json::object out;
    out["transactions"] = counts_.transactions.load();
    out["conflicts"] = counts_.conflicts.load();
    out["rows_written"] = counts_.rows_written.load();
    out["row_reads"] = counts_.row_reads.load();
    out["page_reads"] = counts_.page_reads.load();
    out["objects_written"] = counts_.objects_written.load();
    out["object_reads"] = counts_.object_reads.load();
    out["vm_lists"] = counts_.vm_lists.load();
    out["refused_by_rate"] = counts_.refused_by_rate.load();
    out["refused_down"] = counts_.refused_down.load();
    out["answers_lost"] = counts_.answers_lost.load();
    out["never_answered"] = counts_.never_answered.load();
    out["rows"] = rows_.size();
    return out;
  }

  void Clear() {
    faults_.Clear();
    std::vector<ExchangePtr> silent;
    const std::lock_guard lock(silent_mutex_);
    silent.swap(silent_);
  }

  asio::io_context& io_;
  TokenBucket writes_;
  TokenBucket reads_;
  RowStore rows_;
  ObjectShards objects_;
  PlatformFaults faults_;
  Counts counts_;
  std::mutex vms_mutex_;
  std::vector<store::Vm> vms_;
  std::vector<store::Vm> stale_vms_;
  std::mutex silent_mutex_;
  std::vector<ExchangePtr> silent_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<http::Server> fault_server_;
};

PlatformServer::PlatformServer(asio::io_context& io,
                               const PlatformOptions& options)
    : impl_(std::make_shared<Impl>(io, options)) {
  impl_->Open(options);
}

PlatformServer::~PlatformServer() { impl_->Close(); }

http::Endpoint PlatformServer::endpoint() const { return impl_->endpoint(); }

http::Endpoint PlatformServer::fault_endpoint() const {
  return impl_->fault_endpoint();
}

void PlatformServer::Apply(PlatformFault fault, base::Duration time,
                           double share) {
  impl_->Apply(fault, time, share);
}

void PlatformServer::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

}  // namespace lapishatch::standins
