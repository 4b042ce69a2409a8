#include "entry/resource_api.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "entry/explanation.h"
#include "entry/preconditions.h"

namespace lapishatch::entry {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::size_t kKindSegment = 1;
constexpr std::size_t kNameSegment = 2;
constexpr std::size_t kActionSegment = 3;
constexpr std::size_t kMostOperatorBytes = 64;

json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

Refusal NotFound(const std::string& what) {
  Refusal refusal;
  refusal.status = kNotFound;
  refusal.type = "not-found";
  refusal.title = "No such resource";
  refusal.detail = what + " is not there";
  return refusal;
}

Refusal NotLoaded() {
  Refusal refusal;
  refusal.status = kUnavailable;
  refusal.type = "starting";
  refusal.title = "The configuration is not known here yet";
  refusal.detail =
      "this entry has neither reached the platform's table nor another entry "
      "since it started";
  refusal.retry_after_s = 1;
  return refusal;
}

Refusal MethodNotAllowed(const http::Request& request,
                         std::string_view allowed) {
  Refusal refusal;
  refusal.status = kMethodNotAllowed;
  refusal.type = "method";
  refusal.title = "Method not allowed";
  refusal.detail =
      request.method + " is not allowed here: " + std::string(allowed);
  return refusal;
}

Refusal BadBody(const config::Problems& problems) {
  Refusal refusal;
  refusal.status = kBadRequest;
  refusal.type = "bad-body";
  refusal.title = "The body is not allowed";
  refusal.detail = config::TextOf(problems);
  refusal.problems = problems;
  return refusal;
}

Refusal BadName(const std::string& name) {
  return BadBody({{{"name", "\"" + name + "\" is not allowed: " +
                                std::string(config::kNameRule)}}});
}

void RespondMethod(const http::ExchangePtr& exchange,
                   std::string_view allowed) {
  auto response = ToResponse(MethodNotAllowed(exchange->request(), allowed));
  response.headers.Set("Allow", allowed);
  exchange->Respond(std::move(response));
}

bool IsTrue(const http::Target& target, std::string_view name) {
  const auto value = target.Query(name);
  return value == "true" || value == "1";
}

/// Who makes the change, as the operator's client says.
std::string OperatorOf(const http::Request& request) {
  auto name = std::string(request.headers.Find("Lapishatch-Operator"));
  if (name.size() > kMostOperatorBytes) name.resize(kMostOperatorBytes);
  std::erase_if(name, [](char c) { return c < ' ' || c > '~'; });
  return name;
}

/// Runs a parser; on problems answers 400 and gives nothing.
template <typename Value, typename Parse>
std::optional<Value> ParseOrRefuse(const http::ExchangePtr& exchange,
                                   Parse parse) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, parse());
        return std::optional<Value>(std::move(value));
      },
      [&](const config::Problems& problems) {
        exchange->Respond(ToResponse(BadBody(problems)));
        return std::optional<Value>();
      },
      [&] {
        exchange->Respond(ToResponse(BadBody({})));
        return std::optional<Value>();
      });
}

/// The response to changes that were accepted.
using AcceptedResponse =
    std::function<http::Response(const config::ChangesAccepted&)>;

/// Answers whatever became of a set.
class OutcomeResponse {
 public:
  explicit OutcomeResponse(const AcceptedResponse& accepted)
      : accepted_(accepted) {}

  http::Response operator()(const config::ChangesAccepted& it) const {
    return accepted_(it);
  }
  template <typename Other>
  http::Response operator()(const Other& it) const {
    return ResponseTo(it);
  }

 private:
  const AcceptedResponse& accepted_;
};

json::object ChangeJson(const config::AppliedChange& change) {
  const auto& resource = *change.resource;
  return {{"kind", View(base::NameOf(resource.ref.kind))},
          {"name", resource.ref.name},
          {"change", View(base::NameOf(change.effect))},
          {"version", resource.version}};
}

http::Response ApplyResponse(const config::ChangesAccepted& accepted,
                             bool dry_run) {
  json::array changes;
  for (const auto& it : accepted.changes) changes.push_back(ChangeJson(it));
  json::object versions;
  for (std::size_t i = 0; i < accepted.versions.size(); ++i) {
    versions[View(base::NameOf(static_cast<config::LogId>(i)))] =
        accepted.versions[i];
  }
  return JsonResponse(kOk, {{"dry_run", dry_run},
                            {"versions", std::move(versions)},
                            {"changes", std::move(changes)}});
}

