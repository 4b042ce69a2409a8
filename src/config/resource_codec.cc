#include "config/resource_codec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

#include "config/settings.h"

namespace lapishatch::config {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr int kMostShapeAccelerators = 4'096;
constexpr int kMostCount = 100'000;
constexpr int kMostAccelerators = 10'000'000;
constexpr int kMostRequests = 10'000'000;
constexpr double kLeastWeight = 0.001;
constexpr double kMostWeight = 1'000;
constexpr std::int64_t kMostDeadlineMs = 86'400'000;
constexpr std::int64_t kMostMemoryMb = std::int64_t{1} << 30;
constexpr std::int64_t kMostRuntimeS = 366LL * 86'400;
constexpr int kMostCores = 4'096;
constexpr std::size_t kMostReasonBytes = 1'024;
constexpr std::size_t kMostTextBytes = 4'096;
constexpr std::int64_t kMostVersion = INT64_MAX;

json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

template <typename Enum>
json::string_view NameText(Enum value) {
  return View(base::NameOf(value));
}

void ReadShape(ObjectReader& reader, placement::Shape& shape) {
  reader.Require("accelerators", "a whole number of at least 1");
  reader.Integer("accelerators", shape.accelerators, 1, kMostShapeAccelerators);
  reader.Choice("adjacency", shape.adjacency);
}

OrganisationSpec ReadOrganisation(ObjectReader& reader) {
  OrganisationSpec spec;
  reader.Objects("guarantees", kMostGuarantees, [&](ObjectReader& item) {
    DomainGuarantee guarantee;
    item.Require("failure_domain", "the name of a failure domain");
    item.Name("failure_domain", guarantee.failure_domain);
    item.Require("shape", R"({"accelerators":N,"adjacency":"rack"})");
    item.Object("shape",
                [&](ObjectReader& it) { ReadShape(it, guarantee.shape); });
    guarantee.count = 1;
    item.Integer("count", guarantee.count, 1, kMostCount);
    spec.guarantees.push_back(std::move(guarantee));
  });
  reader.Number("weight", spec.weight, kLeastWeight, kMostWeight);
  reader.Object("limits", [&](ObjectReader& item) {
    item.Integer("running_accelerators", spec.limits.running_accelerators, 0,
                 kMostAccelerators);
    item.Integer("requests_in_progress", spec.limits.requests_in_progress, 0,
                 kMostRequests);
  });
  return spec;
}

ServiceSpec ReadService(ObjectReader& reader) {
  ServiceSpec spec;
  reader.Millis("max_deadline_ms", spec.max_deadline, 0, kMostDeadlineMs);
  return spec;
}

DrainSpec ReadDrain(ObjectReader& reader) {
  DrainSpec spec;
  reader.Text("reason", spec.reason, kMostReasonBytes);
  return spec;
}

void ReadGang(ObjectReader& reader, JobSpec& spec) {
  reader.Integer("tasks", spec.tasks, 1, kMostTasks);
  reader.Require("accelerators_per_task", "a whole number of at least 1");
  reader.Integer("accelerators_per_task", spec.needs.accelerators, 1,
                 kMostAcceleratorsPerTask);
  reader.Integer("cores_per_task", spec.needs.cores, 0, kMostCores);
  reader.Integer("memory_mb_per_task", spec.needs.memory_mb, 0, kMostMemoryMb);
  reader.Choice("adjacency", spec.adjacency);
}

JobSpec ReadJob(ObjectReader& reader) {
  JobSpec spec;
  reader.Require("organisation", "the name of an organisation");
  reader.Name("organisation", spec.organisation);
  reader.Choice("class", spec.work_class);
  reader.Require("gang", "an object with tasks and accelerators_per_task");
  reader.Object("gang", [&](ObjectReader& item) { ReadGang(item, spec); });
  reader.Flag("idempotent", spec.idempotent);
  reader.Flag("checkpoint", spec.checkpoint);
  reader.Flag("borrow", spec.borrow);
  reader.Flag("may_be_lost", spec.may_be_lost);
  reader.Seconds("declared_runtime_s", spec.declared_runtime, 0, kMostRuntimeS);
  reader.Name("failure_domain", spec.failure_domain);
  const auto* payload = reader.Any("payload");
  if (payload != nullptr) {
    spec.payload = json::serialize(*payload);
    if (spec.payload.size() > kMostPayloadBytes) {
      reader.Refuse("payload", "any JSON of at most " +
                                   std::to_string(kMostPayloadBytes) +
                                   " bytes");
    }
  }
  return spec;
}

/// A whole number without the exponent that a double would be written with.
json::value NumberOf(double value) {
  const auto whole = static_cast<std::int64_t>(value);
  if (static_cast<double>(whole) == value) return whole;
  return value;
}

json::object JsonOf(const OrganisationSpec& spec) {
  json::array guarantees;
  for (const auto& it : spec.guarantees) {
    guarantees.push_back(
        json::object{{"failure_domain", it.failure_domain.str()},
                     {"shape",
                      {{"accelerators", it.shape.accelerators},
                       {"adjacency", NameText(it.shape.adjacency)}}},
                     {"count", it.count}});
  }
  json::object limits;
  if (const auto& limit = spec.limits.running_accelerators) {
    limits["running_accelerators"] = *limit;
  }
  if (const auto& limit = spec.limits.requests_in_progress) {
    limits["requests_in_progress"] = *limit;
  }
  return {{"guarantees", std::move(guarantees)},
          {"weight", NumberOf(spec.weight)},
          {"limits", std::move(limits)}};
}

json::object JsonOf(const ServiceSpec& spec) {
  return {{"max_deadline_ms", spec.max_deadline.count()}};
}

json::object JsonOf(const DrainSpec& spec) { return {{"reason", spec.reason}}; }

json::object JsonOf(const JobSpec& spec) {
  using std::chrono::duration_cast;
  using std::chrono::seconds;
  json::object out{{"organisation", spec.organisation.str()},
                   {"class", NameText(spec.work_class)},
                   {"gang",
                    {{"tasks", spec.tasks},
                     {"accelerators_per_task", spec.needs.accelerators},
                     {"cores_per_task", spec.needs.cores},
                     {"memory_mb_per_task", spec.needs.memory_mb},
                     {"adjacency", NameText(spec.adjacency)}}},
                   {"idempotent", spec.idempotent},
                   {"checkpoint", spec.checkpoint},
                   {"borrow", spec.borrow},
                   {"may_be_lost", spec.may_be_lost},
                   {"declared_runtime_s",
                    duration_cast<seconds>(spec.declared_runtime).count()}};
  if (!spec.failure_domain.empty()) {
    out["failure_domain"] = spec.failure_domain.str();
  }
  if (!spec.payload.empty()) out["payload"] = json::parse(spec.payload);
  return out;
}

json::array AcceleratorList(std::uint64_t bits) {
  json::array out;
  for (int i = 0; i < kMostAcceleratorsPerTask; ++i) {
    if ((bits >> i) & 1U) out.push_back(i);
  }
  return out;
}

void ReadMember(ObjectReader& reader, placement::TaskPlacement& member) {
  reader.Integer("task", member.task, 0, kMostTasks);
  reader.Id("worker", member.worker);
  const auto* list = reader.Any("accelerators");
  if (list == nullptr || !list->is_array()) return;
  for (const auto& it : list->get_array()) {
    json::error_code ec;
    const auto i = it.to_number<int>(ec);
    if (ec || i < 0 || i >= kMostAcceleratorsPerTask) {
      reader.Refuse("accelerators", "a list of numbers from 0 to 63");
      return;
    }
    member.accelerators |= std::uint64_t{1} << i;
  }
}

/// Fails with the problems, or gives the value.
template <typename Value>
leaf::result<Value> ResultOf(Value value, std::vector<Problem> problems) {
  if (problems.empty()) return value;
  return leaf::new_error(Problems{std::move(problems)});
}

/// Reads the whole of `text` by `read`.
template <typename Value, typename Read>
leaf::result<Value> ParseWith(std::string_view text, const std::string& path,
                              Read read,
                              std::size_t most_depth = kMostInputDepth) {
  std::vector<Problem> problems;
  Value value{};
  const auto parsed = ParseJson(text, most_depth, problems);
  if (parsed) {
    ObjectReader reader(*parsed, path, problems);
    value = read(reader);
    reader.Finish();
  }
  return ResultOf(std::move(value), std::move(problems));
}

void ReadSpecField(ObjectReader& reader, ResourceInput& input) {
  reader.Require("spec", "the object that describes the resource");
  reader.Object("spec", [&](ObjectReader& item) {
    input.spec = ReadSpec(input.ref.kind, item);
  });
}

/// The fields that the system writes: an operator may send back what a GET
/// gave.
void SkipSystemFields(ObjectReader& reader) {
  for (const auto* key :
       {"status", "status_version", "changed_by", "changed_at_ms",
        "created_at_ms", "cancel_requested"}) {
    reader.Any(key);
  }
}

void ReadVersion(ObjectReader& reader, ResourceInput& input) {
  reader.Integer("version", input.version, 0, kMostVersion);
}

ResourceInput ReadApplyItem(ObjectReader& reader) {
  ResourceInput input;
  reader.Require("kind", "one of " + base::AllowedNames<ResourceKind>());
  reader.Choice("kind", input.ref.kind);
  reader.Require("name", "a name of " + std::string(kNameRule));
  base::JobName name;
  reader.Name("name", name);
  input.ref.name = name.str();
  reader.Flag("delete", input.remove);
  ReadVersion(reader, input);
  if (input.remove) {
    reader.Any("spec");
  } else {
    ReadSpecField(reader, input);
  }
  SkipSystemFields(reader);
  return input;
}

}  // namespace

