#ifndef LAPISHATCH_CTL_WATCH_H_
#define LAPISHATCH_CTL_WATCH_H_

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "ctl/api_client.h"

namespace lapishatch::ctl {

/// Where a watch has got to. Several resources may change with one version, so
/// a stream that broke inside a version is continued before it, and what of it
/// was told already is passed over.
class WatchPosition {
 public:
  explicit WatchPosition(std::uint64_t since = 0) : complete_(since) {}

  /// Takes a change; false when it was told before.
  bool Take(std::uint64_t version, const std::string& name);

  /// Everything up to `version` has been told.
  void Bookmark(std::uint64_t version);

  /// The version to continue from.
  std::uint64_t since() const { return complete_; }

 private:
  std::uint64_t complete_;
  std::uint64_t open_ = 0;
  std::set<std::string> told_;
};

/// One change of a resource.
struct WatchChange {
  /// The resource is gone.
  bool removed = false;
  std::uint64_t version = 0;
  std::string name;
  boost::json::value object;
};

/// Follows the resources of one kind at whichever entry answers, in order,
/// without gap or repetition. Begins with the resources that are there, unless
/// told a version to continue from.
class Watch {
 public:
  /// Takes one change; false ends the watch.
  using Sink = std::function<bool(const WatchChange&)>;

  Watch(ApiClient& client, std::string kind,
        std::optional<std::uint64_t> since = std::nullopt);

  /// Runs until the sink has enough. Fails when an entry refuses for good.
  boost::leaf::result<void> Run(const Sink& sink);

 private:
  boost::leaf::result<bool> List(const Sink& sink);
  bool TakeLine(std::string_view line, const Sink& sink);
  bool Tell(const WatchChange& change, const Sink& sink);

  ApiClient& client_;
  std::string kind_;
  bool list_first_;
  WatchPosition position_;
  /// The resources told and not gone, with the version of their last change.
  std::map<std::string, std::uint64_t> known_;
};

/// The list in the body of GET /v1/{kind}.
boost::json::array ListFrom(const boost::json::value& body);

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_WATCH_H_