int StatusOf(config::ChangeEffect effect) {
  switch (effect) {
    case config::ChangeEffect::kCreated:
      return kCreated;
    case config::ChangeEffect::kCancelRequested:
      return kAccepted;
    default:
      return kOk;
  }
}

http::Response ResourceResponse(int status, const config::Resource& resource) {
  auto response = JsonResponse(status, config::ToJson(resource));
  response.headers.Set("ETag", ETagOf(resource.version));
  return response;
}

http::Response OneResponse(const config::ChangesAccepted& accepted,
                           bool dry_run) {
  const auto& change = accepted.changes.front();
  if (change.resource == nullptr) return JsonResponse(kOk, {});
  const int status = dry_run ? kOk : StatusOf(change.effect);
  auto body = config::ToJson(*change.resource);
  body["change"] = View(base::NameOf(change.effect));
  auto response = JsonResponse(status, body);
  if (change.effect != config::ChangeEffect::kDeleted) {
    response.headers.Set("ETag", ETagOf(change.resource->version));
  }
  return response;
}

config::Change ChangeOf(config::ResourceInput input) {
  config::Change change;
  change.ref = std::move(input.ref);
  change.precondition = config::MustBeNewOrSame{};
  if (input.version) {
    change.precondition = config::MustHaveVersion{*input.version};
  }
  if (input.remove) {
    change.action = config::Remove{};
  } else {
    change.action = config::PutSpec{std::move(input.spec)};
  }
  return change;
}

/// The spec of a worker or runner, as operators may write it.
struct SeenSpec {
  bool drain = false;
  std::string reason;
};

leaf::result<SeenSpec> ParseSeenSpec(std::string_view text) {
  std::vector<config::Problem> problems;
  SeenSpec spec;
  const auto value = config::ParseJson(text, config::kMostInputDepth, problems);
  if (value) {
    config::ObjectReader reader(*value, "", problems);
    reader.Require("spec", R"({"drain":true,"reason":"..."})");
    reader.Object("spec", [&spec](config::ObjectReader& item) {
      item.Require("drain", "true or false");
      item.Flag("drain", spec.drain);
      item.Text("reason", spec.reason, kMostOperatorBytes);
    });
    for (const auto* key : {"kind", "name", "version", "status"}) {
      reader.Any(key);
    }
    reader.Finish();
  }
  if (problems.empty()) return spec;
  return leaf::new_error(config::Problems{std::move(problems)});
}

}  // namespace

ResourceApi::ResourceApi(ResourceApiOptions options, ResourceApiPorts ports)
    : options_(options), ports_(ports), watches_(ports.loop, ports.mirror) {}

bool ResourceApi::Handle(const http::ExchangePtr& exchange,
                         const http::Target& target) {
  const auto& path = target.segments;
  if (path.size() <= kKindSegment || path.front() != "v1") return false;
  const auto& kind_name = path[kKindSegment];
  if (kind_name == "apply" && path.size() == kNameSegment) {
    Apply(exchange, target);
    return true;
  }
  // POST /v1/services/{service}/requests is the request path's.
  if (path.size() > kActionSegment && path[kActionSegment] == "requests") {
    return false;
  }
  if (const auto kind = base::ParseEnum<config::ResourceKind>(kind_name)) {
    HandleKind(exchange, target, *kind);
    return true;
  }
  if (const auto kind = base::ParseEnum<SeenKind>(kind_name)) {
    HandleSeen(exchange, target, *kind);
    return true;
  }
  return false;
}

void ResourceApi::HandleKind(const http::ExchangePtr& exchange,
                             const http::Target& target,
                             config::ResourceKind kind) {
  if (!ports_.mirror.IsLoaded(config::LogOf(kind))) {
    exchange->Respond(ToResponse(NotLoaded()));
    return;
  }
  const auto& path = target.segments;
  if (path.size() == kNameSegment) {
    if (exchange->request().method != "GET") {
      RespondMethod(exchange, "GET");
    } else if (IsTrue(target, "watch")) {
      watches_.Handle(exchange, kind, target);
    } else {
      List(exchange, kind);
    }
    return;
  }
  const config::ResourceRef ref{kind, path[kNameSegment]};
  if (path.size() == kActionSegment) {
    HandleOne(exchange, target, ref);
    return;
  }
  const bool is_explain = kind == config::ResourceKind::kJob &&
                          path.size() == kActionSegment + 1 &&
                          path[kActionSegment] == "explain";
  if (is_explain) {
    HandleExplain(exchange, ref);
    return;
  }
  exchange->Respond(ToResponse(NotFound(target.path)));
}

