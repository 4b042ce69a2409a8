#include "world.h"

#include <signal.h>
#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace review {
namespace {

namespace beast = boost::beast;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxRowBytes = 65'536;
constexpr std::size_t kMaxTransactionBytes = 1'000'000;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxRows = 500;
constexpr std::int64_t kReadMs = 4;
constexpr std::int64_t kTransactionMs = 8;
/// 150 transactions a second for each part, one after another.
constexpr std::int64_t kPartMs = 7;
constexpr std::int64_t kMaxPartWaitMs = 1'000;

constexpr std::int64_t kHeartbeatMs = 1'500;
constexpr std::int64_t kMaxHoldMs = 6'000;
constexpr std::int64_t kStopMs = 150;
constexpr std::int64_t kRestoreMs = 100;
constexpr std::int64_t kCheckpointMs = 2'000;
/// When a task that lasts is at work.
constexpr std::int64_t kStartupMs = 300;
constexpr std::int64_t kGangTimeoutMs = 3'000;
constexpr std::size_t kMaxListedEnds = 500;

constexpr const char* kService = "levantamento";
constexpr const char* kHost = "jobs.example";
constexpr const char* kPrefix = "/jobs/";
constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";

tcp::endpoint Loopback(std::uint16_t port) {
  return {asio::ip::make_address_v4("127.0.0.1"), port};
}

std::string ToBase64(const std::string& text) {
  std::string out(beast::detail::base64::encoded_size(text.size()), '\0');
  out.resize(
      beast::detail::base64::encode(out.data(), text.data(), text.size()));
  return out;
}

/// Bytes that a base64 text stands for.
std::size_t DecodedSize(const std::string& text) {
  const auto padding =
      std::count(text.end() - std::min<std::ptrdiff_t>(2, std::ssize(text)),
                 text.end(), '=');
  return text.size() / 4 * 3 - static_cast<std::size_t>(padding);
}

std::string Str(const json::value& value) {
  return {value.as_string().data(), value.as_string().size()};
}

std::string TextOr(const json::object& object, const char* key,
                   const std::string& other) {
  const auto* value = object.if_contains(key);
  return value == nullptr ? other : Str(*value);
}

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      out += text[i];
      continue;
    }
    out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
    i += 2;
  }
  return out;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> out;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return out;
  std::istringstream text(target.substr(mark + 1));
  std::string field;
  while (std::getline(text, field, '&')) {
    const auto at = field.find('=');
    if (at == std::string::npos) continue;
    out[field.substr(0, at)] = PercentDecode(field.substr(at + 1));
  }
  return out;
}

std::string Field(const std::map<std::string, std::string>& query,
                  const std::string& key, const std::string& other = "") {
  const auto it = query.find(key);
  return it == query.end() ? other : it->second;
}

HttpResponse MakeResponse(int status, const json::object& body) {
  HttpResponse out;
  out.version(11);
  out.result(static_cast<unsigned>(status));
  out.set(http::field::content_type, "application/json");
  out.body() = json::serialize(body);
  out.prepare_payload();
  return out;
}

/// A free port for another process. It lies below the ports that the system
/// gives out, in a range of its own for each of the scripts that run at once.
std::uint16_t FreePort(asio::io_context& io) {
  constexpr int kFirst = 12'000;
  constexpr int kRanges = 800;
  constexpr int kPerRange = 20;
  static int next = kFirst + getpid() % kRanges * kPerRange;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(next++);
    tcp::acceptor acceptor(io);
    acceptor.open(tcp::v4());
    boost::system::error_code taken;
    acceptor.bind(Loopback(port), taken);
    if (!taken) return port;
  }
}

}  // namespace

std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) std::fclose(file_);
}

void Record::Write(const std::string& line) {
  if (file_ == nullptr) return;
  std::fprintf(file_, "%8.3f %s\n", static_cast<double>(NowMs()) / 1e3,
               line.c_str());
  std::fflush(file_);
}

awaitable<void> Sleep(std::int64_t ms) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(ms));
  co_await timer.async_wait(use_awaitable);
}

// HttpServer.

HttpServer::HttpServer(asio::io_context& io, Handler handler)
    : acceptor_(io, Loopback(0)),
      handler_(std::move(handler)),
      port_(acceptor_.local_endpoint().port()) {
  asio::co_spawn(io, Accept(), asio::detached);
}

