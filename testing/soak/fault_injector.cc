#include "soak/fault_injector.h"

#include <csignal>
#include <utility>

namespace lapishatch::soak {

using fakes::StoreFault;
using scenario::LinkMode;

FaultInjector::FaultInjector(base::EventLoop& loop, FaultTargets targets,
                             std::uint64_t seed)
    : loop_(loop), targets_(std::move(targets)), random_(seed) {}

int FaultInjector::RandomInt(int from, int to) {
  return std::uniform_int_distribution<int>(from, to)(random_);
}

std::size_t FaultInjector::RandomIndex(std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
}

base::Duration FaultInjector::RandomDuration() {
  return base::Duration(RandomInt(200, 4'000));
}

void FaultInjector::ScheduleEnd(std::function<void()> end) {
  end_actions_.push_back(end);
  loop_.After(RandomDuration(), [this, end = std::move(end)] {
    if (!is_stopped_) end();
  });
}

void FaultInjector::InjectFault() {
  if (is_stopped_) return;
  ++faults_begun_;
  switch (RandomInt(0, 4)) {
    case 0:
      return SignalProcess();
    case 1:
      return InjectLinkFault(
          *targets_.store_relays[RandomIndex(targets_.store_relays.size())]);
    case 2:
      return InjectLinkFault(
          *targets_.workers[RandomIndex(targets_.workers.size())].relay);
    case 3:
      return InjectStoreFault();
    default:
      return InjectWorkerFault();
  }
}

void FaultInjector::SignalProcess() {
  auto& process = *targets_.processes[RandomIndex(targets_.processes.size())];
  const auto now = loop_.Now();
  switch (RandomInt(0, 3)) {
    case 0:
      return process.Signal(SIGKILL, now, base::Duration(RandomInt(0, 2'000)));
    case 1:
      return process.Signal(SIGTERM, now, base::Duration(0));
    case 2:
      return process.Signal(SIGHUP, now, base::Duration(0));
    default:
      process.Signal(SIGSTOP, now, base::Duration(0));
      return ScheduleEnd([this, &process] {
        process.Signal(SIGCONT, loop_.Now(), base::Duration(0));
      });
  }
}

void FaultInjector::InjectLinkFault(scenario::Relay& relay) {
  constexpr std::array kModes = {LinkMode::kCut, LinkMode::kSilent,
                                 LinkMode::kSilentOpen};
  relay.SetMode(kModes[RandomIndex(kModes.size())]);
  ScheduleEnd([&relay] { relay.SetMode(LinkMode::kOpen); });
}

void FaultInjector::InjectStoreFault() {
  if (RandomInt(0, 4) == 0) return targets_.rows.DropHistory();
  constexpr std::array kFaults = {StoreFault::kSilent, StoreFault::kBusy,
                                  StoreFault::kAnswersLost, StoreFault::kLate};
  targets_.rows.SetFaultForAll(kFaults[RandomIndex(kFaults.size())]);
  ScheduleEnd([this] { targets_.rows.SetFaultForAll(StoreFault::kNone); });
}

void FaultInjector::InjectWorkerFault() {
  const auto index = RandomIndex(targets_.workers.size());
  const auto name = targets_.workers[index].registration.name;
  auto& model = targets_.worker_model;
  switch (RandomInt(0, 4)) {
    case 0:
      model.SetHanging(name, true);
      return ScheduleEnd([&model, name] { model.SetHanging(name, false); });
    case 1:
      model.SetFailing(name, true);
      return ScheduleEnd([&model, name] { model.SetFailing(name, false); });
    case 2:
      return model.DelayNextStart(name, RandomDuration());
    case 3:
      return targets_.replace_worker(index, base::Duration(0));
    default:
      return targets_.replace_worker(index, base::Duration(2'000));
  }
}

void FaultInjector::EndAllFaults() {
  is_stopped_ = true;
  for (const auto& it : end_actions_) it();
}

void FaultInjector::RestartEndedProcesses() {
  for (const auto& it : targets_.processes) it->EnsureRunningAt(loop_.Now());
}

}  // namespace lapishatch::soak
