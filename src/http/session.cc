#include "http/internal/session.h"

#include <array>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>
#include <optional>
#include <utility>

#include "http/internal/charged_body.h"
#include "http/internal/convert.h"
#include "http/internal/deadline.h"
#include "http/internal/exchange_impl.h"
#include "http/internal/input_problems.h"
#include "http/internal/socket_options.h"
#include "http/internal/stream_buffer.h"

namespace lapishatch::http::internal {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kHeadReadBytes = 4 * 1024;
constexpr std::size_t kBodyReadBytes = 64 * 1024;

/// A buffer that has grown beyond this is freed when it is empty.
constexpr std::size_t kKeptBufferBytes = 4 * 1024;

/// Answers up to this size are part of what each connection costs.
constexpr std::size_t kSmallAnswerBytes = 4 * 1024;

/// After the last answer of a connection, the peer has this long to read it and
/// close; closing at once could reset the connection and destroy the answer.
constexpr base::Duration kLingerTime{1'000};

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// What a received request occupies, in bytes.
std::size_t MemoryOf(const Request& request) {
  auto out = request.body.capacity() + request.target.capacity();
  for (const auto& it : request.headers.fields()) {
    out += sizeof(it) + it.name.capacity() + it.value.capacity();
  }
  return out;
}

/// What holding `bytes` for `age` weighs. Another thread may have begun later
/// than it was looked at.
std::uint64_t WeightOf(std::size_t bytes, base::Duration age) {
  const auto ms = std::max<base::Duration::rep>(age.count(), 0);
  return bytes * (static_cast<std::uint64_t>(ms) + 1);
}

/// Whether a response of this status has no body by definition.
bool IsBodiless(int status) {
  return status == 204 || status == 304 || status < 200;
}

enum class Phase {
  kIdle,
  kHead,
  kBody,
  kHandling,
  kWriting,
  kStreaming,
  kLingering,
  kClosed,
};

/// At most one wait for input and one write are under way. While the handler
/// works, the wait stays pending to notice that the peer leaves; what it brings
/// is the beginning of the next request. A connection that waits has no read
/// buffer: bytes are read onto the stack, and only those that the parser has
/// not taken are kept.
class SessionImpl final : public Session,
                          public AnswerSink,
                          public BodyGate,
                          public std::enable_shared_from_this<SessionImpl> {
 public:
  SessionImpl(tcp::socket socket, SessionCharges charges,
              std::shared_ptr<ServerState> state)
      : socket_(std::move(socket)),
        state_(std::move(state)),
        charges_(std::move(charges)),
        input_charge_(state_->resources->MakeCharge(ResourceKind::kBytes,
                                                    base::BudgetUse::kInput)),
        output_charge_(state_->resources->MakeCharge(ResourceKind::kBytes,
                                                     base::BudgetUse::kOutput)),
        deadline_(socket_.get_executor()) {
    state_->Hold();
  }

  ~SessionImpl() override { CloseOnce(); }
  SessionImpl(const SessionImpl&) = delete;
  SessionImpl& operator=(const SessionImpl&) = delete;

  void Register() {
    state_->Add(shared_from_this());
    deadline_.Bind(weak_from_this(), [this] { OnDeadline(); });
    SetConnectionOptions(socket_, state_->limits.stream_stall_timeout);
    error_code ec;
    socket_.non_blocking(true, ec);
  }

  void Start() override {
    is_counted_ = true;
    ++state_->connections;
    OnStrand([this] { NextRequest(); });
  }

  void Refuse() override {
    is_refused_ = true;
    ++state_->refusals;
    OnStrand([this] { SendLast(MakeFullProblem()); });
  }

  void Drain() override {
    OnStrand([this] {
      if (phase_ != Phase::kIdle) return;
      deadline_.SetAfter(state_->limits.drain_grace);
    });
  }

  void Abort() override {
    OnStrand([this] { Close(); });
  }

  Occupancy OccupancyAt(base::TimePoint now) const override {
    if (!is_evictable_) return {};
    const auto bytes = kConnectionBytes + input_bytes_;
    return {bytes, WeightOf(bytes, now - since_.load())};
  }

  void Evict(ResourceKind kind, Closing closing) override {
    const auto step = [self = shared_from_this(), kind] {
      self->GiveWay(kind);
    };
    if (closing == Closing::kAtOnce) {
      asio::dispatch(socket_.get_executor(), step);
    } else {
      asio::post(socket_.get_executor(), step);
    }
  }

  bool AllowBody(std::size_t capacity) override {
    if (!HoldInput(capacity)) return false;
    body_capacity_ = capacity;
    return true;
  }

  void Answer(Response response) override {
    OnStrand([this, response = std::move(response)]() mutable {
      if (phase_ != Phase::kHandling) return FinishExchange();
      const bool keep_alive = WantsKeepAlive() && !response.closes_connection;
      SendResponse(std::move(response), keep_alive);
    });
  }

  std::shared_ptr<StreamBuffer> BeginStream(Response head) override {
    auto stream = std::make_shared<StreamBuffer>(
        state_->limits.max_stream_backlog_bytes, state_->resources);
    OnStrand([this, stream, head = std::move(head)] {
      if (phase_ != Phase::kHandling) {
        stream->Kill();
        return;
      }
      SendStreamHead(stream, head);
    });
    return stream;
  }

  void WakeStream() override {
    OnStrand([this] { FlushStream(); });
  }

  void BreakStream() override {
    OnStrand([this] {
      Close();
      FinishExchange();
    });
  }

  void FinishStream() override {
    OnStrand([this] {
      if (phase_ != Phase::kStreaming) return FinishExchange();
      FlushStream();
    });
  }

 private:
  template <typename Step>
  void OnStrand(Step step) {
    asio::dispatch(socket_.get_executor(),
                   [self = shared_from_this(),
                    step = std::move(step)]() mutable { step(); });
  }

  // Reading.

  void NextRequest() {
    if (phase_ == Phase::kClosed) return;
    // The end of the peer's sending is reported once: another read would wait.
    if (peer_left_ && pending_.empty()) return Close();
    phase_ = Phase::kIdle;
    if (!pending_.empty()) {
      unread_ = pending_;
      return EnterHead();
    }
    FreePending();
    BecomeEvictable(base::SteadyClock().Now());
    const auto idle = state_->draining ? state_->limits.drain_grace
                                       : state_->limits.idle_timeout;
    deadline_.SetAfter(idle);
    AwaitInput();
  }

  void EnterHead() {
    phase_ = Phase::kHead;
    request_began_ = base::SteadyClock().Now();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(
        static_cast<std::uint32_t>(state_->limits.max_header_bytes));
    parser_->body_limit(state_->limits.max_body_bytes);
    parser_->get().body().SetGate(this);
    deadline_.SetAfter(state_->limits.header_timeout);
    Parse();
  }

  void AwaitInput() {
    if (is_waiting_) return;
    is_waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& ec) {
                         self->is_waiting_ = false;
                         self->ReadNow(ec);
                       });
  }