awaitable<void> HttpServer::Accept() {
  for (;;) {
    auto socket = co_await acceptor_.async_accept(use_awaitable);
    asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                   asio::detached);
  }
}

awaitable<void> HttpServer::Serve(tcp::socket socket) {
  beast::flat_buffer buffer;
  error_code ec;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(4 * 1024 * 1024);
    co_await http::async_read(socket, buffer, parser,
                              asio::redirect_error(use_awaitable, ec));
    if (ec) co_return;
    const bool keeps = parser.get().keep_alive();
    auto response = co_await handler_(parser.release());
    // Status 0: no answer, the connection stays silent.
    if (response.body() == "silent") {
      co_await Sleep(120'000);
      co_return;
    }
    response.keep_alive(keeps);
    co_await http::async_write(socket, response,
                               asio::redirect_error(use_awaitable, ec));
    if (ec || !keeps) co_return;
  }
}

// Store.

Store::Store(asio::io_context& io, Record& record, std::size_t callers)
    : io_(io), record_(record) {
  for (std::size_t i = 0; i < callers; ++i) {
    servers_.push_back(
        std::make_unique<HttpServer>(io, [this, i](HttpRequest request) {
          return Handle(std::move(request), i);
        }));
  }
}

void Store::SetDown(bool is_down) {
  is_down_ = is_down;
  record_.Write(is_down ? "store: down, 503" : "store: back");
  WakeFeeds();
}

awaitable<HttpResponse> Store::Handle(HttpRequest request, std::size_t caller) {
  const std::string target(request.target());
  const auto path = target.substr(0, target.find('?'));
  const auto query = QueryOf(target);
  if (is_down_) {
    co_await Sleep(kReadMs);
    co_return MakeResponse(503, {});
  }
  if (path == "/v1/rows-tx")
    co_return co_await Transact(request.body(), caller);
  if (path == "/v1/rows-feed") co_return co_await Feed(query);
  co_await Sleep(kReadMs);
  if (path == "/v1/rows-get") co_return Range(query);
  if (path == "/v1/rows-parts") co_return Parts(query);
  co_return MakeResponse(404, {});
}

awaitable<HttpResponse> Store::Transact(std::string body, std::size_t caller) {
  json::object transaction;
  try {
    transaction = json::parse(body).as_object();
  } catch (const std::exception&) {
    co_return MakeResponse(400, {{"reason", "malformed"}});
  }
  const auto list = [&transaction](const char* key) {
    const auto* value = transaction.if_contains(key);
    return value == nullptr ? json::array() : value->as_array();
  };
  const auto conditions = list("expected-rev");
  const auto puts = list("put");
  const auto removals = list("remove");
  const auto address = [](const json::value& value) {
    const auto& row = value.as_object();
    return Address(Str(row.at("table")), TextOr(row, "part", ""),
                   Str(row.at("key")));
  };
  const auto entries = conditions.size() + puts.size() + removals.size();
  if (entries == 0 || entries > kMaxEntries ||
      body.size() > kMaxTransactionBytes) {
    co_return MakeResponse(400, {{"reason", "size"}});
  }
  std::set<std::string> parts;
  for (const auto* entry : {&conditions, &puts, &removals}) {
    for (const auto& it : *entry) parts.insert(std::get<1>(address(it)));
  }
  if (parts.size() > 1) co_return MakeResponse(400, {{"reason", "parts"}});
  for (const auto* entry : {&puts, &removals}) {
    for (const auto& it : *entry) {
      const auto table = std::get<0>(address(it));
      if (table == "op" || table == "servers") co_return MakeResponse(403, {});
    }
  }
  for (const auto& it : puts) {
    const auto size = DecodedSize(Str(it.as_object().at("value")));
    largest_value_ = std::max(largest_value_, size);
    if (size <= kMaxRowBytes) continue;
    ++oversized_;
    record_.Write("store: refused a row of " + std::to_string(size) +
                  " bytes, key " + std::get<2>(address(it)) + ", with " +
                  std::to_string(puts.size()) + " rows in its transaction");
    co_return MakeResponse(400, {{"reason", "row"}});
  }
  auto& busy_until = busy_until_[*parts.begin()];
  const auto now = NowMs();
  if (busy_until - now > kMaxPartWaitMs) co_return MakeResponse(429, {});
  busy_until = std::max(busy_until, now) + kPartMs;
  co_await Sleep(std::max(busy_until - now, kTransactionMs));
  bool holds = true;
  for (const auto& it : conditions) {
    const auto row = rows_.find(address(it));
    const auto present = row == rows_.end() ? 0 : row->second.version;
    const auto expected =
        it.as_object().at("row-version").to_number<std::uint64_t>();
    if (present != expected) holds = false;
  }
  if (!holds) {
    json::array rows;
    for (const auto& it : conditions) {
      const auto at = address(it);
      const auto row = rows_.find(at);
      if (row == rows_.end()) continue;
      rows.push_back(json::object{{"table", std::get<0>(at)},
                                  {"part", std::get<1>(at)},
                                  {"key", std::get<2>(at)},
                                  {"value", row->second.value},
                                  {"row-version", row->second.version}});
    }
    co_return MakeResponse(
        412, {{"rows", rows}, {"row-version", version_}, {"now-ms", NowMs()}});
  }
  const auto version = ++version_;
  if (!conditions.empty()) last_writer_ = caller;
  for (const auto& it : puts) {
    const auto value = Str(it.as_object().at("value"));
    Apply(address(it), &value, version);
  }
  for (const auto& it : removals) Apply(address(it), nullptr, version);
  WakeFeeds();
  co_return MakeResponse(200, {{"row-version", version}, {"now-ms", NowMs()}});
}

