#ifndef LAPISHATCH_REVIEW_STANDIN_2_STORE_H_
#define LAPISHATCH_REVIEW_STANDIN_2_STORE_H_

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <list>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "clock.h"

namespace review {

namespace json = boost::json;

inline std::string ToText(const json::string& text) {
  return {text.data(), text.size()};
}

inline std::string Base64(const std::string& text) {
  std::string out(beast::detail::base64::encoded_size(text.size()), '\0');
  out.resize(
      beast::detail::base64::encode(out.data(), text.data(), text.size()));
  return out;
}

inline std::string Unbase64(const std::string& text) {
  std::string out(beast::detail::base64::decoded_size(text.size()), '\0');
  out.resize(beast::detail::base64::decode(out.data(), text.data(), text.size())
                 .first);
  return out;
}

/// The query of a target, decoded.
inline std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> out;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return out;
  std::string key;
  std::string text;
  const auto flush = [&] {
    if (!key.empty()) out[key] = text;
    key.clear();
    text.clear();
  };
  for (std::size_t i = mark + 1; i < target.size(); ++i) {
    const char c = target[i];
    if (c == '&') {
      flush();
    } else if (c == '=' && key.empty()) {
      key = std::exchange(text, "");
    } else if (c == '%' && i + 2 < target.size()) {
      text +=
          static_cast<char>(std::stoi(target.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += c;
    }
  }
  flush();
  return out;
}

/// The platform's store: linearizable rows in tables and parts, transactions
/// that a part takes one after another, and a feed of changes. Each process has
/// a link of its own. A row may have another value for each of them, which
/// stands for the paths on which each reaches a runner.
class Store {
 public:
  struct Options {
    Millis transaction_time{8};
    Millis read_time{4};
    std::size_t max_row_bytes = 65'536;
  };

  Store(Clock& clock, Record& record, Options options)
      : clock_(clock), record_(record), options_(options) {}

  Link& Serve() {
    const auto caller = links_.size();
    links_.push_back(std::make_unique<Link>(
        clock_.io(), [this, caller](const Request& request, Respond respond) {
          Handle(caller, request, std::move(respond));
        }));
    return *links_.back();
  }

  /// Writes a row, `values` one for each caller, or one for all.
  void Put(const std::string& table, const std::string& key,
           const std::vector<std::string>& values) {
    ++version_;
    Row row{table, "", key, {}, version_, false};
    for (const auto& it : values) row.values.push_back(Base64(it));
    Write(row);
    AnswerFeeds();
  }

  /// A write of a runner, which takes as long as a transaction.
  void PutByRunner(const std::string& table, const std::string& key,
                   const std::vector<std::string>& values) {
    clock_.After(factor_ * options_.transaction_time,
                 [this, table, key, values] { Put(table, key, values); });
  }

  void Remove(const std::string& table, const std::string& key) {
    if (rows_.erase({table, "", key}) == 0) return;
    ++version_;
    history_.push_back({table, "", key, {}, version_, true});
    AnswerFeeds();
  }

  /// The value of a row, decoded; empty if there is none.
  std::string ValueOf(const std::string& table, const std::string& part,
                      const std::string& key) const {
    const auto it = rows_.find({table, part, key});
    return it == rows_.end() ? "" : Unbase64(it->second.values.front());
  }

  /// Called for each row that a process writes.
  std::function<void(const std::string& table, const std::string& part,
                     const std::string& key, const std::string& value)>
      on_put;

  /// Each answer takes `factor` times as long.
  void SetSlow(int factor) {
    record_.Add("store: answers take " + std::to_string(factor) +
                " times as long");
    factor_ = factor;
  }

  /// While busy, the store refuses each call with 503: nothing is done.
  void SetBusy(bool is_busy) {
    record_.Add(is_busy ? "store: refuses all calls with 503"
                        : "store: serves all calls again");
    is_busy_ = is_busy;
    if (!is_busy) return;
    for (const auto& it : std::exchange(feeds_, {})) {
      if (!std::exchange(it->is_done, true)) it->respond(503, "{}");
    }
  }

  /// Feeds hear nothing for a second while changes are made; then the history
  /// is dropped and they are cut.
  void Compact() {
    record_.Add("store: feeds hear nothing for a second");
    is_silent_ = true;
    clock_.After(Millis(1'000), [this] {
      record_.Add("store: the history is dropped");
      is_silent_ = false;
      oldest_ = version_;
      for (const auto& it : std::exchange(feeds_, {})) {
        if (std::exchange(it->is_done, true)) continue;
        if (it->after < oldest_) {
          it->respond(410, "{}");
        } else {
          it->respond(503, "{}");
        }
      }
    });
  }

  /// From now on, the answers to transactions that write the row of `key` are
  /// lost, and each is performed `late` after it came, if its conditions still
  /// hold.
  void LoseAnswersTo(const std::string& key, Millis late) {
    lost_key_ = key;
    late_ = late;
  }
  void LoseNoMore() { lost_key_.clear(); }

  /// Number of transactions refused since a value was over `max_row_bytes`.
  int oversized() const { return oversized_; }

 private:
  using Address = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string table;
    std::string part;
    std::string key;
    std::vector<std::string> values;
    std::int64_t version = 0;
    bool is_deleted = false;
  };
  struct Feed {
    std::size_t caller = 0;
    std::string table;
    std::int64_t after = 0;
    Respond respond;
    bool is_done = false;
  };

  void Write(const Row& row) {
    rows_[{row.table, row.part, row.key}] = row;
    history_.push_back(row);
  }

  static json::object Encode(const Row& row, std::size_t caller) {
    json::object out;
    out["table"] = row.table;
    out["part"] = row.part;
    out["key"] = row.key;
    out["row-version"] = row.version;
    if (row.is_deleted) {
      out["deleted"] = true;
    } else {
      out["value"] = row.values[std::min(caller, row.values.size() - 1)];
    }
    return out;
  }

  json::object Body() const {
    json::object out;
    out["row-version"] = version_;
    out["now-ms"] = clock_.Now().count();
    return out;
  }

  void Handle(std::size_t caller, const Request& request, Respond respond) {
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    const auto query = QueryOf(target);
    if (is_busy_) return respond(503, "{}");
    if (path == "/v1/rows-tx") {
      return Transact(caller, request.body(), std::move(respond));
    }
    if (path == "/v1/rows-get") return Get(caller, query, respond);
    if (path == "/v1/rows-parts") return Parts(query, respond);
    if (path == "/v1/rows-feed") return Follow(caller, query, respond);
    respond(404, "{}");
  }

  void Transact(std::size_t caller, const std::string& text, Respond respond) {
    boost::system::error_code ec;
    const auto value = json::parse(text, ec);
    const auto* body = ec ? nullptr : value.if_object();
    if (body == nullptr) return respond(400, "{}");
    std::string part;
    std::size_t entries = 0;
    bool is_large = false;
    for (const char* name : {"expected-rev", "put", "remove"}) {
      const auto* list = body->if_contains(name);
      if (list == nullptr) continue;
      for (const auto& it : list->as_array()) {
        ++entries;
        if (const auto* p = it.as_object().if_contains("part")) {
          part = ToText(p->as_string());
        }
        const auto* v = it.as_object().if_contains("value");
        if (v == nullptr) continue;
        const auto size = Unbase64(ToText(v->as_string())).size();
        if (size <= options_.max_row_bytes) continue;
        is_large = true;
        record_.Add("store refuses a row of " + std::to_string(size) +
                    " bytes in part " + part + " with 400");
      }
    }
    if (is_large || entries > 100 || text.size() > 1'000'000) {
      ++oversized_;
      return respond(400, R"({"reason":"too large"})");
    }
    if (Writes(*body, lost_key_)) {
      record_.Add("store: the answer is lost, the transaction is performed " +
                  std::to_string(late_.count()) + " ms later");
      clock_.After(late_, [this, caller, object = *body] {
        Apply(caller, object, [this](int status, const std::string&) {
          record_.Add("store: the late transaction ends with " +
                      std::to_string(status));
        });
      });
      return;
    }
    const auto now = clock_.Now();
    auto& free_at = part_free_at_[part];
    free_at = std::max(free_at, now) + factor_ * options_.transaction_time;
    clock_.After(free_at - now, [this, caller, object = *body, respond] {
      Apply(caller, object, respond);
    });
  }

  static bool Writes(const json::object& body, const std::string& key) {
    const auto* list = body.if_contains("put");
    if (key.empty() || list == nullptr) return false;
    return std::any_of(
        list->as_array().begin(), list->as_array().end(), [&](const auto& it) {
          return ToText(it.as_object().at("key").as_string()) == key;
        });
  }

  static Address AddressOf(const json::object& it) {
    const auto* part = it.if_contains("part");
    return {ToText(it.at("table").as_string()),
            part == nullptr ? "" : ToText(part->as_string()),
            ToText(it.at("key").as_string())};
  }

  void Apply(std::size_t caller, const json::object& body,
             const Respond& respond) {
    json::array present;
    bool holds = true;
    if (const auto* list = body.if_contains("expected-rev")) {
      for (const auto& it : list->as_array()) {
        const auto row = rows_.find(AddressOf(it.as_object()));
        const auto version = row == rows_.end() ? 0 : row->second.version;
        if (row != rows_.end()) present.push_back(Encode(row->second, caller));
        const auto expected =
            it.as_object().at("row-version").to_number<std::int64_t>();
        holds = holds && version == expected;
      }
    }
    if (!holds) {
      auto out = Body();
      out["rows"] = std::move(present);
      return respond(412, json::serialize(out));
    }
    ++version_;
    if (const auto* list = body.if_contains("put")) {
      for (const auto& it : list->as_array()) {
        const auto& object = it.as_object();
        auto [table, part, key] = AddressOf(object);
        const auto text = ToText(object.at("value").as_string());
        Write({table, part, key, {text}, version_, false});
        if (on_put) on_put(table, part, key, Unbase64(text));
      }
    }
    if (const auto* list = body.if_contains("remove")) {
      for (const auto& it : list->as_array()) {
        auto address = AddressOf(it.as_object());
        if (rows_.erase(address) == 0) continue;
        auto& [table, part, key] = address;
        history_.push_back({table, part, key, {}, version_, true});
      }
    }
    respond(200, json::serialize(Body()));
    AnswerFeeds();
  }

  static std::string Text(const std::map<std::string, std::string>& query,
                          const char* key) {
    const auto it = query.find(key);
    return it == query.end() ? "" : it->second;
  }

  void Get(std::size_t caller, const std::map<std::string, std::string>& query,
           const Respond& respond) {
    const auto table = Text(query, "table");
    const auto part = Text(query, "part");
    const auto until = Text(query, "target");
    const auto limit_text = Text(query, "limit");
    const std::size_t limit =
        limit_text.empty() ? 500 : std::min(500UL, std::stoul(limit_text));
    json::array rows;
    bool has_more = false;
    std::size_t bytes = 0;
    for (auto it = rows_.lower_bound({table, part, Text(query, "from")});
         it != rows_.end(); ++it) {
      const auto& row = it->second;
      if (row.table != table || row.part != part) break;
      if (!until.empty() && row.key >= until) break;
      if (rows.size() == limit || bytes > 900'000) {
        has_more = true;
        break;
      }
      bytes += row.values.front().size();
      rows.push_back(Encode(row, caller));
    }
    auto out = Body();
    out["rows"] = std::move(rows);
    out["has-more"] = has_more;
    clock_.After(
        factor_ * options_.read_time,
        [respond, text = json::serialize(out)] { respond(200, text); });
  }

  void Parts(const std::map<std::string, std::string>& query,
             const Respond& respond) {
    const auto table = Text(query, "table");
    json::array parts;
    std::string last;
    for (const auto& [address, row] : rows_) {
      if (row.table != table || row.part <= Text(query, "after")) continue;
      if (!parts.empty() && row.part == last) continue;
      last = row.part;
      parts.emplace_back(last);
    }
    auto out = Body();
    out["parts"] = std::move(parts);
    out["has-more"] = false;
    respond(200, json::serialize(out));
  }

  void Follow(std::size_t caller,
              const std::map<std::string, std::string>& query,
              const Respond& respond) {
    const auto feed = std::make_shared<Feed>();
    feed->caller = caller;
    feed->table = Text(query, "table");
    feed->after = std::stoll(Text(query, "after"));
    feed->respond = respond;
    if (AnswerIfChanged(*feed)) return;
    feeds_.push_back(feed);
    const auto wait = Millis(std::stoll("0" + Text(query, "wait-ms")));
    clock_.After(wait, [this, feed] {
      if (is_silent_ || std::exchange(feed->is_done, true)) return;
      feeds_.remove(feed);
      auto out = Body();
      out["rows"] = json::array();
      feed->respond(200, json::serialize(out));
    });
  }

  bool AnswerIfChanged(Feed& feed) {
    if (is_silent_) return false;
    if (feed.after < oldest_) {
      feed.is_done = true;
      feed.respond(410, "{}");
      return true;
    }
    json::array rows;
    auto as_of = version_;
    std::size_t bytes = 0;
    const auto first = std::upper_bound(
        history_.begin(), history_.end(), feed.after,
        [](std::int64_t after, const Row& it) { return after < it.version; });
    std::int64_t last_version = 0;
    for (auto it = first; it != history_.end(); ++it) {
      if (it->table != feed.table) continue;
      const bool is_full = rows.size() >= 500 || bytes > 900'000;
      if (is_full && it->version != last_version) {
        as_of = last_version;
        break;
      }
      last_version = it->version;
      if (!it->is_deleted) bytes += it->values.front().size();
      rows.push_back(Encode(*it, feed.caller));
    }
    if (rows.empty()) return false;
    feed.is_done = true;
    auto out = Body();
    out["rows"] = std::move(rows);
    out["row-version"] = as_of;
    clock_.After(factor_ * options_.read_time,
                 [respond = feed.respond, text = json::serialize(out)] {
                   respond(200, text);
                 });
    return true;
  }

  void AnswerFeeds() {
    for (auto it = feeds_.begin(); it != feeds_.end();) {
      const auto feed = *it;
      it = AnswerIfChanged(*feed) ? feeds_.erase(it) : std::next(it);
    }
  }

  Clock& clock_;
  Record& record_;
  const Options options_;
  std::vector<std::unique_ptr<Link>> links_;
  std::map<Address, Row> rows_;
  std::vector<Row> history_;
  std::int64_t version_ = 1;
  std::map<std::string, Millis> part_free_at_;
  std::list<std::shared_ptr<Feed>> feeds_;
  int oversized_ = 0;
  int factor_ = 1;
  bool is_busy_ = false;
  bool is_silent_ = false;
  std::int64_t oldest_ = 0;
  std::string lost_key_;
  Millis late_{0};
};

}  // namespace review

#endif  // LAPISHATCH_REVIEW_STANDIN_2_STORE_H_