void ResourceApi::HandleOne(const http::ExchangePtr& exchange,
                            const http::Target& target,
                            const config::ResourceRef& ref) {
  const auto& method = exchange->request().method;
  if (method == "GET") {
    Get(exchange, ref);
  } else if (!config::IsName(ref.name)) {
    exchange->Respond(ToResponse(BadName(ref.name)));
  } else if (method == "PUT") {
    Put(exchange, target, ref);
  } else if (method == "DELETE") {
    Delete(exchange, target, ref);
  } else {
    RespondMethod(exchange, "GET, PUT, DELETE");
  }
}

void ResourceApi::HandleExplain(const http::ExchangePtr& exchange,
                                const config::ResourceRef& ref) {
  if (exchange->request().method != "GET") {
    RespondMethod(exchange, "GET");
    return;
  }
  const auto job = ports_.mirror.Find(ref);
  if (job == nullptr) {
    exchange->Respond(ToResponse(NotFound(config::TextOf(ref))));
    return;
  }
  ports_.explainer.Explain(
      job, [exchange, job](const std::optional<std::string>& word) {
        exchange->Respond(ExplanationResponse(*job, word, exchange->request()));
      });
}

void ResourceApi::List(const http::ExchangePtr& exchange,
                       config::ResourceKind kind) {
  const auto listing = ports_.mirror.List(kind);
  json::array items;
  for (const auto& it : listing.resources) items.push_back(config::ToJson(*it));
  exchange->Respond(JsonResponse(kOk, {{"kind", View(base::NameOf(kind))},
                                       {"version", listing.version},
                                       {"items", std::move(items)}}));
}

void ResourceApi::Get(const http::ExchangePtr& exchange,
                      const config::ResourceRef& ref) {
  const auto resource = ports_.mirror.Find(ref);
  if (resource == nullptr) {
    exchange->Respond(ToResponse(NotFound(config::TextOf(ref))));
    return;
  }
  exchange->Respond(ResourceResponse(kOk, *resource));
}

void ResourceApi::Put(const http::ExchangePtr& exchange,
                      const http::Target& target,
                      const config::ResourceRef& ref) {
  auto precondition =
      ReadPrecondition(exchange->request().headers, ports_.mirror.Find(ref));
  if (const auto* refusal = std::get_if<Refusal>(&precondition)) {
    exchange->Respond(ToResponse(*refusal));
    return;
  }
  auto input = ParseOrRefuse<config::ResourceInput>(exchange, [&] {
    return config::ParsePut(ref, exchange->request().body);
  });
  if (!input) return;
  SubmitOne(exchange, target,
            {ref, std::get<config::Precondition>(precondition),
             config::PutSpec{std::move(input->spec)}});
}

void ResourceApi::Delete(const http::ExchangePtr& exchange,
                         const http::Target& target,
                         const config::ResourceRef& ref) {
  auto precondition =
      ReadPrecondition(exchange->request().headers, ports_.mirror.Find(ref));
  if (const auto* refusal = std::get_if<Refusal>(&precondition)) {
    exchange->Respond(ToResponse(*refusal));
    return;
  }
  SubmitOne(
      exchange, target,
      {ref, std::get<config::Precondition>(precondition), config::Remove{}});
}

void ResourceApi::SubmitOne(const http::ExchangePtr& exchange,
                            const http::Target& target, config::Change change) {
  config::ChangeSet set;
  set.changed_by = OperatorOf(exchange->request());
  set.dry_run = IsTrue(target, "dry_run");
  set.changes.push_back(std::move(change));
  const bool dry_run = set.dry_run;
  ports_.writer.Submit(
      std::move(set),
      [exchange, dry_run](const config::ChangeOutcome& outcome) {
        const AcceptedResponse accepted =
            [dry_run](const config::ChangesAccepted& it) {
              return OneResponse(it, dry_run);
            };
        exchange->Respond(std::visit(OutcomeResponse(accepted), outcome));
      });
}

void ResourceApi::Apply(const http::ExchangePtr& exchange,
                        const http::Target& target) {
  if (exchange->request().method != "POST") {
    RespondMethod(exchange, "POST");
    return;
  }
  auto inputs =
      ParseOrRefuse<std::vector<config::ResourceInput>>(exchange, [&] {
        return config::ParseApply(exchange->request().body, options_.max_apply);
      });
  if (!inputs) return;
  config::ChangeSet set;
  set.changed_by = OperatorOf(exchange->request());
  set.dry_run = IsTrue(target, "dry_run");
  for (auto& it : *inputs) set.changes.push_back(ChangeOf(std::move(it)));
  const bool dry_run = set.dry_run;
  ports_.writer.Submit(
      std::move(set),
      [exchange, dry_run](const config::ChangeOutcome& outcome) {
        const AcceptedResponse accepted =
            [dry_run](const config::ChangesAccepted& it) {
              return ApplyResponse(it, dry_run);
            };
        exchange->Respond(std::visit(OutcomeResponse(accepted), outcome));
      });
}