void Store::Apply(const Address& address, const std::string* value,
                  std::uint64_t version) {
  if (value == nullptr) {
    if (rows_.erase(address) == 0) return;
    changes_.push_back({version, address, true, ""});
    return;
  }
  rows_[address] = {*value, version};
  changes_.push_back({version, address, false, *value});
}

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  const auto encoded = ToBase64(value);
  Apply({table, "", key}, &encoded, ++version_);
  WakeFeeds();
}

void Store::Remove(const std::string& table, const std::string& key) {
  Apply({table, "", key}, nullptr, ++version_);
  WakeFeeds();
}

void Store::WakeFeeds() {
  for (auto* it : feeds_) it->cancel();
}

awaitable<HttpResponse> Store::Feed(std::map<std::string, std::string> query) {
  const auto table = Field(query, "table");
  const auto after = std::stoull(Field(query, "after", "0"));
  const auto until = NowMs() + std::stoll(Field(query, "wait-ms", "0"));
  co_await Sleep(kReadMs);
  for (;;) {
    if (is_down_) co_return MakeResponse(503, {});
    json::array rows;
    auto version = version_;
    const auto first = std::upper_bound(
        changes_.begin(), changes_.end(), after,
        [](std::uint64_t v, const Change& it) { return v < it.version; });
    for (auto it = first; it != changes_.end(); ++it) {
      if (std::get<0>(it->address) != table) continue;
      if (rows.size() >= kMaxRows && it->version != version) break;
      json::object row{{"table", table},
                       {"part", std::get<1>(it->address)},
                       {"key", std::get<2>(it->address)},
                       {"row-version", it->version}};
      if (it->is_deleted) {
        row["deleted"] = true;
      } else {
        row["value"] = it->value;
      }
      rows.push_back(std::move(row));
      if (rows.size() >= kMaxRows) version = it->version;
    }
    const auto left = until - NowMs();
    if (!rows.empty() || left <= 0) {
      co_return MakeResponse(
          200, {{"rows", rows}, {"row-version", version}, {"now-ms", NowMs()}});
    }
    asio::steady_timer timer(io_, std::chrono::milliseconds(left));
    feeds_.insert(&timer);
    error_code ec;
    co_await timer.async_wait(asio::redirect_error(use_awaitable, ec));
    feeds_.erase(&timer);
  }
}

HttpResponse Store::Range(
    const std::map<std::string, std::string>& query) const {
  const auto table = Field(query, "table");
  const auto part = Field(query, "part");
  const auto until = Field(query, "target");
  const auto limit =
      std::min<std::size_t>(std::stoul(Field(query, "limit", "500")), kMaxRows);
  json::array rows;
  bool has_more = false;
  std::size_t bytes = 0;
  for (auto it = rows_.lower_bound({table, part, Field(query, "from")});
       it != rows_.end(); ++it) {
    const auto& [row_table, row_part, key] = it->first;
    if (row_table != table || row_part != part) break;
    if (!until.empty() && key >= until) break;
    bytes += it->second.value.size();
    if (rows.size() >= limit || bytes > kMaxTransactionBytes) {
      has_more = true;
      break;
    }
    rows.push_back(json::object{{"table", table},
                                {"part", part},
                                {"key", key},
                                {"value", it->second.value},
                                {"row-version", it->second.version}});
  }
  return MakeResponse(200, {{"rows", rows},
                            {"has-more", has_more},
                            {"row-version", version_},
                            {"now-ms", NowMs()}});
}