  void ReadNow(error_code ec) {
    if (phase_ == Phase::kClosed) return;
    std::array<char, kBodyReadBytes> buf;
    const bool is_large = phase_ == Phase::kBody || phase_ == Phase::kLingering;
    const auto limit = is_large ? kBodyReadBytes : kHeadReadBytes;
    std::size_t n = 0;
    if (!ec) n = socket_.read_some(asio::buffer(buf.data(), limit), ec);
    if (ec == asio::error::would_block) return AwaitInput();
    OnRead({buf.data(), n}, ec);
  }

  void OnRead(std::string_view bytes, const error_code& ec) {
    switch (phase_) {
      case Phase::kClosed:
        return;
      case Phase::kLingering:
        return ec ? Close() : AwaitInput();
      case Phase::kHandling:
      case Phase::kWriting:
      case Phase::kStreaming:
        if (ec) return OnPeerLeft(ec);
        return KeepForLater(bytes);
      case Phase::kIdle:
        if (ec) return Close();
        is_evictable_ = false;
        unread_ = bytes;
        return EnterHead();
      case Phase::kHead:
      case Phase::kBody:
        is_evictable_ = false;
        if (!ec) return ParseMore(bytes);
        if (ec != asio::error::eof) return Close();
        return SendLast(MakeInputProblem(beast_http::error::partial_message,
                                         state_->limits));
    }
  }

