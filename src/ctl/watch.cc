#include "ctl/watch.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <utility>
#include <vector>

#include "ctl/json_text.h"

namespace lapishatch::ctl {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kServerError = 500;

/// The version of the last change of a resource, its status included.
std::uint64_t LastChangeOf(const json::value& object) {
  return std::max(NumberAt(object, "version"),
                  NumberAt(object, "status_version"));
}

/// Whether another entry, or the same one later, may answer differently.
bool IsPassing(int status) {
  return status < kBadRequest || status == kTooMany || status >= kServerError;
}

}  // namespace

bool WatchPosition::Take(std::uint64_t version, const std::string& name) {
  if (version <= complete_ || version < open_) return false;
  if (version > open_) {
    complete_ = std::max(complete_, open_);
    open_ = version;
    told_.clear();
  }
  return told_.insert(name).second;
}

void WatchPosition::Bookmark(std::uint64_t version) {
  complete_ = std::max(complete_, version);
}

json::array ListFrom(const json::value& body) {
  if (body.is_array()) return body.as_array();
  if (!body.is_object()) return {};
  for (const auto& it : body.as_object()) {
    if (it.value().is_array()) return it.value().as_array();
  }
  return {};
}

Watch::Watch(ApiClient& client, std::string kind,
             std::optional<std::uint64_t> since)
    : client_(client),
      kind_(std::move(kind)),
      list_first_(!since.has_value()),
      position_(since.value_or(0)) {}

leaf::result<void> Watch::Run(const Sink& sink) {
  while (true) {
    if (list_first_) {
      BOOST_LEAF_AUTO(more, List(sink));
      if (!more) return {};
      list_first_ = false;
    }
    http::Request request;
    request.target = "/v1/" + kind_ +
                     "?watch=true&since=" + std::to_string(position_.since());
    bool any = false;
    const auto end = client_.Stream(request, [&](std::string_view line) {
      any = true;
      return TakeLine(line, sink);
    });
    if (end.stopped) return {};
    if (any) client_.Praise(end.entry);
    if (end.head.status == kGone) {
      list_first_ = true;
    } else if (!IsPassing(end.head.status)) {
      return leaf::new_error(RefusalFrom(end.entry, end.head));
    }
    client_.BackOff(end);
  }
}

/// Tells what differs from what was told before; false ends the watch.
leaf::result<bool> Watch::List(const Sink& sink) {
  http::Request request;
  request.target = "/v1/" + kind_;
  BOOST_LEAF_AUTO(answer, client_.Call(request, Repeat::kSafe));
  if (answer.response.status != kOk) {
    return leaf::new_error(RefusalFrom(answer.entry, answer.response));
  }
  boost::system::error_code ec;
  const auto body = json::parse(answer.response.body, ec);
  const auto version = NumberAt(body, "version");
  // An entry that is behind what was told already would take the watch back.
  if (version < position_.since()) return true;
  const auto before = known_;
  std::set<std::string> present;
  for (const auto& it : ListFrom(body)) {
    const auto name = TextAt(it, "name");
    const auto changed = LastChangeOf(it);
    present.insert(name);
    const auto found = before.find(name);
    if (found != before.end() && found->second >= changed) continue;
    if (!Tell({false, changed, name, it}, sink)) return false;
  }
  for (const auto& [name, changed] : before) {
    if (present.contains(name)) continue;
    if (!Tell({true, version, name, json::value()}, sink)) return false;
  }
  position_ = WatchPosition(version);
  return true;
}

bool Watch::TakeLine(std::string_view line, const Sink& sink) {
  boost::system::error_code ec;
  const auto item = json::parse({line.data(), line.size()}, ec);
  if (ec) return true;
  const auto type = TextAt(item, "type");
  const auto version = NumberAt(item, "version");
  if (type == "bookmark") {
    position_.Bookmark(version);
    return true;
  }
  const auto* object = FindPath(item, "object");
  if (object == nullptr) return true;
  const auto name = TextAt(*object, "name");
  if (!position_.Take(version, name)) return true;
  return Tell({type == "delete", version, name, *object}, sink);
}

bool Watch::Tell(const WatchChange& change, const Sink& sink) {
  if (change.removed) {
    known_.erase(change.name);
  } else {
    known_[change.name] = change.version;
  }
  return sink(change);
}

}  // namespace lapishatch::ctl
