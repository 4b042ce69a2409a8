#include "entry/entry_process.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <utility>
#include <vector>

#include "entry/directories.h"
#include "entry/entry_view.h"
#include "entry/owner_explainer.h"
#include "entry/refusal.h"
#include "entry/status_page.h"

namespace lapishatch::entry {
namespace {

constexpr base::Duration kCloseLimit{1'000};
constexpr base::Duration kLoadedPoll{20};
constexpr std::string_view kHousekeeperKey = "housekeeper";

std::int64_t UnixMs() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  using std::chrono::system_clock;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

http::ClientLimits PlatformLimits(const PlatformOptions& options) {
  http::ClientLimits limits;
  limits.connections_per_endpoint = options.connections;
  limits.connect_timeout = options.timeout;
  return limits;
}

http::ClientLimits RunnerLimits(const RunnerConnectionOptions& options) {
  http::ClientLimits limits;
  limits.connections_per_endpoint = options.connections_per_runner;
  limits.connect_timeout = options.connect_timeout;
  // The request path counts what a runner may get; nothing waits below it.
  limits.waiting_per_endpoint = 0;
  return limits;
}

wire::Identity IdentityOf(const config::Program& program) {
  const auto& process = program.process();
  wire::Identity identity;
  identity.name = wire::ProcessName(process.name.str());
  identity.role = wire::Role::kEntry;
  identity.domain = process.failure_domain;
  identity.incarnation = program.incarnation();
  identity.endpoint = {process.peer_listen.address, process.peer_listen.port};
  return identity;
}

wire::AsioTransportOptions TransportOptions(const config::Program& program) {
  wire::AsioTransportOptions options;
  options.identity = IdentityOf(program);
  membership::ChargeTransport(options, program.resources());
  const auto& process = program.process();
  if (process.peer_advertised.port == 0) return options;
  options.listen = options.identity.endpoint;
  options.identity.endpoint = {process.peer_advertised.address,
                               process.peer_advertised.port};
  return options;
}

http::Response NoSuchPath(const std::string& path) {
  Refusal refusal;
  refusal.status = kNotFound;
  refusal.type = "not-found";
  refusal.title = "No such path";
  refusal.detail = path + " is not there; docs/API.md lists what is";
  return ToResponse(refusal);
}

/// To a caller whom the balancer has not yet sent elsewhere.
Refusal Superseded() {
  Refusal refusal;
  refusal.status = kUnavailable;
  refusal.type = "superseded";
  refusal.title = "This entry is stopping";
  refusal.detail = "a newer life of this entry runs; try again at another one";
  refusal.retry_after_s = 1;
  return refusal;
}

/// The service of POST /v1/services/{service}/requests.
const std::string* ServiceOf(const http::Target& target) {
  const auto& path = target.segments;
  const bool is_requests = path.size() == 4 && path[0] == "v1" &&
                           path[1] == "services" && path[3] == "requests";
  return is_requests ? &path[2] : nullptr;
}

}  // namespace

class EntryProcess::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(config::Program& program, EntryOptions options)
      : program_(program),
        options_(std::move(options)),
        seed_(std::hash<std::string>()(program.incarnation().str())),
        loop_(base::MakeAsioEventLoop(program.io())),
        platform_client_(program.io(), PlatformLimits(options_.platform),
                         program.resources()),
        runner_client_(program.io(), RunnerLimits(options_.runners),
                       program.resources()),
        worker_client_(program.io(), http::ClientLimits(), program.resources()),
        table_(store::MakeHttpTable(platform_client_, Platform())),
        objects_(store::MakeHttpObjectStore(platform_client_, Platform())),
        vms_(store::MakeHttpVmList(platform_client_, Platform())),
        runners_(backends::MakeHttpRunnerClient(runner_client_)),
        workers_(backends::MakeHttpWorkerClient(worker_client_, {})),
        claims_(*table_, *loop_, ClaimTableOptions()),
        transport_(wire::MakeAsioTransport(program.io(), *loop_,
                                           TransportOptions(program))),
        node_(*loop_, *transport_, NodeOptions()),
        seeds_(*loop_, *vms_, node_.group(), SeedsOptions()),
        link_(node_),
        mirror_(Seeded(options_.mirror), MirrorPorts()),
        writer_(Seeded(options_.writer),
                {*loop_, *table_, mirror_, &capacity_, &program.metrics()}),
        housekeeper_(Seeded(options_.housekeeper),
                     {*loop_, mirror_, writer_,
                      [this] { return IsChosen(kHousekeeperKey); }, UnixMs}),
        platform_view_(Seeded(options_.platform_view),
                       {*loop_, *vms_, *table_, *workers_, capacity_}),
        board_(*loop_, node_,
               [this](const std::function<void(wire::ProcessStatus)>& done) {
                 done(membership::StatusOf(node_.group().self(),
                                           program_.ready(), mirror_));
               }),
        organisations_(mirror_),
        runner_directory_(platform_view_, mirror_),
        entries_(node_),
        path_(PathParts(), options_.routing),
        requests_(path_, options_.requests),
        view_(platform_view_, mirror_, node_),
        explainer_(*loop_, node_),
        api_(options_.api, {*loop_, mirror_, writer_, view_, explainer_}),
        server_(program.io(), program.process().listen, program.server_limits(),
                program.resources(),
                program.WithCommonEndpoints(
                    [this](const http::ExchangePtr& it) { Route(it); })) {}

