#include "load/balancer.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <utility>

namespace lapishatch::load {
namespace {

namespace asio = boost::asio;

constexpr int kOk = 200;

/// An entry that does not say in this time that it is ready is not.
constexpr base::Duration kLookTimeout{1'000};

/// What was last seen of one entry.
struct Target {
  Target(asio::io_context& io, http::Endpoint at)
      : endpoint(std::move(at)), timer(io) {}

  const http::Endpoint endpoint;
  asio::steady_timer timer;
  std::atomic<bool> is_ready{false};
  /// For the callbacks of this target only, which follow one another.
  bool is_looked_at = false;
};

}  // namespace

class Balancer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, std::vector<http::Endpoint> targets,
       base::Duration period)
      : client_(io, {}), period_(period), unseen_(targets.size()) {
    for (auto& it : targets) targets_.emplace_back(io, std::move(it));
  }

  void Start(std::function<void()> looked) {
    looked_ = std::move(looked);
    for (auto& it : targets_) Look(it);
  }

  void Stop() { is_stopped_ = true; }

  std::optional<http::Endpoint> Next() {
    const auto first = turn_.fetch_add(1, std::memory_order_relaxed);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const auto& it = targets_[(first + i) % targets_.size()];
      if (it.is_ready) return it.endpoint;
    }
    return std::nullopt;
  }

 private:
  void Look(Target& target) {
    http::Request request;
    request.target = "/readyz";
    client_.Send(target.endpoint, std::move(request), kLookTimeout,
                 [self = shared_from_this(), &target](const auto& result) {
                   self->Note(target, result);
                 });
  }

  void Note(Target& target, const http::ClientResult& result) {
    const auto* response = std::get_if<http::Response>(&result);
    target.is_ready = response != nullptr && response->status == kOk;
    if (!std::exchange(target.is_looked_at, true) && --unseen_ == 0) looked_();
    if (is_stopped_) return;
    target.timer.expires_after(period_);
    target.timer.async_wait(
        [self = shared_from_this(), &target](const auto& ec) {
          if (!ec && !self->is_stopped_) self->Look(target);
        });
  }

  http::Client client_;
  const base::Duration period_;
  /// Not a vector: a target cannot be moved.
  std::deque<Target> targets_;
  std::function<void()> looked_;
  std::atomic<std::size_t> unseen_;
  std::atomic<std::size_t> turn_{0};
  std::atomic<bool> is_stopped_{false};
};

Balancer::Balancer(asio::io_context& io, std::vector<http::Endpoint> targets,
                   base::Duration period)
    : impl_(std::make_shared<Impl>(io, std::move(targets), period)) {}

Balancer::~Balancer() { impl_->Stop(); }

void Balancer::Start(std::function<void()> looked) {
  impl_->Start(std::move(looked));
}

std::optional<http::Endpoint> Balancer::Next() { return impl_->Next(); }

}  // namespace lapishatch::load
