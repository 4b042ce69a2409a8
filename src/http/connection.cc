#include "http/internal/connection.h"

#include <sys/socket.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "http/internal/convert.h"
#include "http/internal/deadline.h"
#include "http/internal/socket_options.h"

namespace lapishatch::http::internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kFirstReadBytes = 4 * 1024;
constexpr std::size_t kLargeReadBytes = 64 * 1024;
constexpr std::size_t kKeptBufferBytes = 16 * 1024;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;

/// Long enough for the loop to look at the sockets once.
constexpr base::Duration kLastLook{1};

enum class State { kConnecting, kBusy, kIdle, kClosed };

bool NeedsLength(const Request& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

BeastRequest MakeMessage(Call& call) {
  BeastRequest out;
  out.version(11);
  out.method_string(call.request.method);
  out.target(call.request.target);
  out.set(beast_http::field::host, TextOf(call.endpoint));
  CopyFields(call.request.headers, out);
  if (NeedsLength(call.request)) out.content_length(call.request.body.size());
  return out;
}

/// At most one wait for input and one write are under way. The wait is always
/// pending on an open connection, so that an idle one whose peer closes is
/// noticed.
class ConnectionImpl final
    : public Connection,
      public std::enable_shared_from_this<ConnectionImpl> {
 public:
  ConnectionImpl(asio::io_context& io, Endpoint endpoint,
                 const ClientLimits& limits, ResourcesPtr resources,
                 std::weak_ptr<ConnectionOwner> owner)
      : socket_(asio::make_strand(io)),
        endpoint_(std::move(endpoint)),
        limits_(limits),
        resources_(std::move(resources)),
        owner_(std::move(owner)),
        deadline_(socket_.get_executor()) {}

  void Bind() {
    deadline_.Bind(weak_from_this(), [this] { OnDeadline(); });
  }

  const Endpoint& endpoint() const override { return endpoint_; }

  void Connect(CallPtr call) override {
    OnStrand([this, call = std::move(call)]() mutable {
      StartConnect(std::move(call));
    });
  }

  void Send(CallPtr call) override {
    OnStrand([this, call = std::move(call)]() mutable {
      StartReused(std::move(call));
    });
  }

  void CloseIdle() override {
    OnStrand([this] {
      if (state_ != State::kIdle) return;
      if (TakeSelf()) Close();
    });
  }

  void Abort() override {
    OnStrand([this] {
      CloseSocket();
      call_.reset();
    });
  }

 private:
  template <typename Step>
  void OnStrand(Step step) {
    asio::dispatch(socket_.get_executor(),
                   [self = shared_from_this(),
                    step = std::move(step)]() mutable { step(); });
  }

  // Connecting.

  void StartConnect(CallPtr call) {
    call_ = std::move(call);
    if (state_ == State::kClosed) return FailSoon("the client is closed");
    error_code ec;
    const auto address = asio::ip::make_address(endpoint_.address, ec);
    if (ec) return FailSoon("not an IP number: " + endpoint_.address);
    const tcp::endpoint peer(address, endpoint_.port);
    if (!ChargeDescriptor()) return FailSoon("no descriptor is left");
    socket_.open(peer.protocol(), ec);
    if (ec) return FailSoon("no socket: " + ec.message());
    SetConnectionOptions(socket_, limits_.tcp_user_timeout);
    const auto latest = base::SteadyClock().Now() + limits_.connect_timeout;
    deadline_.Set(std::min(call_->deadline, latest));
    socket_.async_connect(peer,
                          [self = shared_from_this()](const error_code& ec2) {
                            self->OnConnected(ec2);
                          });
  }

  bool ChargeDescriptor() {
    if (!resources_) return true;
    descriptor_ = resources_->MakeCharge(ResourceKind::kDescriptors,
                                         base::BudgetUse::kOutgoing);
    return resources_->TryConnect(descriptor_);
  }

  /// Fails the call after the present callback: the caller's own function may
  /// still be running.
  void FailSoon(std::string detail) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), detail = std::move(detail)] {
                 self->Fail(detail);
               });
  }

  void OnConnected(const error_code& ec) {
    if (state_ == State::kClosed) return;
    if (ec) return Fail("cannot connect: " + ec.message());
    state_ = State::kBusy;
    socket_.non_blocking(true);
    StartCall();
    WaitForInput();
  }

  // A call.

  void StartReused(CallPtr call) {
    call_ = std::move(call);
    is_reused_ = true;
    idle_time_ = base::SteadyClock().Now() - idle_since_;
    if (state_ == State::kClosed) return SendAgain();
    state_ = State::kBusy;
    if (HasUnreadInput()) return SendAgain();
    StartCall();
  }

  /// Whether the peer has closed an idle connection, or sent what nobody asked
  /// for, and the pending wait has not yet told.
  bool HasUnreadInput() {
    char byte = 0;
    const auto n =
        ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void StartCall() {
    bytes_sent_ = 0;
    is_last_look_ = false;
    deadline_.Set(call_->deadline);
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(limits_.max_body_bytes);
    if (call_->request.method == "HEAD") parser_->skip(true);
    message_.emplace(MakeMessage(*call_));
    message_->body() = std::move(call_->request.body);
    serializer_.emplace(*message_);
    WriteSome();
  }

  void WriteSome() {
    is_writing_ = true;
    beast_http::async_write_some(
        socket_, *serializer_,
        [self = shared_from_this()](const error_code& ec, std::size_t n) {
          self->OnWritten(ec, n);
        });
  }

  /// A failure that was noticed while the write was under way is told only
  /// here, when it is known whether any byte was sent.
  void OnWritten(const error_code& ec, std::size_t n) {
    is_writing_ = false;
    bytes_sent_ += n;
    if (state_ == State::kClosed) return;
    if (!pending_failure_.empty()) return FailAfterWrite(pending_failure_);
    if (ec) return FailAfterWrite("cannot send: " + ec.message());
    if (!serializer_->is_done()) return WriteSome();
  }

  void FailAfterWrite(std::string detail) {
    const bool may_send_again = is_reused_ && bytes_sent_ == 0 && !timed_out_;
    if (may_send_again) return SendAgain();
    Fail(std::move(detail));
  }

  // Reading.

  /// Waits for input without taking any: what comes before a request is begun
  /// can so never be taken for its answer.
  void WaitForInput() {
    if (is_waiting_ || state_ == State::kClosed) return;
    is_waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& ec) {
                         self->is_waiting_ = false;
                         self->OnInput(ec);
                       });
  }

  void OnInput(const error_code& ec) {
    switch (state_) {
      case State::kClosed:
      case State::kConnecting:
        return;
      case State::kIdle:
        TakeSelf();
        return Close();
      case State::kBusy:
        if (ec) return OnReadFailed(ec);
        return ReadNow();
    }
  }

  void ReadNow() {
    error_code ec;
    const bool is_large = parser_->is_header_done();
    const auto n = socket_.read_some(
        buffer_.prepare(is_large ? kLargeReadBytes : kFirstReadBytes), ec);
    if (ec == asio::error::would_block) return WaitForInput();
    if (ec) return OnReadFailed(ec);
    buffer_.commit(n);
    Parse();
  }

  void OnReadFailed(const error_code& ec) {
    if (ec == asio::error::eof && parser_->got_some()) {
      error_code eof_ec;
      parser_->put_eof(eof_ec);
      if (!eof_ec && parser_->is_done()) return Complete();
      return FailWhenWritten("the response was cut short");
    }
    closed_by_peer_ =
        ec == asio::error::eof || ec == asio::error::connection_reset;
    FailWhenWritten(ec == asio::error::eof
                        ? "the peer closed the connection without an answer"
                        : "connection lost: " + ec.message());
  }

  void Parse() {
    while (buffer_.size() > 0) {
      error_code ec;
      const auto n = parser_->put(buffer_.data(), ec);
      buffer_.consume(n);
      const bool needs_more = ec == beast_http::error::need_more;
      if (ec && !needs_more) {
        return FailWhenWritten("not a response: " + ec.message());
      }
      if (parser_->is_done()) {
        if (!IsInterim()) return Complete();
        SkipInterim();
        continue;
      }
      if (needs_more || n == 0) break;
    }
    WaitForInput();
  }

  /// Whether the response is a 1xx one, which the final one follows.
  bool IsInterim() const {
    const auto status = parser_->get().result_int();
    return status >= 100 && status < 200;
  }

  void SkipInterim() {
    const bool skips_body = call_->request.method == "HEAD";
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(limits_.max_body_bytes);
    if (skips_body) parser_->skip(true);
  }

  /// The response is whole. The connection is used again only when the request
  /// was wholly sent and nothing more came than its answer.
  void Complete() {
    const bool is_clean = parser_->keep_alive() && !is_writing_ &&
                          serializer_->is_done() && buffer_.size() == 0;
    auto message = parser_->release();
    auto response = ResponseFrom(message);
    const auto call = std::move(call_);
    if (is_clean) {
      BecomeIdle();
    } else {
      Close();
    }
    call->done(std::move(response));
  }

  void BecomeIdle() {
    state_ = State::kIdle;
    idle_since_ = base::SteadyClock().Now();
    serializer_.reset();
    message_.reset();
    parser_.reset();
    if (buffer_.capacity() > kKeptBufferBytes) buffer_.shrink_to_fit();
    deadline_.SetAfter(limits_.idle_timeout);
    WaitForInput();
    const auto owner = owner_.lock();
    if (!owner) return Close();
    owner->OnFree(shared_from_this());
  }

  // Ending.

  void OnDeadline() {
    switch (state_) {
      case State::kClosed:
        return;
      case State::kIdle:
        if (TakeSelf()) Close();
        return;
      case State::kConnecting:
        timed_out_ = true;
        return Fail("no connection in time");
      case State::kBusy:
        return OnAnswerLate();
    }
  }

  /// Timers run before sockets are looked at: when this process itself fell
  /// behind, the answer may be here already, and giving up the call would have
  /// its work done again.
  void OnAnswerLate() {
    if (!is_last_look_) {
      is_last_look_ = true;
      return deadline_.SetAfter(kLastLook);
    }
    timed_out_ = true;
    if (const auto owner = owner_.lock()) owner->OnTimeout(shared_from_this());
    FailWhenWritten("no answer in time");
  }

  bool TakeSelf() {
    const auto owner = owner_.lock();
    return owner && owner->TakeIdle(shared_from_this());
  }

  /// Fails the call as soon as it is certain how much of it was sent: closing
  /// the socket ends a write under way, which then tells.
  void FailWhenWritten(std::string detail) {
    if (!is_writing_) return FailAfterWrite(std::move(detail));
    pending_failure_ = std::move(detail);
    error_code ec;
    socket_.close(ec);
  }

  void Fail(std::string detail) {
    ClientError error;
    error.progress =
        bytes_sent_ > 0 ? Progress::kMaybeSent : Progress::kNothingSent;
    error.timed_out = timed_out_;
    error.closed_by_peer = closed_by_peer_;
    error.detail = TextOf(endpoint_) + ": " + std::move(detail);
    if (is_reused_) {
      error.detail +=
          ", after " + std::to_string(idle_time_.count()) + " ms idle";
    }
    const auto call = std::move(call_);
    Close();
    if (call) call->done(std::move(error));
  }

  void SendAgain() {
    auto call = std::move(call_);
    if (message_) call->request.body = std::move(message_->body());
    Close();
    if (const auto owner = owner_.lock()) owner->SendAgain(std::move(call));
  }

  void Close() {
    if (state_ == State::kClosed) return;
    CloseSocket();
    if (const auto owner = owner_.lock()) owner->OnClosed(shared_from_this());
  }

  void CloseSocket() {
    state_ = State::kClosed;
    error_code ec;
    socket_.close(ec);
    deadline_.Stop();
    descriptor_.Release();
  }

  tcp::socket socket_;
  const Endpoint endpoint_;
  const ClientLimits limits_;
  const ResourcesPtr resources_;
  base::Charge descriptor_;
  const std::weak_ptr<ConnectionOwner> owner_;
  Deadline deadline_;
  beast::flat_buffer buffer_;
  std::optional<beast_http::response_parser<beast_http::string_body>> parser_;
  std::optional<BeastRequest> message_;
  std::optional<beast_http::request_serializer<beast_http::string_body>>
      serializer_;
  CallPtr call_;
  std::string pending_failure_;
  std::size_t bytes_sent_ = 0;
  State state_ = State::kConnecting;
  bool is_reused_ = false;
  /// When the connection last became idle, and how long it was until it was
  /// reused.
  base::TimePoint idle_since_{};
  base::Duration idle_time_{0};
  bool is_waiting_ = false;
  bool is_writing_ = false;
  bool timed_out_ = false;
  bool closed_by_peer_ = false;
  /// Whether the deadline has passed and only input that came before it is
  /// looked for.
  bool is_last_look_ = false;
};

}  // namespace

ConnectionPtr MakeConnection(asio::io_context& io, const Endpoint& endpoint,
                             const ClientLimits& limits, ResourcesPtr resources,
                             std::weak_ptr<ConnectionOwner> owner) {
  const auto connection = std::make_shared<ConnectionImpl>(
      io, endpoint, limits, std::move(resources), std::move(owner));
  connection->Bind();
  return connection;
}

}  // namespace lapishatch::http::internal
