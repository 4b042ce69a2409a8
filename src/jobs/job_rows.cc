#include "jobs/job_rows.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "jobs/job_limits.h"

namespace lapishatch::jobs {
namespace {

namespace json = boost::json;

std::string ToStdString(const json::string& text) {
  return {text.data(), text.size()};
}

/// Reads members of a JSON object written by this file. Absent members read as
/// zero, false or empty; a member of the wrong type throws, so that decoding
/// the whole text fails.
class ObjectReader {
 public:
  explicit ObjectReader(const json::object& object) : object_(object) {}

  std::int64_t Number(std::string_view key) const {
    const auto* value = Find(key);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
  }

  int Int(std::string_view key) const {
    const auto* value = Find(key);
    return value == nullptr ? 0 : value->to_number<int>();
  }

  double Real(std::string_view key) const {
    const auto* value = Find(key);
    return value == nullptr ? 0 : value->to_number<double>();
  }

  bool Flag(std::string_view key) const {
    const auto* value = Find(key);
    return value != nullptr && value->as_bool();
  }

  std::string String(std::string_view key) const {
    const auto* value = Find(key);
    return value == nullptr ? std::string() : ToStdString(value->as_string());
  }

  const json::array& Array(std::string_view key) const {
    static const json::array kNone;
    const auto* value = Find(key);
    return value == nullptr ? kNone : value->as_array();
  }

 private:
  const json::value* Find(std::string_view key) const {
    return object_.if_contains(json::string_view(key.data(), key.size()));
  }