HttpResponse Store::Parts(
    const std::map<std::string, std::string>& query) const {
  const auto table = Field(query, "table");
  const auto after = Field(query, "after");
  std::set<std::string> parts;
  for (const auto& [address, row] : rows_) {
    if (std::get<0>(address) != table) continue;
    if (std::get<1>(address) > after) parts.insert(std::get<1>(address));
  }
  json::array out;
  for (const auto& it : parts) out.emplace_back(it);
  return MakeResponse(200, {{"parts", out},
                            {"has-more", false},
                            {"row-version", version_},
                            {"now-ms", NowMs()}});
}

// Runner.

Runner::Runner(asio::io_context& io, Store& store, RunLog& log, Record& record,
               std::string id, std::string zone, std::string rack, Shape shape,
               bool saves, std::int64_t order_ms)
    : store_(store),
      log_(log),
      record_(record),
      id_(std::move(id)),
      zone_(std::move(zone)),
      rack_(std::move(rack)),
      shape_(shape),
      saves_(saves),
      order_ms_(order_ms),
      server_(io, [this](HttpRequest request) {
        return Handle(std::move(request));
      }) {}

awaitable<void> Runner::Live() {
  for (;;) {
    Tick();
    Register();
    co_await Sleep(10);
  }
}

awaitable<void> Runner::Crash(std::int64_t down_ms) {
  is_cut_ = true;
  record_.Write("runner " + id_ + " crashes with " +
                std::to_string(running_.size()) + " tasks");
  for (const auto& [task, run] : running_) {
    log_.ends.push_back({task, run.run, id_, NowMs(), "crashed"});
  }
  running_.clear();
  highest_ended_.clear();
  ended_.clear();
  ends_ = 0;
  fence_ = 0;
  lease_until_ms_ = 0;
  const auto former = id_;
  id_ += "b";
  co_await Sleep(std::max(down_ms, 3 * kHeartbeatMs));
  store_.Remove("servers", former);
  is_cut_ = false;
  record_.Write("runner " + former + " is back as " + id_);
}

void Runner::Register() {
  const auto now = NowMs();
  if (store_.is_down()) {
    // The entry expires after three heartbeats that the store did not get.
    store_back_at_ms_ = 0;
    if (!is_expired_ && now - registered_at_ms_ > 3 * kHeartbeatMs) {
      is_expired_ = true;
      store_.Remove("servers", id_);
    }
    return;
  }
  if (is_cut_ || now - registered_at_ms_ < kHeartbeatMs) return;
  if (is_expired_) {
    if (store_back_at_ms_ == 0) store_back_at_ms_ = now;
    if (now - store_back_at_ms_ < return_delay_ms_) return;
    is_expired_ = false;
  }
  registered_at_ms_ = now;
  json::object out{{"service", kService},
                   {"address", "127.0.0.1:" + std::to_string(server_.port())},
                   {"zone", zone_},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"cold-left-ms", 0},
                   {"capacity", json::object{{"cpu", shape_.cpu},
                                             {"mem-mb", shape_.memory_mb},
                                             {"gpu", shape_.gpu}}},
                   {"labels", json::array{"a", rack_}},
                   {"clock-ms", NowMs()},
                   {"seq", ++sequence_}};
  store_.Put("servers", id_, json::serialize(out));
}

GangRun& Runner::GangOf(const std::string& task, int run) {
  return log_.gangs[{task.substr(0, task.rfind('.')), run}];
}

std::int64_t Runner::WorkedMs(const std::string& task, const Run& run) {
  auto from = run.started_ms;
  if (run.gang_size > 0) {
    from = GangOf(task, run.run).began_at_ms;
    if (from == 0) return run.resumed_ms;
  }
  return NowMs() - from + run.resumed_ms;
}

