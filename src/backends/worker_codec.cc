#include "backends/worker_codec.h"

#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <utility>
#include <variant>

#include "backends/internal/json_reader.h"

namespace lapishatch::backends {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;
using internal::JsonReader;
using internal::kMaxInt;
using internal::kMaxInt64;
using internal::kMaxUint64;
using lifecycle::TaskKey;
using lifecycle::TaskReport;
using lifecycle::WorkerCommand;
using lifecycle::WorkerOrder;
using lifecycle::WorkerReport;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kServerError = 500;

/// Bounds the nesting depth of JSON, and so the stack use of the parser; deeper
/// messages are rejected.
constexpr std::size_t kMaxNestingDepth = 32;

std::optional<json::value> Parse(std::string_view text) {
  json::parse_options options;
  options.max_depth = kMaxNestingDepth;
  json::error_code ec;
  auto value =
      json::parse(json::string_view(text.data(), text.size()), ec, {}, options);
  if (ec) return std::nullopt;
  return value;
}

json::object CommandObject(std::string_view command, const TaskKey& key) {
  return {{"command", command},
          {"job", key.job.str()},
          {"attempt", key.attempt.str()},
          {"task", key.task}};
}

json::value PayloadToJson(const std::string& payload) {
  auto value = Parse(payload);
  return value.has_value() ? std::move(*value) : json::value(payload);
}

/// Encodes each command as a JSON object.
struct CommandEncoder {
  json::object operator()(const lifecycle::ReserveTask& it) const {
    auto out = CommandObject("reserve", it.key);
    out["accelerators"] = it.accelerators;
    out["cores"] = it.cores;
    out["memory_mb"] = it.memory_mb;
    out["lease_ms"] = it.lease.count();
    return out;
  }
  json::object operator()(const lifecycle::StartTask& it) const {
    auto out = CommandObject("start", it.key);
    out["lease_ms"] = it.lease.count();
    if (!it.payload.empty()) out["payload"] = PayloadToJson(it.payload);
    if (!it.from_checkpoint.empty()) {
      out["from_checkpoint"] = it.from_checkpoint;
    }
    return out;
  }
  json::object operator()(const lifecycle::RenewTask& it) const {
    auto out = CommandObject("renew", it.key);
    out["lease_ms"] = it.lease.count();
    return out;
  }
  json::object operator()(const lifecycle::CheckpointTask& it) const {
    auto out = CommandObject("checkpoint", it.key);
    out["object"] = it.object;
    return out;
  }
  json::object operator()(const lifecycle::ThrottleTask& it) const {
    auto out = CommandObject("throttle", it.key);
    out["cores"] = it.cores;
    return out;
  }
  json::object operator()(const lifecycle::StopTask& it) const {
    return CommandObject("stop", it.key);
  }
};

TaskKey ReadKey(JsonReader& reader) {
  return {base::JobName(reader.String("job")),
          base::AttemptId(reader.String("attempt")),
          static_cast<int>(reader.Number("task", kMaxInt))};
}

base::Duration ReadLease(JsonReader& reader) {
  return base::Duration(
      static_cast<std::int64_t>(reader.Number("lease_ms", kMaxInt64)));
}

WorkerCommand ReadReserve(JsonReader& reader) {
  lifecycle::ReserveTask out;
  out.key = ReadKey(reader);
  out.accelerators = reader.Number("accelerators", kMaxUint64);
  out.cores = static_cast<int>(reader.Number("cores", kMaxInt));
  out.memory_mb =
      static_cast<std::int64_t>(reader.Number("memory_mb", kMaxInt64));
  out.lease = ReadLease(reader);
  return out;
}

WorkerCommand ReadStart(JsonReader& reader) {
  lifecycle::StartTask out;
  out.key = ReadKey(reader);
  out.lease = ReadLease(reader);
  if (const auto* payload = reader.Find("payload")) {
    out.payload = json::serialize(*payload);
  }
  out.from_checkpoint = reader.OptionalString("from_checkpoint");
  return out;
}

WorkerCommand ReadCommand(JsonReader& reader) {
  const auto name = reader.String("command");
  if (name == "reserve") return ReadReserve(reader);
  if (name == "start") return ReadStart(reader);
  if (name == "renew") {
    auto key = ReadKey(reader);
    return lifecycle::RenewTask{std::move(key), ReadLease(reader)};
  }
  if (name == "checkpoint") {
    auto key = ReadKey(reader);
    return lifecycle::CheckpointTask{std::move(key), reader.String("object")};
  }
  if (name == "throttle") {
    auto key = ReadKey(reader);
    const auto cores = static_cast<int>(reader.Number("cores", kMaxInt));
    return lifecycle::ThrottleTask{std::move(key), cores};
  }
  if (name != "stop") {
    reader.Fail("command",
                "must be one of reserve, start, renew, checkpoint, throttle, "
                "stop");
  }
  return lifecycle::StopTask{ReadKey(reader)};
}

json::object TaskObject(const TaskReport& task) {
  json::object out{{"job", task.key.job.str()},
                   {"attempt", task.key.attempt.str()},
                   {"task", task.key.task},
                   {"state", base::NameOf(task.state)},
                   {"accelerators", task.accelerators},
                   {"cores", task.cores},
                   {"memory_mb", task.memory_mb}};
  if (task.exit_code != 0) out["exit_code"] = task.exit_code;
  if (!task.detail.empty()) out["detail"] = task.detail;
  if (!task.checkpoint.empty()) out["checkpoint"] = task.checkpoint;
  if (task.checkpoint_failed) out["checkpoint_failed"] = true;
  if (task.never_started) out["never_started"] = true;
  return out;
}

TaskReport ReadTask(JsonReader& reader) {
  TaskReport out;
  out.key = ReadKey(reader);
  const auto state =
      base::ParseEnum<lifecycle::TaskState>(reader.String("state"));
  if (!state.has_value()) {
    reader.Fail("state",
                "must be one of " + base::AllowedNames<lifecycle::TaskState>());
  }
  out.state = state.value_or(lifecycle::TaskState::kReserved);
  out.accelerators = reader.OptionalNumber("accelerators", kMaxUint64);
  out.cores = static_cast<int>(reader.OptionalNumber("cores", kMaxInt));
  out.memory_mb =
      static_cast<std::int64_t>(reader.OptionalNumber("memory_mb", kMaxInt64));
  out.exit_code = reader.OptionalInt("exit_code");
  out.detail = reader.OptionalString("detail");
  out.checkpoint = reader.OptionalString("checkpoint");
  out.checkpoint_failed = reader.OptionalBool("checkpoint_failed");
  out.never_started = reader.OptionalBool("never_started");
  return out;
}

void ReadCapacityAndUsage(JsonReader& reader, WorkerReport& out) {
  out.accelerators = static_cast<int>(reader.Number("accelerators", kMaxInt));
  out.cores = static_cast<int>(reader.Number("cores", kMaxInt));
  out.memory_mb =
      static_cast<std::int64_t>(reader.Number("memory_mb", kMaxInt64));
  out.used_cores =
      static_cast<int>(reader.OptionalNumber("used_cores", kMaxInt));
  out.used_memory_mb = static_cast<std::int64_t>(
      reader.OptionalNumber("used_memory_mb", kMaxInt64));
}

http::Response JsonResponse(int status, const json::value& body) {
  http::Response out;
  out.status = status;
  out.headers.Set("Content-Type", "application/json");
  out.body = json::serialize(body);
  return out;
}

/// Encodes the outcome of an order as an HTTP response.
struct OutcomeEncoder {
  http::Response operator()(const lifecycle::OrderDone& it) const {
    json::array results;
    for (const auto& result : it.results) {
      json::object entry{{"done", result.done}};
      if (!result.reason.empty()) entry["reason"] = result.reason;
      results.emplace_back(std::move(entry));
    }
    return JsonResponse(kOk, {{"results", std::move(results)}});
  }
  http::Response operator()(const lifecycle::StaleEpoch& it) const {
    return JsonResponse(kConflict, {{"epoch_seen", it.epoch_seen}});
  }
  http::Response operator()(const lifecycle::IncarnationMismatch& it) const {
    return JsonResponse(kPreconditionFailed,
                        {{"incarnation", it.incarnation.str()}});
  }
  http::Response operator()(const lifecycle::OrderNotSent& it) const {
    return JsonResponse(kServerError, {{"detail", it.detail}});
  }
  http::Response operator()(const lifecycle::OrderOutcomeUnknown& it) const {
    return JsonResponse(kServerError, {{"detail", it.detail}});
  }
};

lifecycle::OrderOutcome ReadResults(JsonReader& reader,
                                    std::optional<CodecError>& error,
                                    std::size_t commands) {
  lifecycle::OrderDone out;
  const auto& results = reader.Array("results");
  for (std::size_t i = 0; i < results.size(); ++i) {
    JsonReader entry(results[i], reader.PathOf("results", i), error);
    const bool done = entry.OptionalBool("done");
    out.results.push_back({done, entry.OptionalString("reason")});
  }
  if (out.results.size() != commands) {
    reader.Fail("results", "must have one entry per command");
  }
  return out;
}

void AppendParameter(std::string_view name, std::string_view value,
                     std::string& out) {
  static constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  static constexpr unsigned kBitsPerHexDigit = 4;
  out += out.find('?') == std::string::npos ? '?' : '&';
  out += name;
  out += '=';
  for (const char it : value) {
    const auto byte = static_cast<unsigned char>(it);
    const bool is_unreserved = (byte >= 'a' && byte <= 'z') ||
                               (byte >= 'A' && byte <= 'Z') ||
                               (byte >= '0' && byte <= '9') || byte == '-' ||
                               byte == '.' || byte == '_';
    if (is_unreserved) {
      out += it;
      continue;
    }
    out += '%';
    out += kHexDigits[byte >> kBitsPerHexDigit];
    out += kHexDigits[byte & 0xFU];
  }
}

void AppendNonZero(std::string_view name, std::uint64_t value,
                   std::string& out) {
  if (value != 0) AppendParameter(name, std::to_string(value), out);
}

std::uint64_t ReadNumberParameter(const http::Target& target,
                                  std::string_view name, std::uint64_t max,
                                  std::optional<CodecError>& error) {
  const auto text = target.Query(name);
  if (text.empty()) return 0;
  std::uint64_t out = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, out);
  if (parsed.ec == std::errc() && parsed.ptr == end && out <= max) return out;
  if (!error.has_value()) {
    error = CodecError{std::string(name), "must be a whole number from 0 to " +
                                              std::to_string(max)};
  }
  return 0;
}

