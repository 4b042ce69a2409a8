#ifndef LAPISHATCH_ROUTING_CLAIMED_REQUEST_H_
#define LAPISHATCH_ROUTING_CLAIMED_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "routing/adaptive_window.h"
#include "routing/claim.h"
#include "routing/claim_keeper.h"
#include "routing/claim_machine.h"
#include "routing/directory.h"
#include "routing/service_dispatcher.h"
#include "store/store.h"

namespace lapishatch::routing {

struct ClaimOptions {
  /// Claims that may be on their way to the table.
  AdaptiveWindowOptions window;
  ClaimKeeperOptions keeper;
  /// Between reads of a row whose state is not known.
  base::Duration first_reread{50};
  base::Duration longest_reread{1'000};
  /// How long an answer is held back for its record.
  base::Duration record_patience{1'000};
  /// A claim that is open for longer than its deadline and this has lost its
  /// holder. Covers the differences of wall clocks.
  base::Duration holder_grace{60'000};
  /// Least time after which a refused caller is asked to come back; the most is
  /// three times it.
  base::Duration retry_after{1'000};
};

class ClaimedRequest;

/// What all claimed requests of one loop share; it owns those that have not
/// ended. Destroyed when the loop runs nothing.
struct ClaimContext {
  base::EventLoop& loop;
  store::Table& table;
  store::ObjectStore& objects;
  const EntryDirectory& entries;
  base::Incarnation incarnation;
  std::function<std::int64_t()> unix_ms;
  ClaimOptions options;
  AdaptiveWindow window;
  std::shared_ptr<ClaimKeeper> keeper;
  base::Random random;
  std::unordered_set<std::shared_ptr<ClaimedRequest>> active;

  /// A time to come back after, spread over callers.
  base::Duration RetryAfter();
};

/// Runs one non-idempotent request: does the steps that its ClaimMachine gives
/// and tells it what became of them. Its context owns it until it has ended.
class ClaimedRequest : public std::enable_shared_from_this<ClaimedRequest> {
 public:
  using Done = std::function<void(RequestOutcome)>;

  /// Begins one; `done` is called once, possibly before this returns.
  static void Start(ClaimContext& context, ServiceDispatcher& dispatcher,
                    RoutedRequest request, double weight,
                    base::TimePoint deadline, Done done);

  ClaimedRequest(ClaimContext& context, ServiceDispatcher& dispatcher,
                 RoutedRequest request, double weight, base::TimePoint deadline,
                 Done done);

 private:
  void Begin();
  void Feed(ClaimEvent event);
  void Do(ClaimStep step);
  bool AnswerFromMemory();
  bool RefuseAtOnce();
  void WriteClaim();
  void NoteWindow(bool answered);
  void OnWritten(const store::CommitResult& result);
  void ReadClaim();
  void OnRead(const store::ReadResult& result);
  ClaimEvent Classify(const std::optional<store::Row>& row);
  bool HolderIsGone(const Claim& claim) const;
  void JoinQueue();
  bool OnSlot();
  void OnDispatchEnded(DispatchResult result);
  void RecordOutcome();
  void Replay();
  void OnOutcomeRead(const store::GetResult& result);
  void Refuse(Refusal reason, base::WorkDone work, std::string detail,
              base::Duration retry_after);
  void Answer(RequestOutcome outcome);
  /// Lets go of this when the caller has its outcome and the table has
  /// answered: a place in the window is given back only by the table's answer.
  void LeaveIfOver();
  void ArmTimer(base::Duration delay);
  Claim ClaimWith(ClaimState state) const;

  ClaimContext& context_;
  ServiceDispatcher& dispatcher_;
  RoutedRequest request_;
  double weight_;
  base::TimePoint deadline_;
  Done done_;
  ClaimMachine machine_;
  Claim claim_;
  std::string row_key_;
  /// Version that the next write of the claim demands, then that of the claim.
  store::RowVersion version_ = store::kAbsent;
  base::TimePoint written_at_{};
  bool first_write_ = true;
  /// Calls to the table that have not ended.
  int open_calls_ = 0;
  bool joined_queue_ = false;
  base::Backoff reread_;
  base::TimerId timer_ = 0;
  /// Somebody else's claim, to be answered from.
  Claim found_;
  RequestAnswered answer_;
  /// Why the request was given up or lost.
  NotDispatched not_dispatched_;
  DispatchLost lost_;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_CLAIMED_REQUEST_H_
