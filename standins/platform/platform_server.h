#ifndef LAPISHATCH_STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define LAPISHATCH_STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "http/http.h"
#include "platform/platform_faults.h"

namespace lapishatch::standins {

struct PlatformOptions {
  http::Endpoint endpoint{"127.0.0.1", 0};
  http::Endpoint fault_endpoint{"127.0.0.1", 0};
  /// Transactions and objects written a second; 0 is unlimited. Above it, 503
  /// with `"effect":"none"`.
  double writes_per_s = 0;
  /// Rows and pages of the table and objects read a second.
  double reads_per_s = 0;
};

/// The platform's table, object store and VM list in memory, over HTTP as
/// docs/OUTSIDE.md gives it, with a fault port:
///
/// - `POST /faults` {"kind":"down|silent|slow|lose_answers|stale_vms|none",
///   "ms":…, "share":…}; `ms` is the delay of `slow`, `share` (0 to 1, default
///   1) the part of the calls that is hit.
/// - `PUT /vms` sets the VM list, in the form of `GET /vms`.
/// - `GET /stats` counts what was done since the start.
///
/// Safe from several threads.
class PlatformServer {
 public:
  /// Binds at once; `io` must outlive it.
  PlatformServer(boost::asio::io_context& io, const PlatformOptions& options);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  http::Endpoint endpoint() const;
  http::Endpoint fault_endpoint() const;

  /// As `POST /faults`.
  void Apply(PlatformFault fault, base::Duration time, double share);

  /// Finishes the requests in progress and calls `done`.
  void Drain(std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_PLATFORM_PLATFORM_SERVER_H_