std::string Runner::EndOf(const std::string& task, const Run& run) {
  const auto now = NowMs();
  if (now > lease_until_ms_) return "lapsed";
  if (run.stop_at_ms > 0 && now >= run.stop_at_ms) return "stopped";
  if (run.gang_size > 0) {
    const auto& gang = GangOf(task, run.run);
    if (gang.is_broken) return "broken";
    const bool is_alone =
        gang.began_at_ms == 0 && now - run.started_ms > kGangTimeoutMs;
    if (is_alone) return "alone";
  }
  const auto worked = WorkedMs(task, run);
  if (run.lasts) {
    const bool has_failed =
        run.fails_after_ms > 0 && worked >= run.fails_after_ms;
    return has_failed ? "failed" : "";
  }
  return worked >= run.work_ms ? "done" : "";
}

void Runner::Tick() {
  std::vector<std::pair<std::string, std::string>> over;
  for (auto& [task, run] : running_) {
    const auto saved = WorkedMs(task, run) / kCheckpointMs * kCheckpointMs;
    if (saves_ && saved > 0) {
      char text[17];
      std::snprintf(text, sizeof text, "%016llx",
                    static_cast<unsigned long long>(saved));
      run.checkpoint = text;
    }
    const auto how = EndOf(task, run);
    if (!how.empty()) over.emplace_back(task, how);
  }
  for (const auto& [task, how] : over) EndRun(task, how);
}

void Runner::EndRun(const std::string& task, const std::string& how) {
  const auto it = running_.find(task);
  const auto run = it->second;
  running_.erase(it);
  if (run.gang_size > 0 && how != "done") {
    GangOf(task, run.run).is_broken = true;
  }
  highest_ended_[task] = std::max(highest_ended_[task], run.run);
  ended_.push_back({++ends_, task, run.run, how,
                    how == "done" ? std::string() : run.checkpoint});
  log_.ends.push_back({task, run.run, id_, NowMs(), how});
  record_.Write("runner " + id_ + ": " + task + " run " +
                std::to_string(run.run) + " ended " + how);
  for (auto* timer : holds_) timer->cancel();
}

HttpResponse Runner::Answer(int status, json::object body) const {
  body["clock-ms"] = NowMs();
  return MakeResponse(status, body);
}

bool Runner::IsStale(const json::object& order) {
  const auto* value = order.if_contains("fence");
  const auto fence = value == nullptr ? 0 : value->to_number<std::int64_t>();
  if (fence < fence_) return true;
  fence_ = fence;
  return false;
}

void Runner::ExtendLease(const json::object& order) {
  const auto* value = order.if_contains("expires-ms");
  if (value == nullptr) return;
  const auto until =
      std::min(value->to_number<std::int64_t>(), NowMs() + kMaxHoldMs);
  lease_until_ms_ = std::max(lease_until_ms_, until);
}

awaitable<HttpResponse> Runner::Handle(HttpRequest request) {
  HttpResponse silent;
  silent.body() = "silent";
  if (is_cut_) co_return silent;
  if (request["X-Expect-Instance"] != id_ &&
      request.count("X-Expect-Instance") > 0) {
    co_return Answer(421, {});
  }
  const std::string path(request.target());
  json::object order;
  try {
    order = json::parse(request.body()).as_object();
  } catch (const std::exception&) {
    co_return Answer(400, {});
  }
  HttpResponse out;
  Tick();
  if (path == "/v1/run-start") {
    out = StartTask(order);
    co_await Sleep(order_ms_);
  } else if (path == "/v1/run-stop") {
    out = StopTask(order);
    co_await Sleep(order_ms_);
  } else if (path == "/v1/hold") {
    out = co_await Hold(std::move(order));
  } else {
    out = Answer(404, {});
  }
  if (is_cut_) co_return silent;
  co_return out;
}

