#ifndef LAPISHATCH_ENTRY_RESOURCE_API_H_
#define LAPISHATCH_ENTRY_RESOURCE_API_H_

#include <cstddef>
#include <string>

#include "config/config.h"
#include "entry/refusal.h"
#include "entry/system_view.h"
#include "entry/watch_handler.h"
#include "http/http.h"

namespace lapishatch::entry {

struct ResourceApiOptions {
  /// Most resources in one apply.
  std::size_t max_apply = 256;
};

/// What the API stands on. All must outlive it.
struct ResourceApiPorts {
  /// The mirror's.
  base::EventLoop& loop;
  config::Mirror& mirror;
  config::ChangeWriter& writer;
  const SystemView& system;
  JobExplainer& explainer;
};

/// The resource API (docs/API.md): lists, single resources, changes, applies,
/// watches and explanations. Safe from several threads.
class ResourceApi {
 public:
  ResourceApi(ResourceApiOptions options, ResourceApiPorts ports);

  /// Answers a request whose path begins with /v1/ and a kind, or is /v1/apply.
  /// False when the path is another's.
  bool Handle(const http::ExchangePtr& exchange, const http::Target& target);

 private:
  void HandleKind(const http::ExchangePtr& exchange, const http::Target& target,
                  config::ResourceKind kind);
  void HandleSeen(const http::ExchangePtr& exchange, const http::Target& target,
                  SeenKind kind);
  void HandleOne(const http::ExchangePtr& exchange, const http::Target& target,
                 const config::ResourceRef& ref);
  void HandleExplain(const http::ExchangePtr& exchange,
                     const config::ResourceRef& ref);
  void List(const http::ExchangePtr& exchange, config::ResourceKind kind);
  void Get(const http::ExchangePtr& exchange, const config::ResourceRef& ref);
  void Put(const http::ExchangePtr& exchange, const http::Target& target,
           const config::ResourceRef& ref);
  void Delete(const http::ExchangePtr& exchange, const http::Target& target,
              const config::ResourceRef& ref);
  void Apply(const http::ExchangePtr& exchange, const http::Target& target);
  void ListSeen(const http::ExchangePtr& exchange, SeenKind kind);
  void GetSeen(const http::ExchangePtr& exchange, SeenKind kind,
               const std::string& name);
  void PutSeen(const http::ExchangePtr& exchange, const http::Target& target,
               SeenKind kind, const std::string& name);
  boost::json::object SeenJson(SeenKind kind, const SeenResource& seen) const;

  /// Submits one change and answers with the resource.
  void SubmitOne(const http::ExchangePtr& exchange, const http::Target& target,
                 config::Change change);

  ResourceApiOptions options_;
  ResourceApiPorts ports_;
  WatchHandler watches_;
};

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_RESOURCE_API_H_