  const json::object& object_;
};

/// Bounds of values that only order the work and date it, so that a wrong one
/// does no other harm.
constexpr double kMaxSlackFactor = 1e6;
constexpr std::int64_t kMaxUnixMs = std::int64_t{1} << 53;

/// Counts of several services are added up.
constexpr int kMaxWaitingJobs = 10'000'000;

/// Throws if `Enum` has no value of this number.
template <typename Enum>
Enum ToEnum(int value) {
  const bool is_valid =
      value >= 0 && static_cast<std::size_t>(value) < base::kEnumSize<Enum>;
  if (!is_valid) throw std::invalid_argument("invalid enumerator");
  return static_cast<Enum>(value);
}

json::object EncodeStep(const Step& step) {
  json::object out;
  out["tasks"] = step.tasks;
  out["cpu"] = step.needs.cpu_millis;
  out["memory"] = step.needs.memory_mb;
  out["accelerators"] = step.needs.accelerators;
  out["estimate"] = step.run_time_estimate.count();
  if (!step.depends_on.empty()) {
    out["after"] = json::array(step.depends_on.begin(), step.depends_on.end());
  }
  if (step.supports_checkpoints) out["checkpoints"] = true;
  if (step.is_gang) out["gang"] = true;
  if (step.prefers_single_rack) out["one_rack"] = true;
  if (step.allows_speculative_copies) out["copies"] = true;
  if (step.is_service) out["service"] = true;
  if (!step.required_label.empty()) out["label"] = step.required_label;
  if (!step.preferred_rack.empty()) out["rack"] = step.preferred_rack.str();
  if (step.max_tasks_per_worker > 0) {
    out["per_worker"] = step.max_tasks_per_worker;
  }
  if (step.uses_spare_cpu) out["fills"] = true;
  return out;
}

Step DecodeStep(const json::object& object) {
  const ObjectReader reader(object);
  Step out;
  out.tasks = reader.Int("tasks");
  out.needs = {reader.Number("cpu"), reader.Number("memory"),
               reader.Number("accelerators")};
  out.run_time_estimate = base::Duration(reader.Number("estimate"));
  for (const auto& it : reader.Array("after")) {
    out.depends_on.push_back(it.to_number<int>());
  }
  out.supports_checkpoints = reader.Flag("checkpoints");
  out.is_gang = reader.Flag("gang");
  out.prefers_single_rack = reader.Flag("one_rack");
  out.allows_speculative_copies = reader.Flag("copies");
  out.is_service = reader.Flag("service");
  out.required_label = reader.String("label");
  out.preferred_rack = base::RackName(reader.String("rack"));
  out.max_tasks_per_worker = reader.Int("per_worker");
  out.uses_spare_cpu = reader.Flag("fills");
  return out;
}

/// Silent workers recorded in one row at most, so that a wide job fits its row
/// during a large outage. Further ones are not counted against their tasks.
constexpr std::size_t kMaxSilentWorkers = 300;

/// The count of losses by which earlier versions limit a task: workers lost,
/// and from the third on every unsuccessful run.
int LimitedCount(const TaskLosses& losses) {
  constexpr int kUnlimitedLosses = 3;
  return std::min(losses.PossibleCrashes(), kUnlimitedLosses) + losses.retries;
}

/// Crashes, unproved ones, retries, then name, address, port, start time and
/// whether it ran the task for each silent worker.
json::array EncodeLossDetails(const TaskLosses& losses,
                              std::size_t& silent_left) {
  json::array out{losses.crashes, losses.unproved, losses.retries};
  for (const auto& it : losses.silent) {
    if (silent_left == 0) break;
    --silent_left;
    out.emplace_back(it.name.str());
    out.emplace_back(it.endpoint.address);
    out.emplace_back(it.endpoint.port);
    out.emplace_back(it.started_at_ms);
    out.emplace_back(it.ran_task ? 1 : 0);
  }
  return out;
}

/// Reads what EncodeLossDetails writes.
void DecodeLossDetails(const json::array& fields, TaskLosses& out) {
  constexpr std::size_t kCounts = 3;
  constexpr std::size_t kFieldsPerWorker = 5;
  out.crashes = fields.at(0).to_number<int>();
  out.unproved = fields.at(1).to_number<int>();
  out.retries = fields.at(2).to_number<int>();
  for (std::size_t i = kCounts; i < fields.size(); i += kFieldsPerWorker) {
    SilentWorker worker;
    worker.name = base::WorkerName(ToStdString(fields.at(i).as_string()));
    worker.endpoint = {ToStdString(fields.at(i + 1).as_string()),
                       fields.at(i + 2).to_number<std::uint16_t>()};
    worker.started_at_ms = fields.at(i + 3).to_number<std::int64_t>();
    worker.ran_task = fields.at(i + 4).to_number<int>() != 0;
    out.silent.push_back(std::move(worker));
  }
}

/// Losses as an earlier version counted them. Each crash that it observed adds
/// at most two to the suspicion; whether the others were crashes is unknown.
TaskLosses FromCount(int member, int count, int suspicion) {
  TaskLosses out;
  out.member = member;
  out.suspicion = suspicion;
  out.crashes = std::min(count, (suspicion + 1) / 2);
  out.unproved = count - out.crashes;
  return out;
}

/// Positional to save space, since a row holds at most 64 KB and has one entry
/// for each started task: occurrence, step, index, phase, last run, failures,
/// last failed run, checkpoint, workers, and, if there are any, worker losses
/// in two arrays: member, count and suspicion for each task, which earlier
/// versions read, and an array of the details of each task.
json::array EncodeUnit(const UnitRecord& unit, std::size_t& silent_left) {
  json::array out{unit.occurrence,     unit.step,
                  unit.index,          static_cast<int>(unit.phase),
                  unit.last_run,       unit.failures,
                  unit.last_failed_run};
  out.emplace_back(unit.checkpoint);
  json::array workers;
  for (const auto& it : unit.workers) workers.emplace_back(it.str());
  out.emplace_back(std::move(workers));
  if (unit.losses.empty()) return out;
  json::array losses;
  json::array details;
  for (const auto& it : unit.losses) {
    losses.emplace_back(it.member);
    losses.emplace_back(LimitedCount(it));
    losses.emplace_back(it.suspicion);
    details.emplace_back(EncodeLossDetails(it, silent_left));
  }
  out.emplace_back(std::move(losses));
  out.emplace_back(std::move(details));
  return out;
}

/// Encodes the units that are done as index ranges for each step: none of their
/// other fields are needed, and a wide step has many units. A step's array
/// holds the occurrence and the step, then the first index and length of each
/// range.
class DoneRanges {
 public:
  /// Units must be added in order.
  void Add(const UnitRecord& unit) {
    const bool is_same_step =
        !out_.empty() && step_ == std::pair(unit.occurrence, unit.step);
    if (!is_same_step) {
      step_ = {unit.occurrence, unit.step};
      out_.emplace_back(json::array{unit.occurrence, unit.step});
    } else if (unit.index == first_ + length_) {
      out_.back().as_array().back() = ++length_;
      return;
    }
    first_ = unit.index;
    length_ = 1;
    auto& ranges = out_.back().as_array();
    ranges.emplace_back(first_);
    ranges.emplace_back(length_);
  }

  json::array Take() { return std::move(out_); }