HttpResponse Runner::StartTask(const json::object& order) {
  const auto task = Str(order.at("task"));
  const auto run = order.at("run-id").to_number<int>();
  if (IsStale(order)) return Answer(409, {{"reason", "fence"}});
  if (order.at("expires-ms").to_number<std::int64_t>() < NowMs()) {
    return Answer(409, {{"reason", "late"}});
  }
  ExtendLease(order);
  const auto it = running_.find(task);
  if (it != running_.end()) {
    if (it->second.run == run) return Answer(200, {});
    return Answer(409, {{"reason", "old"}});
  }
  const auto ended = highest_ended_.find(task);
  if (ended != highest_ended_.end() && run <= ended->second) {
    return Answer(409, {{"reason", "old"}});
  }
  Run started;
  started.run = run;
  const auto spec = Str(order.at("spec"));
  started.lasts = spec.starts_with("L");
  if (started.lasts) {
    started.fails_after_ms = std::stoll(spec.substr(1));
  } else {
    started.work_ms = std::stoll(spec);
  }
  started.started_ms = NowMs();
  const auto slash = spec.find('/');
  if (slash != std::string::npos) {
    started.gang_size = std::stoul(spec.substr(slash + 1));
    auto& gang = GangOf(task, run);
    gang.present.insert(task);
    if (gang.present.size() == started.gang_size) gang.began_at_ms = NowMs();
  }
  const auto checkpoint = TextOr(order, "checkpoint", "");
  if (!checkpoint.empty()) {
    started.resumed_ms = std::stoll(checkpoint, nullptr, 16) - kRestoreMs;
    started.checkpoint = checkpoint;
  }
  running_[task] = started;
  log_.starts.push_back({task, run, id_, NowMs(), spec});
  record_.Write("runner " + id_ + ": " + task + " run " + std::to_string(run) +
                " started");
  return Answer(200, {});
}

HttpResponse Runner::StopTask(const json::object& order) {
  const auto task = Str(order.at("task"));
  const auto run = order.at("run-id").to_number<int>();
  if (IsStale(order)) return Answer(409, {{"reason", "fence"}});
  record_.Write("runner " + id_ + ": is told to stop " + task + " run " +
                std::to_string(run));
  const auto it = running_.find(task);
  if (it != running_.end() && it->second.run == run) {
    if (it->second.stop_at_ms == 0) it->second.stop_at_ms = NowMs() + kStopMs;
  } else {
    highest_ended_[task] = std::max(highest_ended_[task], run);
  }
  return Answer(200, {});
}

awaitable<HttpResponse> Runner::Hold(json::object order) {
  if (IsStale(order)) co_return Answer(409, {{"reason", "fence"}});
  ExtendLease(order);
  const auto seen = order.at("last-seen").to_number<std::uint64_t>();
  std::erase_if(ended_,
                [seen](const ListedEnd& it) { return it.number <= seen; });
  const auto* wait = order.if_contains("wait-ms");
  const auto until =
      NowMs() + (wait == nullptr ? 0 : wait->to_number<std::int64_t>());
  while (ended_.empty() && NowMs() < until) {
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(until - NowMs()));
    holds_.insert(&timer);
    error_code ec;
    co_await timer.async_wait(asio::redirect_error(use_awaitable, ec));
    holds_.erase(&timer);
  }
  json::array running;
  for (const auto& [task, run] : running_) {
    const auto worked = WorkedMs(task, run);
    const auto percent =
        run.lasts
            ? std::clamp<std::int64_t>(100 * worked / kStartupMs, 0, 100)
            : std::clamp<std::int64_t>(
                  100 * worked / std::max<std::int64_t>(run.work_ms, 1), 0, 99);
    running.push_back(json::array{task, run.run, run.checkpoint, percent, 0});
  }
  json::array ended;
  for (const auto& it : ended_) {
    if (ended.size() >= kMaxListedEnds) break;
    ended.push_back(
        json::array{it.number, it.task, it.run, it.how, it.checkpoint});
  }
  co_return Answer(200, {{"running", running}, {"ended", ended}});
}

// World.

World::World(asio::io_context& io, const std::string& folder,
             const std::string& record, WorldOptions options)
    : io_(io),
      folder_(folder),
      record_(record),
      store_(io, record_, static_cast<std::size_t>(options.sites)) {
  const std::vector<std::string> zones = {"caxias-hall", "passo-hall",
                                          "lages-hall"};
  PutConfiguration();
  for (int i = 0; i < options.runners; ++i) {
    char id[16];
    std::snprintf(id, sizeof id, "i-%08x", 0x7f3a0000 + i * 0x111);
    const auto& zone = zones[static_cast<std::size_t>(i) % zones.size()];
    runners_.push_back(std::make_unique<Runner>(
        io, store_, log_, record_, id, zone, "r1-" + std::to_string(i / 8),
        options.shape, options.saves, options.order_ms));
    asio::co_spawn(io, runners_.back()->Live(), asio::detached);
  }
  for (int i = 0; i < options.sites; ++i) {
    const auto& zone = zones[static_cast<std::size_t>(i) % zones.size()];
    Site site{"edge-" + zone + "-" + std::to_string(i / 3 + 1), zone,
              FreePort(io), FreePort(io), FreePort(io)};
    WriteSettings(site, store_.port(static_cast<std::size_t>(i)));
    sites_.push_back(site);
  }
  std::ofstream(folder_ + "/sites") << [this] {
    std::string out;
    for (const auto& it : sites_) out += it.node + "\n";
    return out;
  }();
  std::ofstream(folder_ + "/world-ready") << "ready\n";
}