  /// A peer that only closed its sending side still gets its answer.
  void OnPeerLeft(const error_code& ec) {
    peer_left_ = true;
    if (ec != asio::error::eof) return Close();
    if (const auto it = exchange_.lock()) it->FireGone();
  }

  /// Keeps the beginning of the next request. Without memory for it, the
  /// connection ends after the present answer.
  void KeepForLater(std::string_view bytes) {
    if (AppendPending(bytes)) return;
    keep_alive_ = false;
    closes_after_write_ = true;
  }

  bool AppendPending(std::string_view bytes) {
    const auto size = pending_.size() + bytes.size();
    if (size > pending_.capacity()) {
      const auto capacity = std::max(size, 2 * pending_.capacity());
      if (!HoldInput(capacity)) return false;
      pending_.reserve(capacity);
    }
    pending_ += bytes;
    SettleInput();
    return true;
  }

  /// Charges the input and `more`. False if there is no memory for that.
  bool HoldInput(std::size_t more) {
    input_bytes_ = pending_.capacity() + body_capacity_ + head_bytes_;
    return state_->resources->TryHold(input_charge_, input_bytes_ + more,
                                      OwnWeight());
  }

  /// Makes the charge what the input occupies now, which is not more.
  void SettleInput() {
    input_bytes_ = pending_.capacity() + body_capacity_ + head_bytes_;
    input_charge_.TryResize(input_bytes_);
  }

  /// Charges `n` more bytes of the head, which has `fields` now. False if there
  /// is no memory for them.
  bool HoldHead(std::size_t n, std::size_t fields) {
    constexpr std::size_t kBytesPerField = 96;
    head_size_ = std::min(head_size_ + n, state_->limits.max_header_bytes);
    head_bytes_ = head_size_ + fields * kBytesPerField;
    return HoldInput(0);
  }

  /// Frees a large buffer that is empty.
  void FreePending() {
    if (pending_.capacity() > kKeptBufferBytes) std::string().swap(pending_);
    SettleInput();
  }

  std::uint64_t OwnWeight() const {
    return WeightOf(kConnectionBytes + input_bytes_,
                    base::SteadyClock().Now() - request_began_);
  }

  void BecomeEvictable(base::TimePoint since) {
    since_ = since;
    is_evictable_ = true;
  }

  /// Parses `bytes`, which follow what is pending.
  void ParseMore(std::string_view bytes) {
    unread_ = bytes;
    if (!pending_.empty()) {
      if (!AppendPending(bytes)) return RefuseBusy();
      unread_ = pending_;
    }
    Parse();
  }

  /// Parses what is unread.
  void Parse() {
    while (true) {
      error_code ec;
      const auto n =
          parser_->put(asio::buffer(unread_.data(), unread_.size()), ec);
      unread_.remove_prefix(n);
      const bool needs_more = ec == beast_http::error::need_more;
      if (ec == boost::system::errc::not_enough_memory) return RefuseBusy();
      const auto fields = CountFields();
      if (fields > state_->limits.max_header_fields) return RefuseFields();
      if (phase_ == Phase::kHead && !HoldHead(n, fields)) return RefuseBusy();
      if (ec && !needs_more) {
        return SendLast(MakeInputProblem(ec, state_->limits));
      }
      if (phase_ == Phase::kHead && parser_->is_header_done()) {
        phase_ = Phase::kBody;
        if (!IsHostRight()) return SendLast(MakeHostProblem());
        if (!parser_->is_done()) {
          deadline_.SetAfter(state_->limits.body_timeout);
          if (ExpectsContinue()) return SendContinue();
        }
      }
      if (parser_->is_done()) return Handle();
      if (needs_more || n == 0) return ReadMore();
    }
  }

  /// A line within a chunked body, of which the parser takes nothing before its
  /// end, may be no longer than a head.
  void ReadMore() {
    if (!KeepUnread()) return RefuseBusy();
    if (pending_.size() <= state_->limits.max_header_bytes) {
      BecomeEvictable(request_began_);
      return AwaitInput();
    }
    SendLast(MakeInputProblem(beast_http::error::bad_chunk, state_->limits));
  }

