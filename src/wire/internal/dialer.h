#ifndef LAPISHATCH_WIRE_INTERNAL_DIALER_H_
#define LAPISHATCH_WIRE_INTERNAL_DIALER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>

#include "base/base.h"
#include "wire/internal/connection.h"
#include "wire/transport.h"

namespace lapishatch::wire::internal {

/// Tries whether somebody listens at an endpoint, each time over a connection
/// of its own that is closed at once.
class Dialer : public std::enable_shared_from_this<Dialer> {
 public:
  Dialer(boost::asio::io_context& io, base::EventLoop& loop)
      : strand_(boost::asio::make_strand(io)), loop_(loop) {}

  /// Calls `done` on the loop unless Stop is called first.
  void Dial(const Endpoint& to, base::Duration timeout,
            std::function<void(DialResult)> done);

  /// No callback runs afterwards.
  void Stop();

 private:
  void Finish(DialResult result, const std::function<void(DialResult)>& done);

  Strand strand_;
  base::EventLoop& loop_;
  std::mutex mutex_;
  bool stopped_ = false;
};

}  // namespace lapishatch::wire::internal

#endif  // LAPISHATCH_WIRE_INTERNAL_DIALER_H_
