#include "scheduler_main/status_publisher.h"

#include <optional>
#include <set>
#include <utility>

namespace lapishatch::scheduler_main {

class StatusPublisher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(PublisherPorts ports, PublisherOptions options)
      : ports_(ports), options_(std::move(options)) {}

  /// Runs `task` on the loop while the publisher is there.
  template <typename Task>
  void Post(Task task) {
    ports_.loop.Post([weak = weak_from_this(), task = std::move(task)] {
      if (const auto self = weak.lock()) task(*self);
    });
  }

  void Take(const base::JobName& job, config::JobStatus status,
            store::RowVersion version) {
    auto& wanted = wanted_[job];
    if (wanted.version >= version) return;
    wanted.status = std::move(status);
    wanted.version = version;
    Queue(job, wanted);
    Pump();
  }

  std::size_t waiting() const { return wanted_.size(); }

 private:
  /// The newest status known of a job whose log entry is not known to be as
  /// new.
  struct Wanted {
    config::JobStatus status;
    store::RowVersion version = store::kAbsent;
    bool queued = false;
    bool in_flight = false;
  };

  void Queue(const base::JobName& job, Wanted& wanted) {
    if (wanted.queued || wanted.in_flight) return;
    wanted.queued = true;
    queue_.push_back(job);
  }

  void Pump() {
    while (in_flight_ < options_.in_flight && !queue_.empty()) {
      const auto job = queue_.front();
      queue_.pop_front();
      const auto it = wanted_.find(job);
      if (it == wanted_.end()) continue;
      it->second.queued = false;
      Submit(job, it->second);
    }
  }

  void Submit(const base::JobName& job, Wanted& wanted) {
    const config::ResourceRef ref{config::ResourceKind::kJob, job.str()};
    const auto present = ports_.mirror.Find(ref);
    if (present != nullptr && present->status == wanted.status) {
      wanted_.erase(job);
      return;
    }
    wanted.in_flight = true;
    ++in_flight_;
    config::ChangeSet set;
    set.changed_by = options_.changed_by;
    set.changes.push_back({ref, config::Anyway{},
                           config::PutStatus{wanted.status, wanted.version}});
    const auto version = wanted.version;
    ports_.writer.Submit(std::move(set),
                         [weak = weak_from_this(), job,
                          version](const config::ChangeOutcome& outcome) {
                           const auto self = weak.lock();
                           if (self) self->Finish(job, version, outcome);
                         });
  }

  void Finish(const base::JobName& job, store::RowVersion version,
              const config::ChangeOutcome& outcome) {
    --in_flight_;
    const auto it = wanted_.find(job);
    if (it != wanted_.end()) {
      auto& wanted = it->second;
      wanted.in_flight = false;
      if (wanted.version > version) {
        Queue(job, wanted);
      } else if (std::holds_alternative<config::ChangesAccepted>(outcome) ||
                 std::holds_alternative<config::ChangesRefused>(outcome)) {
        wanted_.erase(it);
      } else {
        ReadLater(job);
      }
    }
    Pump();
  }

  /// The status was not written, or is not known to be: the row says what is to
  /// be told by now.
  void ReadLater(const base::JobName& job) {
    ports_.loop.After(options_.retry, [weak = weak_from_this(), job] {
      if (const auto self = weak.lock()) self->Read(job);
    });
  }

  void Read(const base::JobName& job) {
    ports_.table.Read(scheduler::StatusKey(job),
                      [weak = weak_from_this(), job](store::ReadResult result) {
                        const auto self = weak.lock();
                        if (!self) return;
                        self->Post([job, result = std::move(result)](Impl& it) {
                          it.OnRead(job, result);
                        });
                      });
  }

  void OnRead(const base::JobName& job, const store::ReadResult& result) {
    const auto it = wanted_.find(job);
    if (it == wanted_.end() || it->second.in_flight) return;
    const auto* row = std::get_if<std::optional<store::Row>>(&result);
    if (row == nullptr) return ReadLater(job);
    const auto found =
        *row ? scheduler::DecodeStatusRow((*row)->value) : std::nullopt;
    if (!found) {
      // The job was deleted meanwhile.
      wanted_.erase(it);
      return;
    }
    it->second.status = found->status;
    it->second.version = (*row)->version;
    Queue(job, it->second);
    Pump();
  }

  PublisherPorts ports_;
  const PublisherOptions options_;
  std::map<base::JobName, Wanted> wanted_;
  std::deque<base::JobName> queue_;
  std::size_t in_flight_ = 0;
};

StatusPublisher::StatusPublisher(PublisherPorts ports, PublisherOptions options)
    : impl_(std::make_shared<Impl>(ports, std::move(options))) {}

StatusPublisher::~StatusPublisher() = default;

void StatusPublisher::Offer(base::JobName job, config::JobStatus status,
                            store::RowVersion version) {
  impl_->Post([job = std::move(job), status = std::move(status),
               version](Impl& self) { self.Take(job, status, version); });
}

std::size_t StatusPublisher::waiting() const { return impl_->waiting(); }

}  // namespace lapishatch::scheduler_main