  /// Moves what is unread to `pending_`.
  bool KeepUnread() {
    const auto unread = std::exchange(unread_, {});
    const auto* begin = pending_.data();
    const bool is_kept = !pending_.empty() && unread.data() >= begin &&
                         unread.data() <= begin + pending_.size();
    if (is_kept) {
      pending_.erase(0, pending_.size() - unread.size());
      SettleInput();
      return true;
    }
    pending_.clear();
    return AppendPending(unread);
  }

  /// Fields of the head and of trailers.
  std::size_t CountFields() const {
    const auto& fields = parser_->get();
    return static_cast<std::size_t>(
        std::distance(fields.begin(), fields.end()));
  }

  void RefuseFields() {
    state_->resources->CountRefusal(ResourceKind::kFields);
    SendLast(MakeInputProblem(beast_http::error::header_limit, state_->limits));
  }

  void RefuseBusy() { SendLast(MakeBusyProblem()); }

  /// RFC 9112, 3.2: exactly one Host field in HTTP/1.1.
  bool IsHostRight() const {
    const auto& head = parser_->get();
    if (head.version() < 11) return true;
    return head.count(beast_http::field::host) == 1;
  }

  bool ExpectsContinue() const {
    const auto value = parser_->get()[beast_http::field::expect];
    return beast::iequals(value, "100-continue");
  }

  void SendContinue() {
    if (!KeepUnread()) return RefuseBusy();
    asio::async_write(
        socket_, asio::buffer(kContinue),
        [self = shared_from_this()](const error_code& ec, std::size_t) {
          if (self->phase_ != Phase::kBody) return;
          if (ec) return self->Close();
          self->unread_ = self->pending_;
          self->Parse();
        });
  }

  void Handle() {
    auto& message = parser_->get();
    keep_alive_ = message.keep_alive();
    version_ = message.version();
    is_head_ = message.method() == beast_http::verb::head;
    const bool is_rest_kept = KeepUnread();
    auto request = RequestFrom(message, message.body().Take());
    FreeParser();
    auto charge = state_->resources->MakeCharge(ResourceKind::kBytes,
                                                base::BudgetUse::kRequests);
    if (!state_->resources->TryHold(charge, MemoryOf(request), OwnWeight())) {
      return RefuseBusy();
    }
    if (!is_rest_kept) keep_alive_ = false;
    phase_ = Phase::kHandling;
    deadline_.Clear();
    auto exchange =
        std::make_shared<ExchangeImpl>(shared_from_this(), std::move(request),
                                       std::move(charge), state_->resources);
    exchange_ = exchange;
    exchange_open_ = true;
    ++state_->in_progress;
    state_->Hold();
    if (pending_.empty()) AwaitInput();
    if (state_->stopped) return Close();
    state_->handler(std::move(exchange));
  }

  // Writing.

  bool WantsKeepAlive() const {
    return keep_alive_ && !peer_left_ && !state_->draining;
  }

  /// Answers instead of the handler and ends the connection. What was received
  /// of the request is freed.
  void SendLast(Response response) {
    if (phase_ == Phase::kClosed) return;
    FreeInput();
    SendResponse(std::move(response), false);
  }

  void SendResponse(Response response, bool keep_alive) {
    phase_ = Phase::kWriting;
    is_evictable_ = false;
    const bool fits =
        response.body.size() <= kSmallAnswerBytes ||
        state_->resources->TryHold(output_charge_, response.body.size(), 0);
    if (!fits) response = MakeUnsentProblem();
    closes_after_write_ = !keep_alive;
    auto& message = out_.emplace();
    FillHead(response, message);
    message.keep_alive(keep_alive);
    if (!IsBodiless(response.status)) {
      message.content_length(response.body.size());
      if (!is_head_) message.body() = std::move(response.body);
    }
    serializer_.emplace(message);
    deadline_.SetAfter(state_->limits.stream_stall_timeout);
    WriteSome();
  }

  template <typename Message>
  void FillHead(const Response& response, Message& message) {
    message.version(version_);
    message.result(static_cast<unsigned>(response.status));
    CopyFields(response.headers, message);
  }

  /// Each part that the peer takes moves the deadline.
  void WriteSome() {
    beast_http::async_write_some(
        socket_, *serializer_,
        [self = shared_from_this()](const error_code& ec, std::size_t) {
          self->OnWritten(ec);
        });
  }

