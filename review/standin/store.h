#ifndef LAPISHATCH_REVIEW_STANDIN_STORE_H_
#define LAPISHATCH_REVIEW_STANDIN_STORE_H_

#include <boost/beast/core/detail/base64.hpp>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "http_server.h"
#include "record.h"

namespace review {

/// The platform's metadata store. Each process of the system has a port of its
/// own, so that the store knows who calls.
class Store {
 public:
  Store(asio::io_context& io, Record& record) : io_(io), record_(record) {}

  std::uint16_t Open(int caller) {
    servers_.push_back(
        std::make_unique<HttpServer>(io_, [this, caller](Request request) {
          return Handle(caller, std::move(request));
        }));
    return servers_.back()->port();
  }

  /// Writes a row as the operator or a runner does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    ++version_;
    Write({table, "", key}, Encode(value), false);
    Notify();
  }

  void Remove(const std::string& table, const std::string& key) {
    ++version_;
    Write({table, "", key}, "", true);
    Notify();
  }

  /// The caller whose write under a condition was done last; -1 for none.
  int last_conditional_writer() const { return last_writer_; }

  std::size_t oversized() const { return oversized_; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };

  struct Change {
    Key key;
    Row row;
  };

  static constexpr std::size_t kMaxRowBytes = 65'536;
  static constexpr std::size_t kMaxEntries = 100;
  static constexpr std::size_t kMaxBytes = 1'000'000;
  static constexpr std::size_t kMaxRows = 500;
  static constexpr std::int64_t kAnswerMs = 4;
  static constexpr std::int64_t kTransactionMs = 8;
  /// 150 transactions a second in one part, at most a second of them waiting.
  static constexpr double kPartMs = 1'000.0 / 150;
  static constexpr double kMaxPartWaitMs = 1'000;

  static std::string Encode(const std::string& value) {
    namespace base64 = beast::detail::base64;
    std::string out(base64::encoded_size(value.size()), '\0');
    out.resize(base64::encode(out.data(), value.data(), value.size()));
    return out;
  }

  static std::size_t DecodedSize(const std::string& text) {
    std::size_t out = text.size() / 4 * 3;
    if (text.ends_with("==")) return out - 2;
    if (text.ends_with("=")) return out - 1;
    return out;
  }

  void Write(const Key& key, std::string value, bool deleted) {
    const Row row{std::move(value), version_, deleted};
    if (deleted) {
      rows_.erase(key);
    } else {
      rows_[key] = row;
    }
    changes_.push_back({key, row});
  }

  void Notify() {
    for (auto* it : waiting_) it->cancel();
  }

  static json::object Encode(const Key& key, const Row& row) {
    json::object out;
    out["table"] = std::get<0>(key);
    out["part"] = std::get<1>(key);
    out["key"] = std::get<2>(key);
    out["row-version"] = row.version;
    if (row.deleted) {
      out["deleted"] = true;
    } else {
      out["value"] = row.value;
    }
    return out;
  }

  json::object Head() const {
    json::object out;
    out["row-version"] = version_;
    out["now-ms"] = NowMs();
    return out;
  }

  asio::awaitable<std::optional<Response>> Handle(int caller, Request request) {
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    co_await Sleep(kAnswerMs);
    if (path == "/v1/rows-tx") {
      co_return co_await Transact(caller, json::parse(request.body()));
    }
    if (path == "/v1/rows-get") co_return Get(target);
    if (path == "/v1/rows-feed") co_return co_await Feed(target);
    if (path == "/v1/rows-parts") co_return Parts(target);
    co_return MakeResponse(404, {});
  }

  static Key KeyOf(const json::value& it) {
    return {std::string(it.at("table").as_string()),
            std::string(it.at("part").as_string()),
            std::string(it.at("key").as_string())};
  }

  static std::string Problem(const json::array& conditions,
                             const json::array& puts,
                             const json::array& removals) {
    std::set<std::string> parts;
    std::size_t bytes = 0;
    std::string out;
    for (const auto* list : {&conditions, &puts, &removals}) {
      for (const auto& it : *list) parts.insert(std::get<1>(KeyOf(it)));
    }
    for (const auto& it : puts) {
      const std::string value(it.at("value").as_string());
      bytes += value.size();
      if (DecodedSize(value) > kMaxRowBytes) {
        out = "the value of " + std::get<2>(KeyOf(it)) + " has " +
              std::to_string(DecodedSize(value)) + " bytes, max-row-bytes is " +
              std::to_string(kMaxRowBytes);
      }
    }
    if (conditions.size() + puts.size() + removals.size() > kMaxEntries) {
      out = "too many entries";
    }
    if (bytes > kMaxBytes) out = "too many bytes";
    if (parts.size() > 1) out = "several parts";
    return out;
  }

