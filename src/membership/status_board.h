#ifndef LAPISHATCH_MEMBERSHIP_STATUS_BOARD_H_
#define LAPISHATCH_MEMBERSHIP_STATUS_BOARD_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "membership/node.h"

namespace lapishatch::membership {

using ProcessStatuses = std::vector<wire::ProcessStatus>;

/// What every process says of itself; the caller adds cells, if it has any.
wire::ProcessStatus StatusOf(const wire::Identity& self, bool ready,
                             const config::Mirror& mirror);

struct StatusBoardOptions {
  /// For the answer of a process of the own failure domain.
  base::Duration member_timeout{400};
  /// For the answer of the process that gathers another failure domain; then
  /// again for a second one.
  base::Duration domain_timeout{700};
  /// Questions that come so soon after an answer get the same one.
  base::Duration keep_for{2'000};
  /// Of the newest warnings and errors of a failure domain, in what is sent to
  /// another.
  std::size_t events_per_domain = 12;
};

/// What all processes say of themselves, for the status page. A process asks
/// those of its own failure domain, and one of every other, which asks its own
/// in turn; so a status costs a process no more messages than the members of a
/// domain and the domains together, and two questions at a time cost one. Who
/// did not answer is missing in the answer. To be used on the loop of the node
/// only.
class StatusBoard {
 public:
  using Done = std::function<void(const ProcessStatuses&)>;
  /// The status of this process, at once or when its cells have answered.
  using Source = std::function<void(std::function<void(wire::ProcessStatus)>)>;

  /// `loop` and `node` must outlive the board, which answers the StatusQuery of
  /// others from now on.
  StatusBoard(base::EventLoop& loop, Node& node, Source own,
              StatusBoardOptions options = {});
  ~StatusBoard();
  StatusBoard(const StatusBoard&) = delete;
  StatusBoard& operator=(const StatusBoard&) = delete;

  /// Asks all processes. Calls `done` once, after member_timeout and twice
  /// domain_timeout at the latest.
  void Ask(Done done);

 private:
  /// One question of many: those who wait for it, and its last answer.
  struct Shared {
    std::vector<Done> waiting;
    bool is_open = false;
    std::optional<ProcessStatuses> last;
    base::TimePoint answered_at;
  };
  /// Answers that are still to come.
  struct Round {
    Shared* shared = nullptr;
    std::size_t open = 0;
    ProcessStatuses found;
  };

  void Answer(const wire::StatusQuery& query,
              const std::function<void(wire::Answer)>& reply);
  /// Whether `done` waits for a question that has to be begun.
  bool Join(Shared& shared, Done done);
  void GatherDomain(Done done);
  void AskOwn(const std::shared_ptr<Round>& round);
  void AskMember(const wire::Peer& peer, const std::shared_ptr<Round>& round);
  /// Asks the first of `gatherers`, and the next when it does not answer.
  void AskDomain(std::vector<wire::Peer> gatherers,
                 const std::shared_ptr<Round>& round);
  void Add(const std::shared_ptr<Round>& round, ProcessStatuses found);
  void Finish(Round& round);
  /// Of the domain's events, only the newest.
  ProcessStatuses Trimmed(ProcessStatuses statuses) const;

  base::EventLoop& loop_;
  Node& node_;
  Source own_;
  StatusBoardOptions options_;
  Shared domain_;
  Shared system_;
  /// Lets callbacks that come later find out that the board is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_STATUS_BOARD_H_
