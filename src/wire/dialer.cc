#include "wire/internal/dialer.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace lapishatch::wire::internal {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// One attempt.
struct Attempt {
  explicit Attempt(const Strand& strand) : socket(strand), timer(strand) {}

  Socket socket;
  Timer timer;
};

/// Only a refusal says that the machine is there and the process is not.
DialResult ResultOf(const error_code& ec) {
  if (!ec) return DialResult::kOpened;
  const bool refused = ec == asio::error::connection_refused;
  return refused ? DialResult::kRefused : DialResult::kSilent;
}

}  // namespace

void Dialer::Dial(const Endpoint& to, base::Duration timeout,
                  std::function<void(DialResult)> done) {
  error_code ec;
  const auto address = asio::ip::make_address(to.address, ec);
  if (ec) return Finish(DialResult::kSilent, done);
  const asio::ip::tcp::endpoint remote(address, to.port);
  auto attempt = std::make_shared<Attempt>(strand_);
  asio::post(strand_, [self = shared_from_this(), attempt, remote, timeout,
                       done = std::move(done)] {
    attempt->timer.expires_after(timeout);
    attempt->timer.async_wait([attempt](const error_code& expired) {
      error_code ignored;
      if (!expired) attempt->socket.close(ignored);
    });
    attempt->socket.async_connect(
        remote, [self, attempt, done](const error_code& result) {
          attempt->timer.cancel();
          error_code ignored;
          attempt->socket.close(ignored);
          self->Finish(ResultOf(result), done);
        });
  });
}

void Dialer::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
}

void Dialer::Finish(DialResult result,
                    const std::function<void(DialResult)>& done) {
  const std::lock_guard lock(mutex_);
  if (stopped_) return;
  loop_.Post([self = shared_from_this(), done, result] {
    {
      const std::lock_guard still(self->mutex_);
      if (self->stopped_) return;
    }
    done(result);
  });
}

}  // namespace lapishatch::wire::internal
