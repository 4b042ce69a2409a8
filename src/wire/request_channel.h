#ifndef LAPISHATCH_WIRE_REQUEST_CHANNEL_H_
#define LAPISHATCH_WIRE_REQUEST_CHANNEL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>

#include "base/base.h"
#include "wire/message.h"
#include "wire/transport.h"

namespace lapishatch::wire {

/// Why a query has no answer. Whether the peer saw the query is unknown unless
/// it was not sent.
enum class AskFailure : std::uint8_t { kNotSent, kTimedOut, kTooManyOpen };

struct AskError {
  AskFailure failure = AskFailure::kNotSent;
};

/// The answer and the life that gave it, which may be another than the one
/// asked when a process was replaced at its address.
struct Answered {
  Identity by;
  Answer answer;
};

using AskResult = std::variant<Answered, AskError>;

/// Requests and responses over a Transport: each request has an id, used once,
/// and a timeout; a late answer finds its id gone and is dropped. To be used on
/// the loop only.
class RequestChannel {
 public:
  /// Gives the answer to a query, at once or later, on the loop.
  using Server = std::function<void(const Identity& from, Query query,
                                    std::function<void(Answer)> reply)>;

  struct Limits {
    std::size_t max_open = 4'096;
  };

  RequestChannel(base::EventLoop& loop, Transport& transport, Limits limits);
  ~RequestChannel();
  RequestChannel(const RequestChannel&) = delete;
  RequestChannel& operator=(const RequestChannel&) = delete;

  /// Calls `done` once, on the loop, at the latest `timeout` from now.
  void Ask(const Peer& to, Query query, base::Duration timeout,
           std::function<void(AskResult)> done);

  void Serve(Server server) { server_ = std::move(server); }

  /// The two messages of this channel, as the transport handed them over.
  void OnRequest(const Identity& from, Request request);
  void OnResponse(const Identity& from, Response response);

  std::size_t open() const { return open_.size(); }

 private:
  struct Open {
    Peer peer;
    base::TimerId timer = 0;
    std::function<void(AskResult)> done;
  };

  void Finish(std::uint64_t id, AskResult result);
  void Fail(AskFailure failure, std::function<void(AskResult)> done);

  base::EventLoop& loop_;
  Transport& transport_;
  Limits limits_;
  Server server_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, Open> open_;
  /// Lets callbacks that run later find out that the channel is gone.
  std::shared_ptr<RequestChannel*> self_;
};

}  // namespace lapishatch::wire

namespace lapishatch::base {
template <>
struct EnumNames<wire::AskFailure> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "not-sent", "timed-out", "too-many-open"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_WIRE_REQUEST_CHANNEL_H_
