#ifndef LAPISHATCH_ENTRY_WATCH_HANDLER_H_
#define LAPISHATCH_ENTRY_WATCH_HANDLER_H_

#include <memory>

#include "config/config.h"
#include "http/http.h"

namespace lapishatch::entry {

/// Serves `GET /v1/{kind}?watch=true&since=V`: one JSON object a line.
class WatchHandler {
 public:
  /// `loop` is the mirror's; both must outlive the handler.
  WatchHandler(base::EventLoop& loop, config::Mirror& mirror)
      : loop_(loop), mirror_(mirror) {}

  /// Safe from any thread.
  void Handle(const http::ExchangePtr& exchange, config::ResourceKind kind,
              const http::Target& target);

 private:
  /// Whether to read the table first, when `since` is ahead of what is in
  /// force here.
  enum class IfAhead { kCatchUp, kRefuse };

  void Open(const http::ExchangePtr& exchange, config::ResourceKind kind,
            config::LogVersion since, IfAhead if_ahead);

  base::EventLoop& loop_;
  config::Mirror& mirror_;
};

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_WATCH_HANDLER_H_