  asio::awaitable<std::optional<Response>> Transact(int caller,
                                                    json::value body) {
    const auto conditions = body.at("expected-rev").as_array();
    const auto puts = body.at("put").as_array();
    const auto removals = body.at("remove").as_array();
    if (const auto problem = Problem(conditions, puts, removals);
        !problem.empty()) {
      ++oversized_;
      if (oversized_ <= kLoggedProblems) {
        record_.Add("store refuses a transaction of process " +
                    std::to_string(caller) + ": " + problem);
      }
      co_return MakeResponse(400, {{"problem", problem}});
    }
    const auto& first = !conditions.empty() ? conditions.front()
                        : !puts.empty()     ? puts.front()
                                            : removals.front();
    auto& free_at = part_free_at_[std::get<1>(KeyOf(first))];
    const auto now = static_cast<double>(NowMs());
    if (free_at - now > kMaxPartWaitMs) co_return MakeResponse(429, {});
    free_at = std::max(free_at, now) + kPartMs;
    const auto wait = static_cast<std::int64_t>(free_at - now);
    co_await Sleep(std::max(wait, kTransactionMs));
    json::array present;
    bool holds = true;
    for (const auto& it : conditions) {
      const auto row = rows_.find(KeyOf(it));
      const std::uint64_t version =
          row == rows_.end() ? 0 : row->second.version;
      if (row != rows_.end()) {
        present.push_back(Encode(row->first, row->second));
      }
      if (version != it.at("row-version").to_number<std::uint64_t>()) {
        holds = false;
      }
    }
    if (!holds) {
      auto out = Head();
      out["rows"] = std::move(present);
      co_return MakeResponse(412, out);
    }
    ++version_;
    for (const auto& it : puts) {
      Write(KeyOf(it), std::string(it.at("value").as_string()), false);
    }
    for (const auto& it : removals) {
      if (rows_.contains(KeyOf(it))) Write(KeyOf(it), "", true);
    }
    if (!conditions.empty()) last_writer_ = caller;
    Notify();
    co_return MakeResponse(200, Head());
  }

  static std::string Unescape(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] != '%') {
        out += text[i];
        continue;
      }
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    }
    return out;
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> out;
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto end = target.find('&', at + 1);
      const auto item = target.substr(at + 1, end - at - 1);
      const auto equals = item.find('=');
      if (equals != std::string::npos) {
        out[item.substr(0, equals)] = Unescape(item.substr(equals + 1));
      }
      at = end;
    }
    return out;
  }

  Response Get(const std::string& target) const {
    auto query = Query(target);
    auto limit = kMaxRows;
    if (query.contains("limit")) {
      limit = std::min<std::size_t>(limit, std::stoul(query["limit"]));
    }
    json::array rows;
    std::size_t bytes = 0;
    bool has_more = false;
    const Key from{query["table"], query["part"], query["from"]};
    for (auto it = rows_.lower_bound(from); it != rows_.end(); ++it) {
      const auto& [table, part, key] = it->first;
      if (table != query["table"] || part != query["part"]) break;
      if (query.contains("target") && key >= query["target"]) break;
      if (rows.size() >= limit || bytes > kMaxBytes) {
        has_more = true;
        break;
      }
      bytes += it->second.value.size();
      rows.push_back(Encode(it->first, it->second));
    }
    auto out = Head();
    out["rows"] = std::move(rows);
    out["has-more"] = has_more;
    return MakeResponse(200, out);
  }

  Response Parts(const std::string& target) const {
    auto query = Query(target);
    std::set<std::string> parts;
    for (const auto& [key, row] : rows_) {
      if (std::get<0>(key) == query["table"]) parts.insert(std::get<1>(key));
    }
    json::array list;
    for (const auto& it : parts) list.emplace_back(it);
    auto out = Head();
    out["parts"] = std::move(list);
    out["has-more"] = false;
    return MakeResponse(200, out);
  }

  asio::awaitable<std::optional<Response>> Feed(std::string target) {
    auto query = Query(target);
    const auto table = query["table"];
    const auto after = std::stoull(query["after"]);
    const auto until = NowMs() + std::stoll(query["wait-ms"]);
    while (true) {
      json::array rows;
      std::uint64_t as_of = version_;
      auto it = std::upper_bound(changes_.begin(), changes_.end(), after,
                                 [](std::uint64_t version, const Change& c) {
                                   return version < c.row.version;
                                 });
      for (; it != changes_.end(); ++it) {
        if (std::get<0>(it->key) != table) continue;
        // The rows of one transaction are not split.
        if (rows.size() >= kMaxRows && it->row.version != as_of) break;
        rows.push_back(Encode(it->key, it->row));
        as_of = it->row.version;
      }
      if (it == changes_.end()) as_of = version_;
      if (!rows.empty() || NowMs() >= until) {
        auto out = Head();
        out["rows"] = std::move(rows);
        out["row-version"] = as_of;
        co_return MakeResponse(200, out);
      }
      asio::steady_timer timer(io_, Millis(until - NowMs()));
      waiting_.insert(&timer);
      boost::system::error_code ec;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      waiting_.erase(&timer);
    }
  }

  static constexpr std::size_t kLoggedProblems = 5;

  asio::io_context& io_;
  Record& record_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::map<Key, Row> rows_;
  std::vector<Change> changes_;
  std::set<asio::steady_timer*> waiting_;
  std::map<std::string, double> part_free_at_;
  std::uint64_t version_ = 0;
  int last_writer_ = -1;
  std::size_t oversized_ = 0;
};

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_STORE_H_
