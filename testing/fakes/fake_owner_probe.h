#ifndef LAPISHATCH_TESTING_FAKES_FAKE_OWNER_PROBE_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_OWNER_PROBE_H_

#include <functional>
#include <map>
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

  void Remove(const http::Endpoint& endpoint) { answers_.erase(endpoint); }

 private:
  friend class FakeOwnerProbe;

  struct Answerer {
    FakeProcess* process = nullptr;
    std::function<scheduler::ProbeAnswer(const base::Incarnation&)> answer;
  };

  std::map<http::Endpoint, Answerer> answers_;
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
    const auto it = owners_.answers_.find(at);
    if (cut_ || it == owners_.answers_.end()) return;
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