  void Start() {
    loop_->Post([self = shared_from_this()] { self->StartOnLoop(); });
    server_.Start();
  }

  void Stop(std::function<void()> done) {
    loop_->After(options_.stop.accept_for,
                 [self = shared_from_this(), done = std::move(done)] {
                   self->mirror_.EndWatches();
                   self->server_.Drain([self, done] {
                     self->loop_->Post([self, done] { self->Leave(done); });
                   });
                 });
  }

  http::Endpoint endpoint() const { return server_.endpoint(); }
  http::Endpoint peer_endpoint() const {
    const auto bound = transport_->endpoint();
    return {bound.address, bound.port};
  }

 private:
  template <typename Options>
  Options Seeded(Options options) const {
    options.seed = seed_;
    return options;
  }

  store::HttpPlatformOptions Platform() const {
    return {program_.process().platform, options_.platform.timeout};
  }

  store::GroupCommitOptions ClaimTableOptions() const {
    store::GroupCommitOptions options;
    options.writes_per_s = options_.platform.writes_per_s;
    options.random_seed = seed_;
    return options;
  }

  membership::NodeOptions NodeOptions() const {
    membership::NodeOptions options;
    options.group = options_.group;
    options.group.self = IdentityOf(program_);
    options.group.self.endpoint = transport_->endpoint();
    options.group.generation = static_cast<std::uint64_t>(UnixMs());
    options.group.random_seed = seed_;
    for (const auto& it : program_.process().peers) {
      options.group.seeds.push_back({it.address, it.port});
    }
    return options;
  }

  membership::VmSeedsOptions SeedsOptions() const {
    membership::VmSeedsOptions options;
    // The list gives the port for callers; entries have the same inner port.
    options.ports = {transport_->endpoint().port};
    options.random_seed = seed_;
    return options;
  }

  config::MirrorPorts MirrorPorts() {
    return {*loop_, *table_, &link_, &program_.metrics(),
            [this] { return link_.Reads(); }};
  }

  routing::RequestPathParts PathParts() {
    std::vector<base::EventLoop*> loops;
    for (int i = 0; i < program_.process().threads; ++i) {
      path_loops_.push_back(base::MakeAsioEventLoop(program_.io()));
      loops.push_back(path_loops_.back().get());
    }
    return {std::move(loops),
            claims_,
            *objects_,
            *runners_,
            organisations_,
            runner_directory_,
            entries_,
            program_.metrics(),
            program_.incarnation(),
            program_.process().failure_domain,
            UnixMs,
            seed_};
  }

  bool IsChosen(std::string_view key) { return node_.group().IsChosen(key); }

  void StartOnLoop() {
    link_.Connect(mirror_);
    node_.group().OnSuperseded([this] { OnSuperseded(); });
    node_.Start();
    seeds_.Start();
    mirror_.Start();
    platform_view_.Start();
    housekeeper_.Start();
    BecomeReady();
  }