base::Duration ReadDurationParameter(const http::Target& target,
                                     std::string_view name,
                                     std::optional<CodecError>& error) {
  return base::Duration(static_cast<std::int64_t>(
      ReadNumberParameter(target, name, kMaxInt64, error)));
}

}  // namespace

std::string EncodeOrder(const WorkerOrder& order) {
  json::array commands;
  for (const auto& command : order.commands) {
    commands.emplace_back(std::visit(CommandEncoder{}, command));
  }
  return json::serialize(
      json::object{{"cell", order.cell.str()},
                   {"epoch", order.epoch},
                   {"worker_incarnation", order.worker_incarnation.str()},
                   {"commands", std::move(commands)}});
}

leaf::result<WorkerOrder> DecodeOrder(std::string_view body) {
  const auto value = Parse(body);
  if (!value.has_value()) {
    return leaf::new_error(CodecError{"", "is not JSON"});
  }
  std::optional<CodecError> error;
  JsonReader reader(*value, "", error);
  WorkerOrder out;
  out.cell = base::CellName(reader.String("cell"));
  out.epoch = reader.Number("epoch", kMaxUint64);
  out.worker_incarnation =
      base::Incarnation(reader.String("worker_incarnation"));
  const auto& commands = reader.Array("commands");
  for (std::size_t i = 0; i < commands.size(); ++i) {
    JsonReader entry(commands[i], reader.PathOf("commands", i), error);
    out.commands.push_back(ReadCommand(entry));
  }
  if (error.has_value()) return leaf::new_error(*error);
  return out;
}