void ResourceApi::HandleSeen(const http::ExchangePtr& exchange,
                             const http::Target& target, SeenKind kind) {
  const auto& path = target.segments;
  const auto& method = exchange->request().method;
  if (path.size() == kNameSegment && method == "GET") {
    ListSeen(exchange, kind);
  } else if (path.size() == kActionSegment && method == "GET") {
    GetSeen(exchange, kind, path[kNameSegment]);
  } else if (path.size() == kActionSegment && method == "PUT" &&
             kind != SeenKind::kCells) {
    PutSeen(exchange, target, kind, path[kNameSegment]);
  } else if (path.size() > kActionSegment) {
    exchange->Respond(ToResponse(NotFound(target.path)));
  } else {
    RespondMethod(exchange, kind == SeenKind::kCells ? "GET" : "GET, PUT");
  }
}

/// The operators' part of a worker or runner is the drain of its name.
json::object ResourceApi::SeenJson(SeenKind kind,
                                   const SeenResource& seen) const {
  json::object spec;
  config::LogVersion version = 0;
  if (kind != SeenKind::kCells) {
    const auto drain =
        ports_.mirror.Find({config::ResourceKind::kDrain, seen.name});
    spec["drain"] = drain != nullptr;
    if (drain != nullptr) {
      version = drain->version;
      spec["reason"] = std::get<config::DrainSpec>(drain->spec).reason;
    }
  }
  return {{"kind", View(base::NameOf(kind))},
          {"name", seen.name},
          {"version", version},
          {"spec", std::move(spec)},
          {"status", seen.status}};
}

void ResourceApi::ListSeen(const http::ExchangePtr& exchange, SeenKind kind) {
  json::array items;
  for (const auto& it : ports_.system.List(kind)) {
    items.push_back(SeenJson(kind, it));
  }
  exchange->Respond(JsonResponse(
      kOk, {{"kind", View(base::NameOf(kind))},
            {"version", ports_.mirror.version(config::LogId::kConfig)},
            {"items", std::move(items)}}));
}

void ResourceApi::GetSeen(const http::ExchangePtr& exchange, SeenKind kind,
                          const std::string& name) {
  for (const auto& it : ports_.system.List(kind)) {
    if (it.name != name) continue;
    const auto body = SeenJson(kind, it);
    auto response = JsonResponse(kOk, body);
    response.headers.Set("ETag",
                         ETagOf(body.at("version").to_number<std::uint64_t>()));
    exchange->Respond(std::move(response));
    return;
  }
  exchange->Respond(
      ToResponse(NotFound(std::string(base::NameOf(kind)) + "/" + name)));
}

/// Draining is a PUT of {"spec":{"drain":true}}: it creates the drain of that
/// name, and false deletes it.
void ResourceApi::PutSeen(const http::ExchangePtr& exchange,
                          const http::Target& target, SeenKind kind,
                          const std::string& name) {
  const auto seen = ports_.system.List(kind);
  const bool known =
      std::any_of(seen.begin(), seen.end(),
                  [&name](const auto& it) { return it.name == name; });
  const config::ResourceRef ref{config::ResourceKind::kDrain, name};
  const auto drain = ports_.mirror.Find(ref);
  if (!known && drain == nullptr) {
    exchange->Respond(
        ToResponse(NotFound(std::string(base::NameOf(kind)) + "/" + name)));
    return;
  }
  auto precondition = ReadPrecondition(exchange->request().headers, drain);
  if (const auto* refusal = std::get_if<Refusal>(&precondition)) {
    exchange->Respond(ToResponse(*refusal));
    return;
  }
  const auto spec = ParseOrRefuse<SeenSpec>(
      exchange, [&] { return ParseSeenSpec(exchange->request().body); });
  if (!spec) return;
  config::Change change{ref, std::get<config::Precondition>(precondition), {}};
  if (spec->drain) {
    change.action = config::PutSpec{config::DrainSpec{spec->reason}};
  } else if (drain != nullptr) {
    change.action = config::Remove{};
  } else {
    exchange->Respond(JsonResponse(kOk, {{"change", "unchanged"}}));
    return;
  }
  SubmitOne(exchange, target, std::move(change));
}

}  // namespace lapishatch::entry