  /// Ready when both logs are in force here, wherever they came from.
  void BecomeReady() {
    const bool loaded = mirror_.IsLoaded(config::LogId::kConfig) &&
                        mirror_.IsLoaded(config::LogId::kJobs);
    if (loaded) {
      program_.SetReady(true);
      return;
    }
    loop_->After(kLoadedPoll, [this] { BecomeReady(); });
  }

  void AnswerStatus(const http::ExchangePtr& exchange) {
    loop_->Post([this, exchange] {
      board_.Ask([this, exchange](const membership::ProcessStatuses& answers) {
        exchange->Respond(
            StatusPage({program_.process(), program_.incarnation(), mirror_,
                        view_, answers}));
      });
    });
  }

  /// Requests in progress go on: claim rows keep them apart from those of the
  /// newer life.
  void OnSuperseded() {
    base::Log(base::events::kStoppingSuperseded,
              {{"name", program_.process().name},
               {"incarnation", program_.incarnation()}});
    is_superseded_ = true;
    program_.BeginStop(config::kExitFailed);
  }

  void Refuse(const http::ExchangePtr& exchange, bool is_request) {
    const auto refusal = Superseded();
    if (!is_request) return exchange->Respond(ToResponse(refusal));
    exchange->Respond(
        RequestHandler::RefuseNotRun(exchange->request(), refusal));
  }

  void Leave(const std::function<void()>& done) {
    node_.Leave();
    transport_->Close(kCloseLimit, done);
  }

  void Route(const http::ExchangePtr& exchange) {
    const auto target = http::ParseTarget(exchange->request().target);
    const auto* service = ServiceOf(target);
    const bool is_request =
        service != nullptr && exchange->request().method == "POST";
    if (is_superseded_) return Refuse(exchange, is_request);
    if (is_request) {
      requests_.Handle(exchange, base::ServiceName(*service));
      return;
    }
    if (target.path == "/v1/status" && exchange->request().method == "GET") {
      return AnswerStatus(exchange);
    }
    if (api_.Handle(exchange, target)) return;
    exchange->Respond(NoSuchPath(target.path));
  }

  config::Program& program_;
  EntryOptions options_;
  std::uint64_t seed_;
  std::unique_ptr<base::EventLoop> loop_;
  http::Client platform_client_;
  http::Client runner_client_;
  http::Client worker_client_;
  std::unique_ptr<store::Table> table_;
  std::unique_ptr<store::ObjectStore> objects_;
  std::unique_ptr<store::VmList> vms_;
  std::unique_ptr<backends::RunnerClient> runners_;
  std::unique_ptr<backends::WorkerClient> workers_;
  /// For the request path's claims, which gain from being merged.
  store::GroupCommitTable claims_;
  std::shared_ptr<wire::AsioTransport> transport_;
  membership::Node node_;
  membership::VmSeeds seeds_;
  membership::MirrorLink link_;
  config::WorkerCapacity capacity_;
  config::Mirror mirror_;
  config::ChangeWriter writer_;
  config::Housekeeper housekeeper_;
  PlatformView platform_view_;
  membership::StatusBoard board_;
  MirrorDirectory organisations_;
  PlatformRunners runner_directory_;
  MemberEntries entries_;
  std::vector<std::unique_ptr<base::EventLoop>> path_loops_;
  routing::RequestPath path_;
  RequestHandler requests_;
  EntryView view_;
  OwnerExplainer explainer_;
  ResourceApi api_;
  std::atomic<bool> is_superseded_{false};
  http::Server server_;
};

EntryProcess::EntryProcess(config::Program& program, EntryOptions options)
    : impl_(std::make_shared<Impl>(program, std::move(options))) {}

EntryProcess::~EntryProcess() = default;

void EntryProcess::Start() { impl_->Start(); }

void EntryProcess::Stop(std::function<void()> done) {
  impl_->Stop(std::move(done));
}

http::Endpoint EntryProcess::endpoint() const { return impl_->endpoint(); }

http::Endpoint EntryProcess::peer_endpoint() const {
  return impl_->peer_endpoint();
}

}  // namespace lapishatch::entry
