#include "scheduler_main/cell_host.h"

#include <utility>

namespace lapishatch::scheduler_main {

CellHost::CellHost(boost::asio::io_context& io, scheduler::OwnerOptions options,
                   CellPorts ports)
    : options_(std::move(options)),
      ports_(std::move(ports)),
      loop_(base::MakeAsioEventLoop(io)) {}

CellHost::~CellHost() = default;

template <typename Task>
void CellHost::Post(Task task) {
  loop_->Post([this, task = std::move(task)] {
    if (owner_ != nullptr) task(*owner_);
  });
}

void CellHost::Start() {
  loop_->Post([this] {
    owner_ = std::make_unique<scheduler::CellOwner>(
        options_, scheduler::OwnerPorts{*loop_, ports_.table, ports_.workers,
                                        ports_.probe, ports_.feed,
                                        ports_.metrics, ports_.group});
    owner_->Start();
  });
}

void CellHost::Stop(std::function<void()> done) {
  Post([done = std::move(done)](scheduler::CellOwner& it) { it.Stop(done); });
}

void CellHost::CheckNow() {
  Post([](scheduler::CellOwner& it) { it.CheckNow(); });
}

void CellHost::AnswerProbe(base::Incarnation holder,
                           std::function<void(scheduler::ProbeAnswer)> done) {
  Post([holder = std::move(holder), done = std::move(done)](
           scheduler::CellOwner& it) { done(it.AnswerProbe(holder)); });
}

void CellHost::Status(std::function<void(scheduler::OwnerStatus)> done) {
  Post([done = std::move(done)](scheduler::CellOwner& it) {
    done(it.Status());
  });
}

void CellHost::Explain(base::JobName job,
                       std::function<void(placement::Explanation)> done) {
  Post([job = std::move(job), done = std::move(done)](
           scheduler::CellOwner& it) { done(it.Explain(job)); });
}

}  // namespace lapishatch::scheduler_main