 private:
  json::array out_;
  std::pair<int, int> step_;
  int first_ = 0;
  int length_ = 0;
};

/// Decodes a step written by DoneRanges. Rows with more than `kMaxUnits` units
/// are rejected, whatever their ranges say.
void DecodeDone(const json::array& step, std::vector<UnitRecord>& out) {
  constexpr int kMaxUnits = 100'000;
  UnitRecord unit;
  unit.occurrence = step.at(0).to_number<int>();
  unit.step = step.at(1).to_number<int>();
  unit.phase = UnitPhase::kDone;
  for (std::size_t i = 2; i < step.size(); i += 2) {
    const auto first = step.at(i).to_number<int>();
    const auto length = step.at(i + 1).to_number<int>();
    const bool is_valid = first >= 0 && first <= kMaxUnits && length >= 0 &&
                          length <= kMaxUnits &&
                          out.size() + static_cast<std::size_t>(length) <=
                              static_cast<std::size_t>(kMaxUnits);
    if (!is_valid) throw std::invalid_argument("invalid range of units");
    for (int n = 0; n < length; ++n) {
      unit.index = first + n;
      out.push_back(unit);
    }
  }
}

UnitRecord DecodeUnit(const json::array& fields) {
  UnitRecord out;
  out.occurrence = fields.at(0).to_number<int>();
  out.step = fields.at(1).to_number<int>();
  out.index = fields.at(2).to_number<int>();
  out.phase = ToEnum<UnitPhase>(fields.at(3).to_number<int>());
  out.last_run = fields.at(4).to_number<int>();
  out.failures = fields.at(5).to_number<int>();
  out.last_failed_run = fields.at(6).to_number<int>();
  constexpr std::size_t kFieldsWithWorkers = 9;
  if (fields.size() < kFieldsWithWorkers) return out;
  out.checkpoint = ToStdString(fields.at(7).as_string());
  for (const auto& it : fields.at(8).as_array()) {
    out.workers.emplace_back(ToStdString(it.as_string()));
  }
  if (fields.size() == kFieldsWithWorkers) return out;
  const auto& losses = fields.at(kFieldsWithWorkers).as_array();
  constexpr std::size_t kFieldsPerTask = 3;
  for (std::size_t i = 0; i < losses.size(); i += kFieldsPerTask) {
    out.losses.push_back(FromCount(losses.at(i).to_number<int>(),
                                   losses.at(i + 1).to_number<int>(),
                                   losses.at(i + 2).to_number<int>()));
  }
  if (fields.size() == kFieldsWithWorkers + 1) return out;
  const auto& details = fields.at(kFieldsWithWorkers + 1).as_array();
  for (std::size_t i = 0; i < out.losses.size(); ++i) {
    DecodeLossDetails(details.at(i).as_array(), out.losses[i]);
  }
  return out;
}

/// Parses `text` and decodes it with `read`; nullopt if either fails.
template <typename Read>
auto Decode(std::string_view text, Read read)
    -> std::optional<decltype(read(json::object()))> {
  try {
    const auto value = json::parse(json::string_view(text.data(), text.size()));
    return read(value.as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// `count` partition names: `prefix` followed by 0, 1 and so on.
std::vector<std::string> NumberedPartitions(const std::string& prefix,
                                            int count) {
  std::vector<std::string> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) out.push_back(prefix + std::to_string(i));
  return out;
}

/// Separates the service from the number in the name of a request partition.
constexpr std::string_view kRequestPartitionMark = ".r";

std::string RequestPartitionPrefix(const base::ServiceName& service) {
  return service.str() + std::string(kRequestPartitionMark);
}

std::uint64_t HashOf(const base::JobName& job) {
  return XXH3_64bits(job.str().data(), job.str().size());
}

}  // namespace

int ProgressPartitionIndex(const base::JobName& job) {
  return static_cast<int>(HashOf(job) % kProgressPartitionCount);
}

std::string ProgressPartition(const base::ServiceName& service,
                              const base::JobName& job) {
  return service.str() + '.' + std::to_string(ProgressPartitionIndex(job));
}

std::vector<std::string> ProgressPartitions(const base::ServiceName& service) {
  return NumberedPartitions(service.str() + '.', kProgressPartitionCount);
}

std::string RequestPartition(const base::ServiceName& service,
                             const base::JobName& job) {
  return RequestPartitionPrefix(service) +
         std::to_string(HashOf(job) % kRequestPartitionCount);
}

std::vector<std::string> RequestPartitions(const base::ServiceName& service) {
  return NumberedPartitions(RequestPartitionPrefix(service),
                            kRequestPartitionCount);
}

std::optional<base::ServiceName> ServiceOfRequestPartition(
    std::string_view partition) {
  const auto at = partition.rfind(kRequestPartitionMark);
  if (at == std::string_view::npos || at == 0) return std::nullopt;
  const auto number = partition.substr(at + kRequestPartitionMark.size());
  const bool is_number =
      !number.empty() && std::all_of(number.begin(), number.end(), [](char it) {
        return it >= '0' && it <= '9';
      });
  if (!is_number) return std::nullopt;
  return base::ServiceName(std::string(partition.substr(0, at)));
}

std::string CancelKey(const base::JobName& job) {
  return job.str() + std::string(kCancelSuffix);
}

std::string WaitingCountsPartition(const base::ServiceName& service) {
  return ProgressPartitions(service).front();
}

std::string EncodeJob(const Job& job) {
  json::object out;
  out["name"] = job.name.str();
  out["spec"] = job.spec;
  json::array steps;
  for (const auto& it : job.steps) steps.push_back(EncodeStep(it));
  out["steps"] = std::move(steps);
  if (job.schedule.repeat_count > 0) {
    out["times"] = job.schedule.repeat_count;
    out["first_due"] = job.schedule.first_due_ms;
    out["interval"] = job.schedule.interval_ms;
  }
  out["queue"] = job.queue.str();
  out["service"] = job.service.str();
  out["organisation"] = job.organisation.str();
  out["priority"] = job.priority;
  out["max_attempts"] = job.max_attempts;
  out["slack"] = job.slack_factor;
  out["target_latency"] = job.target_latency.count();
  out["accepted"] = job.accepted_ms;
  if (job.is_indexed) out["indexed"] = true;
  return json::serialize(out);
}

std::optional<Job> DecodeJob(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    const ObjectReader reader(object);
    Job out;
    out.name = base::JobName(reader.String("name"));
    out.spec = reader.String("spec");
    for (const auto& it : reader.Array("steps")) {
      out.steps.push_back(DecodeStep(it.as_object()));
    }
    out.schedule = {reader.Int("times"), reader.Number("first_due"),
                    reader.Number("interval")};
    out.queue = QueueName(reader.String("queue"));
    out.service = base::ServiceName(reader.String("service"));
    out.organisation = base::OrganisationName(reader.String("organisation"));
    out.priority = reader.Int("priority");
    out.max_attempts = reader.Int("max_attempts");
    out.slack_factor = std::clamp(reader.Real("slack"), 0.0, kMaxSlackFactor);
    out.target_latency = base::Duration(std::clamp(
        reader.Number("target_latency"), std::int64_t{0}, kMaxJobNumber));
    out.accepted_ms =
        std::clamp(reader.Number("accepted"), std::int64_t{0}, kMaxUnixMs);
    out.is_indexed = reader.Flag("indexed");
    return out;
  });
}

std::string EncodeProgress(const JobProgress& progress) {
  json::object out;
  out["state"] = static_cast<int>(progress.state);
  json::array units;
  DoneRanges done;
  auto silent_left = kMaxSilentWorkers;
  for (const auto& it : progress.units) {
    if (it.phase == UnitPhase::kDone) {
      done.Add(it);
    } else {
      units.push_back(EncodeUnit(it, silent_left));
    }
  }
  out["units"] = std::move(units);
  out["done"] = done.Take();
  return json::serialize(out);
}

std::optional<JobProgress> DecodeProgress(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    const ObjectReader reader(object);
    JobProgress out;
    out.state = ToEnum<JobState>(reader.Int("state"));
    for (const auto& it : reader.Array("units")) {
      out.units.push_back(DecodeUnit(it.as_array()));
    }
    for (const auto& it : reader.Array("done")) {
      DecodeDone(it.as_array(), out.units);
    }
    std::sort(out.units.begin(), out.units.end(),
              [](const UnitRecord& a, const UnitRecord& b) {
                return std::tie(a.occurrence, a.step, a.index) <
                       std::tie(b.occurrence, b.step, b.index);
              });
    return out;
  });
}

std::string EncodeIndexEntry(const base::ServiceName& service) {
  json::object out;
  out["service"] = service.str();
  return json::serialize(out);
}

std::optional<base::ServiceName> DecodeIndexEntry(std::string_view text) {
  auto service = Decode(text, [](const json::object& object) {
    return base::ServiceName(ObjectReader(object).String("service"));
  });
  if (service && service->str().empty()) return std::nullopt;
  return service;
}

std::string EncodeWaitingCounts(const WaitingJobCounts& waiting) {
  json::object out;
  for (const auto& [queue, n] : waiting) out[queue.str()] = n;
  return json::serialize(out);
}

std::optional<WaitingJobCounts> DecodeWaitingCounts(std::string_view text) {
  return Decode(text, [](const json::object& object) {
    WaitingJobCounts out;
    for (const auto& it : object) {
      const std::string name(it.key().data(), it.key().size());
      const auto n = it.value().to_number<int>();
      if (n < 0 || n > kMaxWaitingJobs) {
        throw std::invalid_argument("invalid number of waiting jobs");
      }
      out[QueueName(name)] = n;
    }
    return out;
  });
}

}  // namespace lapishatch::jobs
