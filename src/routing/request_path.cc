#include "routing/request_path.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "routing/organisation_limits.h"

namespace lapishatch::routing {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr base::Duration kShareRetryAfter{1'000};

/// The outcome's name in the metrics.
std::string_view NameOf(const RequestOutcome& outcome) {
  const auto* refused = std::get_if<RequestRefused>(&outcome);
  return refused == nullptr ? "answered" : base::NameOf(refused->reason);
}

/// The part of a limit over all entries that falls to one.
std::optional<int> ShareOf(std::optional<int> limit, int entries) {
  if (!limit) return std::nullopt;
  const int n = std::max(entries, 1);
  return std::max(1, (*limit + n - 1) / n);
}

RequestOutcome Refused(Refusal reason, std::string detail,
                       base::Duration retry_after) {
  return RequestRefused{reason, base::WorkDone::kNotRun, std::move(detail),
                        retry_after};
}

}  // namespace

class RequestPath::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(RequestPathParts parts, RequestPathOptions options)
      : parts_(std::move(parts)), options_(options) {
    for (std::size_t i = 0; i < parts_.loops.size(); ++i) {
      shards_.push_back(MakeShard(i));
    }
    sweeper_ = std::make_shared<ClaimSweeper>(*parts_.loops.front(),
                                              parts_.table, parts_.unix_ms,
                                              options_.sweeper, parts_.seed);
    sweeper_->Start();
  }

  void Handle(RoutedRequest request, Done done) {
    auto service = parts_.organisations.FindService(request.service);
    if (!service) {
      return done(Refused(Refusal::kNoSuchService, "no such service",
                          base::Duration(0)));
    }
    const auto organisation =
        parts_.organisations.FindOrganisation(request.organisation);
    if (!organisation) {
      return done(Refused(Refusal::kNoSuchOrganisation, "no such organisation",
                          base::Duration(0)));
    }
    if (service->max_deadline > base::Duration(0)) {
      request.deadline = std::min(request.deadline, service->max_deadline);
    }
    if (!TakePlace(request)) {
      return done(Refused(Refusal::kCannotNow, "too much is in progress",
                          RetryAfter(request)));
    }
    const auto limit = ShareOf(organisation->requests_in_progress,
                               parts_.entries.LiveEntries());
    if (!limits_.TryAdd(request.organisation, limit)) {
      GivePlaceBack(request.body.size());
      return done(Refused(Refusal::kOverShare,
                          "the organisation has its limit in progress",
                          RetryAfter(request)));
    }
    Pass(std::move(request), organisation->weight, std::move(done));
  }

  std::size_t in_progress() const { return in_progress_; }

 private:
  /// The state that one loop owns.
  struct Shard {
    base::EventLoop* loop = nullptr;
    std::unique_ptr<ClaimContext> claims;
    std::unordered_map<base::ServiceName, std::shared_ptr<ServiceDispatcher>>
        dispatchers;
  };

  std::unique_ptr<Shard> MakeShard(std::size_t index) {
    auto shard = std::make_unique<Shard>();
    auto& loop = *parts_.loops[index];
    const auto seed = parts_.seed * 1000 + index;
    shard->loop = &loop;
    shard->claims = std::unique_ptr<ClaimContext>(new ClaimContext{
        loop,
        parts_.table,
        parts_.objects,
        parts_.entries,
        parts_.incarnation,
        parts_.unix_ms,
        options_.claims,
        AdaptiveWindow(options_.claims.window),
        std::make_shared<ClaimKeeper>(loop, parts_.table, parts_.objects,
                                      options_.claims.keeper, seed),
        base::Random(seed),
        {}});
    return shard;
  }

  /// Both are counted before either is judged, so that GivePlaceBack always
  /// takes back what was added.
  bool TakePlace(const RoutedRequest& request) {
    const auto bytes = request.body.size();
    const bool has_place = in_progress_.fetch_add(1) < options_.max_in_progress;
    const bool has_bytes =
        bytes_.fetch_add(bytes) + bytes <= options_.max_bytes_in_progress;
    if (has_place && has_bytes) return true;
    GivePlaceBack(bytes);
    return false;
  }

  void GivePlaceBack(std::size_t bytes) {
    --in_progress_;
    bytes_ -= bytes;
  }

  /// A time to come back after, spread over callers by their request's id.
  static base::Duration RetryAfter(const RoutedRequest& request) {
    const auto spread = std::hash<base::RequestId>()(request.id) %
                        (2 * kShareRetryAfter.count());
    return kShareRetryAfter + base::Duration(spread);
  }

