#include "scheduler_main/vm_poller.h"

#include <utility>

namespace lapishatch::scheduler_main {

class VmPoller::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, store::VmList& list, base::Duration every,
       OnList on_list)
      : loop_(loop), list_(list), every_(every), on_list_(std::move(on_list)) {}

  void Poll() {
    if (closed_) return;
    list_.List(
        [&loop = loop_, weak = weak_from_this()](store::VmListResult result) {
          loop.Post([weak, result = std::move(result)] {
            if (const auto self = weak.lock()) self->Take(result);
          });
        });
  }

  void Close() { closed_ = true; }

 private:
  void Take(const store::VmListResult& result) {
    if (closed_) return;
    const auto* vms = std::get_if<std::vector<store::Vm>>(&result);
    if (vms != nullptr) on_list_(*vms);
    loop_.After(every_, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Poll();
    });
  }

  base::EventLoop& loop_;
  store::VmList& list_;
  base::Duration every_;
  OnList on_list_;
  bool closed_ = false;
};

VmPoller::VmPoller(base::EventLoop& loop, store::VmList& list,
                   base::Duration every, OnList on_list)
    : impl_(std::make_shared<Impl>(loop, list, every, std::move(on_list))) {}

VmPoller::~VmPoller() { impl_->Close(); }

void VmPoller::Start() { impl_->Poll(); }

}  // namespace lapishatch::scheduler_main
