#ifndef LAPISHATCH_ENTRY_ENTRY_PROCESS_H_
#define LAPISHATCH_ENTRY_ENTRY_PROCESS_H_

#include <functional>
#include <memory>

#include "config/config.h"
#include "entry/entry_options.h"

namespace lapishatch::entry {

/// One entry: resource API, watches, request path and membership on the
/// threads of a program. When a newer life of the process has joined, it
/// refuses new requests and begins the program's planned stop, with exit
/// code 1.
class EntryProcess {
 public:
  /// Binds its endpoints; throws boost::system::system_error when one cannot be
  /// had. `program` must outlive it.
  EntryProcess(config::Program& program, EntryOptions options);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Begins to serve. /readyz turns when the configuration is loaded.
  void Start();

  /// Planned stop, after /readyz has turned: goes on accepting until the
  /// balancer has noticed, ends watches with the version to continue from, lets
  /// requests in progress finish, says goodbye to the other processes, and
  /// calls `done`.
  void Stop(std::function<void()> done);

  /// Where it listens, with the ports actually bound.
  http::Endpoint endpoint() const;
  http::Endpoint peer_endpoint() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_ENTRY_PROCESS_H_