std::string EncodeReport(const WorkerReport& report) {
  json::object out{{"worker", report.worker.str()},
                   {"incarnation", report.incarnation.str()},
                   {"epoch_seen", report.epoch_seen},
                   {"rack", report.rack.str()},
                   {"accelerators", report.accelerators},
                   {"cores", report.cores},
                   {"memory_mb", report.memory_mb},
                   {"used_cores", report.used_cores},
                   {"used_memory_mb", report.used_memory_mb},
                   {"sequence", report.sequence}};
  if (report.leaving) out["leaving"] = true;
  json::array tasks;
  for (const auto& task : report.tasks) tasks.emplace_back(TaskObject(task));
  out["tasks"] = std::move(tasks);
  return json::serialize(out);
}

leaf::result<WorkerReport> DecodeReport(std::string_view body) {
  const auto value = Parse(body);
  if (!value.has_value()) {
    return leaf::new_error(CodecError{"", "is not JSON"});
  }
  std::optional<CodecError> error;
  JsonReader reader(*value, "", error);
  WorkerReport out;
  out.worker = base::WorkerName(reader.String("worker"));
  out.incarnation = base::Incarnation(reader.String("incarnation"));
  out.epoch_seen = reader.Number("epoch_seen", kMaxUint64);
  out.rack = base::RackName(reader.OptionalString("rack"));
  ReadCapacityAndUsage(reader, out);
  out.leaving = reader.OptionalBool("leaving");
  out.sequence = reader.Number("sequence", kMaxUint64);
  const auto& tasks = reader.Array("tasks");
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    JsonReader entry(tasks[i], reader.PathOf("tasks", i), error);
    out.tasks.push_back(ReadTask(entry));
  }
  if (error.has_value()) return leaf::new_error(*error);
  return out;
}

