#ifndef LAPISHATCH_TESTING_FAKES_FAKE_OWNER_PROBE_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_OWNER_PROBE_H_

#include <functional>
#include <map>
#include <set>
#include <utility>

#include "fakes/fake_process.h"
#include "fakes/virtual_time.h"
#include "scheduler/scheduler.h"

namespace lapishatch::fakes {

/// Who answers at which address; one for all processes of a test.
class FakeOwners {
 public:
  explicit FakeOwners(VirtualTime&) {}

  /// Does `answer` on the process's loop, so that a paused process is silent.
  void Add(
      const http::Endpoint& endpoint, FakeProcess& process,
      std::function<scheduler::ProbeAnswer(const base::Incarnation&)> answer) {
    answers_[endpoint] = {&process, std::move(answer)};
  }

  /// The process ends: its machine refuses connections to it.
  void Remove(const http::Endpoint& endpoint) { answers_.erase(endpoint); }

  /// The same for a process whose answerer is kept: it still keeps alive what
  /// others' answers refer to.
  void Refuse(const http::Endpoint& endpoint) { refusing_.insert(endpoint); }

  /// The machine is gone: it does not even refuse.
  void Vanish(const http::Endpoint& endpoint) { vanished_.insert(endpoint); }

  /// What the group says of the process at `endpoint` from now on.
  void SetDoubt(const http::Endpoint& endpoint,
                lifecycle::HolderSuspicion doubt) {
    doubts_[endpoint] = doubt;
  }

  lifecycle::HolderSuspicion DoubtOf(const http::Endpoint& endpoint) const {
    const auto it = doubts_.find(endpoint);
    return it == doubts_.end() ? lifecycle::HolderSuspicion::kNone : it->second;
  }

  scheduler::GroupWord Word() const {
    return [this](const base::Incarnation&, const http::Endpoint& at) {
      return DoubtOf(at);
    };
  }

 private:
  friend class FakeOwnerProbe;

  struct Answerer {
    FakeProcess* process = nullptr;
    std::function<scheduler::ProbeAnswer(const base::Incarnation&)> answer;
  };

  std::map<http::Endpoint, Answerer> answers_;
  std::map<http::Endpoint, lifecycle::HolderSuspicion> doubts_;
  std::set<http::Endpoint> refusing_;
  std::set<http::Endpoint> vanished_;
};

/// How one process asks other owners.
class FakeOwnerProbe final : public scheduler::OwnerProbe {
 public:
  FakeOwnerProbe(FakeOwners& owners, FakeProcess& process)
      : owners_(owners), process_(process) {}

  /// While cut, nobody answers this process.
  void SetCut(bool cut) { cut_ = cut; }

  void Ask(const http::Endpoint& at, const base::CellName&,
           const base::Incarnation& holder,
           std::function<void(scheduler::ProbeResult)> done) override {
    auto once = std::make_shared<std::function<void(scheduler::ProbeResult)>>(
        std::move(done));
    const auto answer = [once](const scheduler::ProbeResult& result) {
      if (*once) std::exchange(*once, nullptr)(result);
    };
    process_.After(kTimeout,
                   [answer] { answer(scheduler::ProbeFailed{"no answer"}); });
    if (cut_ || owners_.vanished_.contains(at)) return;
    const auto it = owners_.answers_.find(at);
    if (owners_.refusing_.contains(at) || it == owners_.answers_.end()) {
      process_.After(2 * kLatency,
                     [answer] { answer(scheduler::ProbeRefused{}); });
      return;
    }
    it->second.process->After(kLatency, [ask = it->second.answer, holder,
                                         answer, &process = process_] {
      const auto said = ask(holder);
      process.After(kLatency, [answer, said] { answer(said); });
    });
  }

 private:
  static constexpr base::Duration kLatency{1};
  static constexpr base::Duration kTimeout{1'000};

  FakeOwners& owners_;
  FakeProcess& process_;
  bool cut_ = false;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_OWNER_PROBE_H_
