#include "http/internal/session.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

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

/// A buffer that a large body has grown beyond this is given back.
constexpr std::size_t kKeptBufferBytes = 16 * 1024;

/// After the last answer of a connection, the peer has this long to read it and
/// close; closing at once could reset the connection and destroy the answer.
constexpr base::Duration kLingerTime{1'000};

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

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

/// At most one read and one write are under way. While the handler works, the
/// read stays pending to notice that the peer leaves; what it brings is the
/// beginning of the next request.
class SessionImpl final : public Session,
                          public AnswerSink,
                          public std::enable_shared_from_this<SessionImpl> {
 public:
  SessionImpl(tcp::socket socket, std::shared_ptr<ServerState> state)
      : socket_(std::move(socket)),
        state_(std::move(state)),
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

  void Answer(Response response) override {
    OnStrand([this, response = std::move(response)]() mutable {
      if (phase_ != Phase::kHandling) return FinishExchange();
      const bool keep_alive = WantsKeepAlive() && !response.closes_connection;
      SendResponse(std::move(response), keep_alive);
    });
  }

  std::shared_ptr<StreamBuffer> BeginStream(Response head) override {
    auto stream =
        std::make_shared<StreamBuffer>(state_->limits.max_stream_backlog_bytes);
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
    if (peer_left_ && buffer_.size() == 0) return Close();
    phase_ = Phase::kIdle;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(
        static_cast<std::uint32_t>(state_->limits.max_header_bytes));
    parser_->body_limit(state_->limits.max_body_bytes);
    if (buffer_.size() > 0) return EnterHead();
    if (!reading_ && buffer_.capacity() > kKeptBufferBytes) {
      buffer_.shrink_to_fit();
    }
    const auto idle = state_->draining ? state_->limits.drain_grace
                                       : state_->limits.idle_timeout;
    deadline_.SetAfter(idle);
    Read();
  }

  void EnterHead() {
    phase_ = Phase::kHead;
    deadline_.SetAfter(state_->limits.header_timeout);
    Parse();
  }

  void Read() {
    if (reading_) return;
    reading_ = true;
    const auto bytes = phase_ == Phase::kBody ? kBodyReadBytes : kHeadReadBytes;
    socket_.async_read_some(
        buffer_.prepare(bytes),
        [self = shared_from_this()](const error_code& ec, std::size_t n) {
          self->reading_ = false;
          self->buffer_.commit(n);
          self->OnRead(ec);
        });
  }

  void OnRead(const error_code& ec) {
    switch (phase_) {
      case Phase::kClosed:
        return;
      case Phase::kLingering:
        buffer_.consume(buffer_.size());
        return ec ? Close() : Read();
      case Phase::kHandling:
      case Phase::kWriting:
      case Phase::kStreaming:
        if (ec) OnPeerLeft(ec);
        return;
      case Phase::kIdle:
        return ec ? Close() : EnterHead();
      case Phase::kHead:
      case Phase::kBody:
        if (!ec) return Parse();
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

  void Parse() {
    while (true) {
      error_code ec;
      const auto n = parser_->put(buffer_.data(), ec);
      buffer_.consume(n);
      const bool needs_more = ec == beast_http::error::need_more;
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
    if (buffer_.size() <= state_->limits.max_header_bytes) return Read();
    SendLast(MakeInputProblem(beast_http::error::bad_chunk, state_->limits));
  }

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
    asio::async_write(
        socket_, asio::buffer(kContinue),
        [self = shared_from_this()](const error_code& ec, std::size_t) {
          if (self->phase_ != Phase::kBody) return;
          if (ec) return self->Close();
          self->Parse();
        });
  }

  void Handle() {
    phase_ = Phase::kHandling;
    deadline_.Clear();
    auto& message = parser_->get();
    keep_alive_ = message.keep_alive();
    version_ = message.version();
    is_head_ = message.method() == beast_http::verb::head;
    auto exchange = std::make_shared<ExchangeImpl>(shared_from_this(),
                                                   RequestFrom(message));
    exchange_ = exchange;
    exchange_open_ = true;
    ++state_->in_progress;
    state_->Hold();
    if (buffer_.size() == 0) Read();
    if (state_->stopped) return Close();
    state_->handler(std::move(exchange));
  }

  // Writing.

  bool WantsKeepAlive() const {
    return keep_alive_ && !peer_left_ && !state_->draining;
  }

  /// Answers instead of the handler and ends the connection.
  void SendLast(Response response) {
    if (phase_ == Phase::kClosed) return;
    SendResponse(std::move(response), false);
  }

  void SendResponse(Response response, bool keep_alive) {
    phase_ = Phase::kWriting;
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
    if (!reading_) buffer_.consume(buffer_.size());
    Read();
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

  bool HasBytes() {
    error_code ec;
    return socket_.available(ec) > 0 && !ec;
  }

  /// The request is answered, or its answer has nowhere to go.
  void FinishExchange() {
    if (!std::exchange(exchange_open_, false)) return;
    --state_->in_progress;
    state_->Unhold();
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
    error_code ec;
    socket_.close(ec);
    deadline_.Stop();
    if (is_counted_) --state_->connections;
    if (is_refused_) --state_->refusals;
    state_->Remove(this);
    state_->Unhold();
  }

  tcp::socket socket_;
  std::shared_ptr<ServerState> state_;
  Deadline deadline_;
  beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser_;
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
  bool reading_ = false;
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

std::shared_ptr<Session> MakeSession(tcp::socket socket,
                                     std::shared_ptr<ServerState> state) {
  const auto session =
      std::make_shared<SessionImpl>(std::move(socket), std::move(state));
  session->Register();
  return session;
}

}  // namespace lapishatch::http::internal