  Shard& ShardOf(const base::ServiceName& service) {
    return *shards_[std::hash<base::ServiceName>()(service) % shards_.size()];
  }

  void Pass(RoutedRequest request, double weight, Done done) {
    auto& shard = ShardOf(request.service);
    const auto received = shard.loop->Now();
    auto finish = [weak = weak_from_this(), done = std::move(done), received,
                   organisation = request.organisation,
                   work_class = request.work_class, bytes = request.body.size(),
                   loop = shard.loop](RequestOutcome outcome) {
      const auto self = weak.lock();
      if (!self) return;
      self->limits_.Remove(organisation);
      self->GivePlaceBack(bytes);
      self->Note(organisation, work_class, outcome, loop->Now() - received);
      done(std::move(outcome));
    };
    shard.loop->Post([weak = weak_from_this(), &shard, received, weight,
                      request = std::move(request),
                      finish = std::move(finish)]() mutable {
      const auto self = weak.lock();
      if (!self) return;
      const auto deadline = received + request.deadline;
      self->Begin(shard, std::move(request), weight, deadline,
                  std::move(finish));
    });
  }

  void Begin(Shard& shard, RoutedRequest request, double weight,
             base::TimePoint deadline, Done done) {
    const auto dispatcher = DispatcherOf(shard, request.service);
    if (!request.idempotent) {
      ClaimedRequest::Start(*shard.claims, *dispatcher, std::move(request),
                            weight, deadline, std::move(done));
      return;
    }
    DispatchJob job;
    job.request = std::move(request);
    job.weight = weight;
    job.deadline = deadline;
    job.ended = [done = std::move(done)](DispatchResult result) {
      done(OutcomeOf(std::move(result)));
    };
    dispatcher->Submit(std::move(job));
  }

  static RequestOutcome OutcomeOf(DispatchResult result) {
    if (auto* answer = std::get_if<backends::RunnerResponse>(&result)) {
      return RequestAnswered{answer->status, std::move(answer->content_type),
                             std::move(answer->body)};
    }
    if (auto* refused = std::get_if<NotDispatched>(&result)) {
      return RequestRefused{refused->reason, base::WorkDone::kNotRun,
                            std::move(refused->detail), refused->retry_after};
    }
    auto& lost = std::get<DispatchLost>(result);
    const auto reason =
        lost.timed_out ? Refusal::kDeadlinePassed : Refusal::kRunnerFailed;
    return RequestRefused{reason, base::WorkDone::kUnknown,
                          std::move(lost.detail), base::Duration(0)};
  }

  std::shared_ptr<ServiceDispatcher> DispatcherOf(
      Shard& shard, const base::ServiceName& service) {
    auto& dispatcher = shard.dispatchers[service];
    if (dispatcher) return dispatcher;
    dispatcher = std::make_shared<ServiceDispatcher>(
        *shard.loop, parts_.runners, parts_.runner_directory, service,
        parts_.domain, options_.dispatcher,
        parts_.seed + std::hash<base::ServiceName>()(service));
    dispatcher->Start();
    return dispatcher;
  }

  void Note(const base::OrganisationName& organisation,
            base::WorkClass work_class, const RequestOutcome& outcome,
            base::Duration time) {
    const base::MetricLabels labels{
        {"class", std::string(base::NameOf(work_class))},
        {"organisation", organisation.str()}};
    parts_.metrics.Observe(
        "lapishatch_request_seconds", labels,
        static_cast<double>(time.count()) / kMillisecondsPerSecond);
    parts_.metrics.Count("lapishatch_requests_total",
                         {{"outcome", std::string(NameOf(outcome))}});
  }

  RequestPathParts parts_;
  RequestPathOptions options_;
  OrganisationLimits limits_;
  std::atomic<std::size_t> in_progress_{0};
  std::atomic<std::size_t> bytes_{0};
  std::vector<std::unique_ptr<Shard>> shards_;
  std::shared_ptr<ClaimSweeper> sweeper_;
};

RequestPath::RequestPath(RequestPathParts parts, RequestPathOptions options)
    : impl_(std::make_shared<Impl>(std::move(parts), options)) {}

RequestPath::~RequestPath() = default;

void RequestPath::Handle(RoutedRequest request, Done done) {
  impl_->Handle(std::move(request), std::move(done));
}

std::size_t RequestPath::in_progress() const { return impl_->in_progress(); }

}  // namespace lapishatch::routing
