#include "soak/fault_player.h"

#include <csignal>
#include <utility>

namespace lapishatch::soak {

using fakes::StoreFault;
using scenario::LinkMode;

FaultPlayer::FaultPlayer(base::EventLoop& loop, FaultTargets targets,
                         std::uint64_t seed)
    : loop_(loop), targets_(std::move(targets)), random_(seed) {}

int FaultPlayer::Draw(int from, int to) {
  return std::uniform_int_distribution<int>(from, to)(random_);
}

std::size_t FaultPlayer::DrawIndex(std::size_t size) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
}

base::Duration FaultPlayer::DrawLength() {
  return base::Duration(Draw(200, 4'000));
}

void FaultPlayer::EndLater(std::function<void()> end) {
  ends_.push_back(end);
  loop_.After(DrawLength(), [this, end = std::move(end)] {
    if (!is_healed_) end();
  });
}

void FaultPlayer::Play() {
  if (is_healed_) return;
  ++played_;
  switch (Draw(0, 4)) {
    case 0:
      return SignalProcess();
    case 1:
      return ChangeLink(
          *targets_.store_relays[DrawIndex(targets_.store_relays.size())]);
    case 2:
      return ChangeLink(
          *targets_.workers[DrawIndex(targets_.workers.size())].relay);
    case 3:
      return DisturbStore();
    default:
      return DisturbWorker();
  }
}

void FaultPlayer::SignalProcess() {
  auto& process = *targets_.processes[DrawIndex(targets_.processes.size())];
  const auto now = loop_.Now();
  switch (Draw(0, 3)) {
    case 0:
      return process.Signal(SIGKILL, now, base::Duration(Draw(0, 2'000)));
    case 1:
      return process.Signal(SIGTERM, now, base::Duration(0));
    case 2:
      return process.Signal(SIGHUP, now, base::Duration(0));
    default:
      process.Signal(SIGSTOP, now, base::Duration(0));
      return EndLater([this, &process] {
        process.Signal(SIGCONT, loop_.Now(), base::Duration(0));
      });
  }
}

void FaultPlayer::ChangeLink(scenario::Relay& relay) {
  constexpr std::array kModes = {LinkMode::kCut, LinkMode::kSilent,
                                 LinkMode::kSilentOpen};
  relay.SetMode(kModes[DrawIndex(kModes.size())]);
  EndLater([&relay] { relay.SetMode(LinkMode::kOpen); });
}

void FaultPlayer::DisturbStore() {
  if (Draw(0, 4) == 0) return targets_.rows.DropHistory();
  constexpr std::array kFaults = {StoreFault::kSilent, StoreFault::kBusy,
                                  StoreFault::kAnswersLost, StoreFault::kLate};
  targets_.rows.SetFaultForAll(kFaults[DrawIndex(kFaults.size())]);
  EndLater([this] { targets_.rows.SetFaultForAll(StoreFault::kNone); });
}

void FaultPlayer::DisturbWorker() {
  const auto index = DrawIndex(targets_.workers.size());
  const auto name = targets_.workers[index].entry.name;
  auto& model = targets_.worker_model;
  switch (Draw(0, 4)) {
    case 0:
      model.Hang(name, true);
      return EndLater([&model, name] { model.Hang(name, false); });
    case 1:
      model.FailAll(name, true);
      return EndLater([&model, name] { model.FailAll(name, false); });
    case 2:
      return model.MakeNextStartLate(name, DrawLength());
    case 3:
      return targets_.replace_worker(index, base::Duration(0));
    default:
      return targets_.replace_worker(index, base::Duration(2'000));
  }
}

void FaultPlayer::Heal() {
  is_healed_ = true;
  for (const auto& it : ends_) it();
}

void FaultPlayer::KeepProcesses() {
  for (const auto& it : targets_.processes) it->KeepAt(loop_.Now());
}

}  // namespace lapishatch::soak
