#ifndef LAPISHATCH_ROUTING_REQUEST_QUEUE_H_
#define LAPISHATCH_ROUTING_REQUEST_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/base.h"

namespace lapishatch::routing {

/// Names a request inside its dispatcher.
using RequestToken = std::uint64_t;

struct RequestQueueOptions {
  /// Requests that may wait, per class.
  std::size_t max_per_class = 1024;
  /// One pop in so many goes to the lowest class that waits, so that no class
  /// starves.
  int lowest_class_every = 16;
};

/// What became of a push.
struct PushResult {
  bool queued = false;
  /// A request of an organisation over its share that had to give way.
  std::optional<RequestToken> displaced;
};

/// Requests that wait for a slot: urgent before normal before quiet, and inside
/// a class start-time fair queueing over organisations by weight. A full class
/// takes a request only from an organisation that holds less than the one with
/// the longest queue for its weight, whose newest request then gives way. Push
/// and Pop cost the logarithm of the organisations that wait. Not thread-safe.
class RequestQueue {
 public:
  explicit RequestQueue(RequestQueueOptions options) : options_(options) {}

  PushResult Push(RequestToken token,
                  const base::OrganisationName& organisation,
                  base::WorkClass work_class, double weight);

  /// Puts a request that was popped back in front of its organisation's, even
  /// into a full class.
  void PushFront(RequestToken token, const base::OrganisationName& organisation,
                 base::WorkClass work_class, double weight);

  /// The next to run.
  std::optional<RequestToken> Pop();

  /// Takes a request out; false when it does not wait.
  bool Remove(RequestToken token);

  /// Requests of the classes that go before this one.
  std::size_t SizeBefore(base::WorkClass work_class) const;

  /// How many requests of its class run before a new one of this organisation,
  /// if nothing else arrives.
  double Ahead(const base::OrganisationName& organisation,
               base::WorkClass work_class, double weight) const;

  std::size_t size() const { return places_.size(); }
  std::size_t size(base::WorkClass work_class) const;
  bool empty() const { return places_.empty(); }

 private:
  /// One organisation's requests. A line stays when it is empty, so that an
  /// organisation which always has just one request waiting gets no more than
  /// its share; there are as many as organisations.
  struct Line {
    std::list<RequestToken> tokens;
    double weight = 1;
    /// Virtual time at which the first of the line starts.
    double start = 0;
    bool active = false;
  };

  using Lines = std::map<base::OrganisationName, Line>;
  using Order = std::set<std::pair<double, base::OrganisationName>>;

  struct ClassQueue {
    Lines lines;
    /// Lines that are not empty, by the start of their first request.
    Order order;
    double virtual_time = 0;
    double active_weight = 0;
    std::size_t size = 0;
  };

  struct Place {
    base::WorkClass work_class;
    base::OrganisationName organisation;
    std::list<RequestToken>::iterator position;
  };

  ClassQueue& QueueOf(base::WorkClass work_class) {
    return classes_[static_cast<std::size_t>(work_class)];
  }
  const ClassQueue& QueueOf(base::WorkClass work_class) const {
    return classes_[static_cast<std::size_t>(work_class)];
  }

  Line& LineOf(ClassQueue& queue, const base::OrganisationName& organisation,
               double weight);
  void Deactivate(ClassQueue& queue, Lines::iterator line);
  std::optional<base::WorkClass> NextClass();
  std::optional<RequestToken> Displace(ClassQueue& queue,
                                       const base::OrganisationName& newcomer,
                                       double weight);

  RequestQueueOptions options_;
  std::array<ClassQueue, base::kEnumSize<base::WorkClass>> classes_;
  std::unordered_map<RequestToken, Place> places_;
  int pops_ = 0;
};

}  // namespace lapishatch::routing

#endif  // LAPISHATCH_ROUTING_REQUEST_QUEUE_H_