void World::PutConfiguration() {
  json::object route{{"name", "r-jobs"},    {"host", kHost},
                     {"prefix", kPrefix},   {"kind", "non_idempotent"},
                     {"timeout-ms", 3'000}, {"target-latency-ms", 3'000},
                     {"priority", 1},       {"service", kService},
                     {"max-attempts", 3},   {"slack-factor", 3.0},
                     {"public", false}};
  json::object service{{"name", kService}, {"health-path", "/health"},
                       {"max-conns", 64},  {"protocol", "h1"},
                       {"tls", false},     {"admission-check", false},
                       {"standby", false}};
  json::object tenant{{"name", "kaje80"},
                      {"api-keys", json::array{kKey}},
                      {"priority", 1},
                      {"guaranteed", json::object{{"gpu", 72}}}};
  json::object limits{{"max-header-bytes", 16'384},
                      {"max-body-bytes", 262'144},
                      {"header-timeout-ms", 3'000},
                      {"idle-timeout-ms", 15'000}};
  json::object config{{"version", 7},
                      {"routes", json::array{route}},
                      {"services", json::array{service}},
                      {"limits", limits},
                      {"tenants", json::array{tenant}}};
  store_.Put("op", "config", json::serialize(config));
}

void World::WriteSettings(const Site& site, std::uint16_t store_port) const {
  const auto address = [](std::uint16_t port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
  };
  std::ofstream out(folder_ + "/" + site.node + ".toml");
  out << "node = \"" << site.node << "\"\n"
      << "role = \"site\"\nmachine-class = \"edge\"\nserves = [\"edge\"]\n"
      << "ip = \"127.0.0.1\"\nzone = \"" << site.zone << "\"\n"
      << "region = \"planalto-sul\"\nport-range = [0,0]\nseeds = []\n"
      << "bootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n"
      << "heartbeat-ms = 1500\ncontrol-mode = \"invoke\"\n"
      << "[listen-addrs]\nfront = " << address(site.front)
      << "\nready = " << address(site.ready)
      << "\ncontrol = " << address(site.control) << "\n"
      << "[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\n"
      << "max-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n"
      << "[bounds]\ncontact-ms = 3000\nack-ms = 4000\ndrain-ms = 2000\n"
      << "grace-s = 6\nconfig-apply-ms = 2000\nmax-stretch-ms = 5000\n"
      << "max-hold-ms = 6000\nstop-timeout-ms = 400\n"
      << "gang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
      << "early_ms = 250\nfinish_s = 14\nstatus_s = 120\n"
      << "remote-factor = 3\ncheckpoint-interval-s = 2\nrestore-ms = 100\n"
      << "lease-ms = 3000\nreclaim-ms = 2900\n"
      << "[platform]\naddress = " << address(store_port)
      << "\nform = \"table\"\nwrites-per-s = 800\nreads-per-s = 2000\n"
      << "txn-latency-ms = 8.0\npartition-writes-s = 150\n"
      << "max-row-bytes = 65536\ncross-shard = false\nretention-s = 20\n";
}

awaitable<Answer> World::Call(std::size_t site, std::string method,
                              std::string path, std::string body) {
  using namespace asio::experimental::awaitable_operators;
  const auto port = sites_[site].front;
  const auto call = [](std::uint16_t to, std::string verb, std::string target,
                       std::string text) -> awaitable<review::Answer> {
    review::Answer out;
    try {
      tcp::socket socket(co_await asio::this_coro::executor);
      co_await socket.async_connect(Loopback(to), use_awaitable);
      HttpRequest request;
      request.version(11);
      request.method_string(verb);
      request.target(kPrefix + target);
      request.set(http::field::host, kHost);
      request.set(http::field::authorization, std::string("Bearer ") + kKey);
      request.set(http::field::content_type, "application/json");
      request.set("X-Deadline-Ms", "3000");
      request.body() = text;
      request.prepare_payload();
      request.keep_alive(false);
      co_await http::async_write(socket, request, use_awaitable);
      beast::flat_buffer buffer;
      HttpResponse response;
      co_await http::async_read(socket, buffer, response, use_awaitable);
      out.status = static_cast<int>(response.result_int());
      out.body = response.body();
    } catch (const std::exception&) {
      out.status = 0;
    }
    co_return out;
  };
  auto result = co_await (call(port, method, path, body) || Sleep(3'000));
  if (auto* answer = std::get_if<0>(&result)) co_return *answer;
  co_return review::Answer{};
}

awaitable<bool> World::AwaitReady(std::int64_t ms) {
  const auto until = NowMs() + ms;
  while (NowMs() < until) {
    std::size_t ready = 0;
    for (std::size_t i = 0; i < sites_.size(); ++i) {
      const auto answer = co_await Call(i, "GET", "", "");
      if (answer.status == 200) ++ready;
    }
    if (ready == sites_.size()) co_return true;
    co_await Sleep(200);
  }
  record_.Write("not all VMs answer: the case can't run");
  co_return false;
}

awaitable<Answer> World::Submit(std::string id, std::string body) {
  review::Answer out;
  for (int i = 0; i < 5; ++i) {
    const auto site = next_site_++ % sites_.size();
    out = co_await Call(site, "POST", id, body);
    record_.Write("client: POST " + id + " " + body + " to " +
                  sites_[site].node + ": " + std::to_string(out.status));
    const bool is_over = out.status != 0 && out.status != 429 &&
                         out.status != 503 && out.status != 502 &&
                         out.status != 504;
    if (is_over) co_return out;
    co_await Sleep(1'000);
  }
  co_return out;
}

awaitable<std::string> World::StateOf(std::string id) {
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    const auto site = next_site_++ % sites_.size();
    const auto answer = co_await Call(site, "GET", id, "");
    if (answer.status == 410) co_return "unknown";
    if (answer.status != 200) continue;
    try {
      co_return Str(json::parse(answer.body).as_object().at("state"));
    } catch (const std::exception&) {
      continue;
    }
  }
  co_return "";
}

void World::Kill(std::size_t site) {
  std::ifstream file(folder_ + "/" + sites_[site].node + ".pid");
  pid_t pid = 0;
  if (!(file >> pid) || pid <= 1) return;
  record_.Write("kill " + sites_[site].node);
  ::kill(pid, SIGKILL);
}

int World::ExitsSeen() const {
  int out = 0;
  for (const auto& it : std::filesystem::directory_iterator(folder_)) {
    if (it.path().extension() != ".exits") continue;
    std::ifstream file(it.path());
    std::string line;
    while (std::getline(file, line)) ++out;
  }
  return out;
}

std::string JobBody(int tasks, std::int64_t ms, Shape needs, bool checkpointing,
                    bool is_gang) {
  auto spec = std::to_string(ms);
  json::object step{{"count", tasks},
                    {"cpu", needs.cpu},
                    {"mem-mb", needs.memory_mb},
                    {"estimate-ms", ms}};
  if (needs.gpu > 0) step["gpu"] = needs.gpu;
  if (checkpointing) step["checkpointing"] = true;
  if (is_gang) {
    step["gang"] = true;
    spec += "/" + std::to_string(tasks);
  }
  json::object out{{"spec", spec}, {"steps", json::array{step}}};
  return json::serialize(out);
}

std::string LastingJobBody(int tasks, std::int64_t ms, Shape needs) {
  json::object step{{"count", tasks},
                    {"cpu", needs.cpu},
                    {"mem-mb", needs.memory_mb},
                    {"long-running", true}};
  if (needs.gpu > 0) step["gpu"] = needs.gpu;
  return json::serialize(json::object{{"spec", "L" + std::to_string(ms)},
                                      {"steps", json::array{step}}});
}

std::string JobId(std::uint64_t n) {
  char out[17];
  std::snprintf(
      out, sizeof out, "%016llx",
      static_cast<unsigned long long>((n + 1) * 0x9e3779b97f4a7c15ULL));
  return out;
}

int RunScenario(asio::io_context& io,
                std::function<awaitable<int>()> scenario) {
  int out = 2;
  asio::co_spawn(io, scenario(), [&](std::exception_ptr error, int result) {
    try {
      if (error) std::rethrow_exception(error);
      out = result;
    } catch (const std::exception& e) {
      std::fprintf(stderr, "the scenario could not run: %s\n", e.what());
    }
    io.stop();
  });
  io.run();
  return out;
}

}  // namespace review