  void OnWritten(const error_code& ec) {
    if (phase_ != Phase::kWriting) return;
    if (ec) return Close();
    if (!serializer_->is_done()) {
      deadline_.SetAfter(state_->limits.stream_stall_timeout);
      return WriteSome();
    }
    serializer_.reset();
    out_.reset();
    output_charge_.Release();
    EndAnswer();
  }

  /// A connection whose last answer did not say that it closes may carry
  /// another request, which is on its way already: it stays open, a planned
  /// stop or not.
  void EndAnswer() {
    FinishExchange();
    if (closes_after_write_) return Linger();
    NextRequest();
  }

  /// Ends the sending side and waits for the peer to end its own.
  void Linger() {
    phase_ = Phase::kLingering;
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    if (peer_left_) return Close();
    deadline_.SetAfter(kLingerTime);
    pending_.clear();
    FreePending();
    BecomeEvictable(base::SteadyClock().Now());
    AwaitInput();
  }

  // Streaming.

  void SendStreamHead(std::shared_ptr<StreamBuffer> stream,
                      const Response& head) {
    phase_ = Phase::kStreaming;
    stream_ = std::move(stream);
    is_chunked_ = version_ >= 11;
    closes_after_write_ = !is_chunked_ || !WantsKeepAlive();
    auto& message = stream_head_.emplace();
    FillHead(head, message);
    message.chunked(is_chunked_);
    message.keep_alive(!closes_after_write_);
    stream_serializer_.emplace(message);
    writing_ = true;
    deadline_.SetAfter(state_->limits.stream_stall_timeout);
    beast_http::async_write_header(
        socket_, *stream_serializer_,
        [self = shared_from_this()](const error_code& ec, std::size_t) {
          self->stream_serializer_.reset();
          self->stream_head_.reset();
          self->OnStreamWritten(ec);
        });
  }

  void FlushStream() {
    if (phase_ != Phase::kStreaming) return;
    // First of all: the write under way may be stuck.
    if (stream_->dead()) return Close();
    if (writing_) return;
    // In this order: bytes added before the end are then never missed.
    const bool ended = stream_->ended();
    chunk_ = stream_->Take();
    if (!chunk_.empty()) return WriteChunk();
    if (ended) return WriteLastChunk();
    deadline_.Clear();
  }

  void WriteChunk() {
    const auto bytes = asio::buffer(chunk_);
    if (is_chunked_) return WriteStream(beast_http::make_chunk(bytes));
    WriteStream(bytes);
  }

  void WriteLastChunk() {
    is_last_chunk_ = true;
    if (is_chunked_) return WriteStream(beast_http::make_chunk_last());
    OnStreamEnd();
  }

  template <typename Buffers>
  void WriteStream(const Buffers& buffers) {
    writing_ = true;
    deadline_.SetAfter(state_->limits.stream_stall_timeout);
    asio::async_write(
        socket_, buffers, ProgressWatch{this},
        [self = shared_from_this()](const error_code& ec, std::size_t) {
          self->OnStreamWritten(ec);
        });
  }

  /// Completion condition of a write: all of it; each part that the peer takes
  /// moves the deadline.
  struct ProgressWatch {
    SessionImpl* session;

    std::size_t operator()(const error_code& ec, std::size_t n) const {
      if (n > 0 && session->phase_ == Phase::kStreaming) {
        session->deadline_.SetAfter(
            session->state_->limits.stream_stall_timeout);
      }
      return ec ? 0 : kBodyReadBytes;
    }
  };

  void OnStreamWritten(const error_code& ec) {
    writing_ = false;
    if (phase_ != Phase::kStreaming) return;
    if (ec) return Close();
    if (is_last_chunk_) return OnStreamEnd();
    FlushStream();
  }

  void OnStreamEnd() {
    is_last_chunk_ = false;
    stream_.reset();
    EndAnswer();
  }

  // Ending.

  void GiveWay(ResourceKind kind) {
    if (!is_evictable_) return;
    // A request has arrived and is about to be read.
    if (phase_ == Phase::kIdle && HasBytes()) return;
    state_->resources->CountEviction(kind);
    const bool is_refusable = phase_ == Phase::kHead || phase_ == Phase::kBody;
    if (is_refusable && kind == ResourceKind::kBytes) return RefuseBusy();
    Close();
  }