Spec ReadSpec(ResourceKind kind, ObjectReader& reader) {
  switch (kind) {
    case ResourceKind::kOrganisation:
      return ReadOrganisation(reader);
    case ResourceKind::kService:
      return ReadService(reader);
    case ResourceKind::kDrain:
      return ReadDrain(reader);
    case ResourceKind::kJob:
      return ReadJob(reader);
  }
  return {};
}

leaf::result<Spec> ParseSpec(ResourceKind kind, std::string_view text) {
  return ParseWith<Spec>(text, "spec", [kind](ObjectReader& reader) {
    return ReadSpec(kind, reader);
  });
}

json::object ToJson(const Spec& spec) {
  return std::visit([](const auto& it) { return JsonOf(it); }, spec);
}

json::object ToJson(const JobStatus& status) {
  json::array members;
  for (const auto& it : status.members) {
    members.push_back(
        json::object{{"task", it.task},
                     {"worker", it.worker.str()},
                     {"accelerators", AcceleratorList(it.accelerators)}});
  }
  return {{"phase", NameText(status.phase)}, {"reason", status.reason},
          {"cell", status.cell.str()},       {"domain", status.domain.str()},
          {"attempt", status.attempt.str()}, {"attempts", status.attempts},
          {"borrowed", status.borrowed},     {"members", std::move(members)},
          {"checkpoint", status.checkpoint}};
}