http::Response EncodeOrderResponse(const lifecycle::OrderOutcome& outcome) {
  return std::visit(OutcomeEncoder{}, outcome);
}

lifecycle::OrderOutcome DecodeOrderResponse(const http::Response& response,
                                            std::size_t commands) {
  const auto value = Parse(response.body);
  std::optional<CodecError> error;
  if (!value.has_value()) error = CodecError{"", "is not JSON"};
  lifecycle::OrderOutcome out = lifecycle::OrderOutcomeUnknown{
      "worker answered " + std::to_string(response.status)};
  if (error.has_value()) return out;
  JsonReader reader(*value, "", error);
  if (response.status == kOk) out = ReadResults(reader, error, commands);
  if (response.status == kConflict) {
    out = lifecycle::StaleEpoch{reader.Number("epoch_seen", kMaxUint64)};
  }
  if (response.status == kPreconditionFailed) {
    out = lifecycle::IncarnationMismatch{
        base::Incarnation(reader.String("incarnation"))};
  }
  if (error.has_value()) return lifecycle::OrderOutcomeUnknown{TextOf(*error)};
  return out;
}

std::string EncodeReportQuery(const ReportQuery& query) {
  std::string out(kReportPath);
  AppendNonZero("since", query.since, out);
  if (!query.incarnation.empty()) {
    AppendParameter("incarnation", query.incarnation.str(), out);
  }
  AppendNonZero("wait_ms", static_cast<std::uint64_t>(query.wait.count()), out);
  AppendNonZero("epoch", query.epoch, out);
  if (!query.cell.empty()) AppendParameter("cell", query.cell.str(), out);
  AppendNonZero("renew_ms", static_cast<std::uint64_t>(query.renew.count()),
                out);
  return out;
}

leaf::result<ReportQuery> DecodeReportQuery(const http::Target& target) {
  std::optional<CodecError> error;
  ReportQuery out;
  out.since = ReadNumberParameter(target, "since", kMaxUint64, error);
  out.incarnation = base::Incarnation(std::string(target.Query("incarnation")));
  out.wait = ReadDurationParameter(target, "wait_ms", error);
  out.epoch = ReadNumberParameter(target, "epoch", kMaxUint64, error);
  out.cell = base::CellName(std::string(target.Query("cell")));
  out.renew = ReadDurationParameter(target, "renew_ms", error);
  if (error.has_value()) return leaf::new_error(*error);
  return out;
}

}  // namespace lapishatch::backends