  void OnDeadline() {
    switch (phase_) {
      case Phase::kIdle:
        // A request has arrived and is about to be read.
        if (HasBytes()) return deadline_.SetAfter(state_->limits.drain_grace);
        return Close();
      case Phase::kHead:
        return SendLast(MakeTimeoutProblem(true));
      case Phase::kBody:
        return SendLast(MakeTimeoutProblem(false));
      case Phase::kHandling:
      case Phase::kClosed:
        return;
      case Phase::kWriting:
      case Phase::kStreaming:
      case Phase::kLingering:
        return Close();
    }
  }

  void FreeParser() {
    parser_.reset();
    body_capacity_ = 0;
    head_size_ = 0;
    head_bytes_ = 0;
    SettleInput();
  }

  /// Frees what was received. Not called while the parser runs.
  void FreeInput() {
    unread_ = {};
    std::string().swap(pending_);
    FreeParser();
    state_->resources->OnReleased();
  }

  bool HasBytes() {
    error_code ec;
    return socket_.available(ec) > 0 && !ec;
  }

  /// The request is answered, or its answer has nowhere to go.
  void FinishExchange() {
    if (!std::exchange(exchange_open_, false)) return;
    --state_->in_progress;
    state_->Unhold();
    state_->resources->OnReleased();
  }

  void Close() {
    const bool was_answering = phase_ == Phase::kWriting;
    if (phase_ == Phase::kClosed) return;
    CloseOnce();
    if (stream_) stream_->Kill();
    stream_.reset();
    if (was_answering) FinishExchange();
    if (const auto it = exchange_.lock()) it->FireGone();
  }

  void CloseOnce() {
    if (phase_ == Phase::kClosed) return;
    phase_ = Phase::kClosed;
    is_evictable_ = false;
    error_code ec;
    socket_.close(ec);
    deadline_.Stop();
    FreeInput();
    charges_.descriptor.Release();
    if (is_counted_) --state_->connections;
    if (is_refused_) --state_->refusals;
    state_->Remove(this);
    state_->Unhold();
  }

  tcp::socket socket_;
  std::shared_ptr<ServerState> state_;
  SessionCharges charges_;
  base::Charge input_charge_;
  base::Charge output_charge_;
  Deadline deadline_;
  /// Bytes that were read and not parsed: of the request that is being read, or
  /// of the next one.
  std::string pending_;
  /// During parsing, what is left to parse: a part of `pending_` or of what was
  /// just read.
  std::string_view unread_;
  std::optional<beast_http::request_parser<ChargedBody>> parser_;
  /// What the parser holds: the capacity of the body, and the size of the head
  /// in the request and in memory.
  std::size_t body_capacity_ = 0;
  std::size_t head_size_ = 0;
  std::size_t head_bytes_ = 0;
  base::TimePoint request_began_{};

  // Read by other threads.
  std::atomic<bool> is_evictable_{false};
  std::atomic<base::TimePoint> since_{};
  std::atomic<std::size_t> input_bytes_{0};

  std::optional<BeastResponse> out_;
  std::optional<beast_http::response_serializer<beast_http::string_body>>
      serializer_;
  std::weak_ptr<ExchangeImpl> exchange_;

  std::shared_ptr<StreamBuffer> stream_;
  std::optional<beast_http::response<beast_http::empty_body>> stream_head_;
  std::optional<beast_http::response_serializer<beast_http::empty_body>>
      stream_serializer_;
  std::string chunk_;

  Phase phase_ = Phase::kIdle;
  unsigned version_ = 11;
  bool is_waiting_ = false;
  bool writing_ = false;
  bool keep_alive_ = true;
  bool is_head_ = false;
  bool is_chunked_ = true;
  bool is_last_chunk_ = false;
  bool peer_left_ = false;
  bool closes_after_write_ = false;
  bool exchange_open_ = false;
  bool is_counted_ = false;
  bool is_refused_ = false;
};

}  // namespace

std::shared_ptr<Session> MakeSession(tcp::socket socket, SessionCharges charges,
                                     std::shared_ptr<ServerState> state) {
  const auto session = std::make_shared<SessionImpl>(
      std::move(socket), std::move(charges), std::move(state));
  session->Register();
  return session;
}

}  // namespace lapishatch::http::internal