JobStatus ReadJobStatus(ObjectReader& reader) {
  JobStatus status;
  reader.Choice("phase", status.phase);
  reader.Text("reason", status.reason, kMostTextBytes);
  reader.Id("cell", status.cell);
  reader.Id("domain", status.domain);
  reader.Id("attempt", status.attempt);
  reader.Integer("attempts", status.attempts, 0, INT32_MAX);
  reader.Flag("borrowed", status.borrowed);
  reader.Objects("members", kMostTasks, [&](ObjectReader& item) {
    ReadMember(item, status.members.emplace_back());
  });
  reader.Text("checkpoint", status.checkpoint, kMostTextBytes);
  return status;
}

leaf::result<JobStatus> ParseJobStatus(std::string_view text) {
  return ParseWith<JobStatus>(text, "status", ReadJobStatus);
}

json::object ToJson(const Resource& resource) {
  json::object out{{"kind", NameText(resource.ref.kind)},
                   {"name", resource.ref.name},
                   {"version", resource.version},
                   {"spec", ToJson(resource.spec)},
                   {"status", json::object()},
                   {"changed_by", resource.changed_by},
                   {"changed_at_ms", resource.changed_at_ms},
                   {"created_at_ms", resource.created_at_ms}};
  if (resource.ref.kind != ResourceKind::kJob) return out;
  JobStatus waiting;
  waiting.reason = "no cell has taken it on yet";
  auto status = resource.status.value_or(waiting);
  status.domain = DomainOf(resource);
  out["status"] = ToJson(status);
  out["status_version"] = resource.status_version;
  out["cancel_requested"] = resource.cancel_requested;
  return out;
}

