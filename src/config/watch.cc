#include "config/watch.h"

#include <boost/json/serialize.hpp>

namespace lapishatch::config {
namespace {

namespace json = boost::json;

struct LineOf {
  std::string operator()(const LogEntryPtr& event) const {
    const auto type = base::NameOf(event->type);
    return json::serialize(json::object{
               {"type", json::string_view(type.data(), type.size())},
               {"version", event->version},
               {"object", ToJson(*event->resource)}}) +
           '\n';
  }

  std::string operator()(const WatchBookmark& it) const {
    return Bookmark(it.version);
  }

  std::string operator()(const WatchEnded& it) const {
    return Bookmark(it.version);
  }

  static std::string Bookmark(LogVersion version) {
    return json::serialize(
               json::object{{"type", "bookmark"}, {"version", version}}) +
           '\n';
  }
};

}  // namespace

std::string WatchLine(const WatchItem& item) {
  return std::visit(LineOf(), item);
}

}  // namespace lapishatch::config
