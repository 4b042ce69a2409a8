#ifndef LAPISHATCH_STORE_HTTP_PLATFORM_H_
#define LAPISHATCH_STORE_HTTP_PLATFORM_H_

#include <memory>

#include "http/http.h"
#include "store/object_store.h"
#include "store/table.h"
#include "store/vm_list.h"

namespace lapishatch::store {

struct HttpPlatformOptions {
  http::Endpoint endpoint;
  /// Longest time of one call; a commit still open then is UnknownOutcome.
  base::Duration timeout{2'000};
};

/// The platform's services over HTTP (docs/OUTSIDE.md gives the protocol).
/// `client` must outlive them.
std::unique_ptr<Table> MakeHttpTable(http::Client& client,
                                     HttpPlatformOptions options);
std::unique_ptr<ObjectStore> MakeHttpObjectStore(http::Client& client,
                                                 HttpPlatformOptions options);
std::unique_ptr<VmList> MakeHttpVmList(http::Client& client,
                                       HttpPlatformOptions options);

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_HTTP_PLATFORM_H_