leaf::result<ResourceInput> ParsePut(const ResourceRef& ref,
                                     std::string_view text) {
  return ParseWith<ResourceInput>(text, "", [&ref](ObjectReader& reader) {
    ResourceInput input;
    input.ref = ref;
    auto kind = ref.kind;
    base::JobName name(ref.name);
    reader.Choice("kind", kind);
    if (kind != ref.kind) {
      reader.Refuse("kind", "\"" + std::string(base::NameOf(ref.kind)) +
                                "\", as in the path");
    }
    reader.Name("name", name);
    if (name.str() != ref.name) {
      reader.Refuse("name", "\"" + ref.name + "\", as in the path");
    }
    ReadVersion(reader, input);
    ReadSpecField(reader, input);
    SkipSystemFields(reader);
    return input;
  });
}

leaf::result<std::vector<ResourceInput>> ParseApply(std::string_view text,
                                                    std::size_t most) {
  using List = std::vector<ResourceInput>;
  return ParseWith<List>(text, "", [most](ObjectReader& reader) {
    List inputs;
    reader.Require("resources", "a list of resources");
    reader.Objects("resources", most, [&](ObjectReader& item) {
      inputs.push_back(ReadApplyItem(item));
    });
    return inputs;
  });
}

json::object ToStored(const Resource& resource) {
  json::object out{{"kind", NameText(resource.ref.kind)},
                   {"name", resource.ref.name},
                   {"version", resource.version},
                   {"spec", ToJson(resource.spec)},
                   {"changed_by", resource.changed_by},
                   {"changed_at_ms", resource.changed_at_ms},
                   {"created_at_ms", resource.created_at_ms}};
  if (!resource.pinned_domain.empty()) {
    out["pinned_domain"] = resource.pinned_domain.str();
  }
  if (resource.cancel_requested) out["cancel_requested"] = true;
  if (resource.status) {
    out["status"] = ToJson(*resource.status);
    out["status_version"] = resource.status_version;
  }
  return out;
}

Resource ReadStored(ObjectReader& reader) {
  Resource resource;
  reader.Choice("kind", resource.ref.kind);
  reader.Text("name", resource.ref.name, kMostTextBytes);
  reader.Integer("version", resource.version, 0, kMostVersion);
  reader.Object("spec", [&](ObjectReader& item) {
    resource.spec = ReadSpec(resource.ref.kind, item);
  });
  reader.Text("changed_by", resource.changed_by, kMostTextBytes);
  reader.Integer("changed_at_ms", resource.changed_at_ms, 0, INT64_MAX);
  reader.Integer("created_at_ms", resource.created_at_ms, 0, INT64_MAX);
  reader.Id("pinned_domain", resource.pinned_domain);
  reader.Flag("cancel_requested", resource.cancel_requested);
  reader.Object("status", [&](ObjectReader& item) {
    resource.status = ReadJobStatus(item);
  });
  reader.Integer("status_version", resource.status_version, 0, kMostVersion);
  return resource;
}

leaf::result<Resource> ParseStored(std::string_view text) {
  return ParseWith<Resource>(text, "", ReadStored, kMostStoredDepth);
}

}  // namespace lapishatch::config
