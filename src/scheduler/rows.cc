#include "scheduler/rows.h"

#include <boost/json.hpp>
#include <exception>

namespace lapishatch::scheduler {
namespace {

namespace json = boost::json;

std::string TextAt(const json::object& object, std::string_view key) {
  return json::value_to<std::string>(object.at(key));
}

template <typename Number>
Number NumberAt(const json::object& object, std::string_view key) {
  return object.at(key).to_number<Number>();
}

/// Runs `decode` on the object in `text`; nothing when it is malformed.
template <typename Decode>
auto DecodeObject(std::string_view text, Decode decode)
    -> std::optional<decltype(decode(json::object()))> {
  try {
    return decode(json::parse({text.data(), text.size()}).as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

json::object ToJson(const IntentMember& member) {
  json::object out{{"worker", member.worker.str()},
                   {"incarnation", member.incarnation.str()},
                   {"accelerators", member.accelerators}};
  if (member.finished) out["finished"] = true;
  return out;
}

IntentMember MemberFrom(const json::object& object) {
  IntentMember member;
  member.worker = base::WorkerName(TextAt(object, "worker"));
  member.incarnation = base::Incarnation(TextAt(object, "incarnation"));
  member.accelerators = NumberAt<std::uint64_t>(object, "accelerators");
  member.finished = object.contains("finished");
  return member;
}

Intent IntentFrom(const json::object& object) {
  Intent intent;
  intent.cell = base::CellName(TextAt(object, "cell"));
  intent.epoch = NumberAt<lifecycle::Epoch>(object, "epoch");
  intent.attempt = base::AttemptId(TextAt(object, "attempt"));
  intent.attempts = NumberAt<int>(object, "attempts");
  intent.borrowed = object.at("borrowed").as_bool();
  intent.checkpoint = TextAt(object, "checkpoint");
  for (const auto& it : object.at("members").as_array()) {
    intent.members.push_back(MemberFrom(it.as_object()));
  }
  return intent;
}

json::array MembersToJson(
    const std::vector<placement::TaskPlacement>& members) {
  json::array out;
  for (const auto& it : members) {
    out.push_back(json::object{{"task", it.task},
                               {"worker", it.worker.str()},
                               {"accelerators", it.accelerators}});
  }
  return out;
}

config::JobStatus StatusFrom(const json::object& object) {
  config::JobStatus status;
  const auto phase = base::ParseEnum<config::JobPhase>(TextAt(object, "phase"));
  status.phase = phase.value();
  status.reason = TextAt(object, "reason");
  status.cell = base::CellName(TextAt(object, "cell"));
  status.domain = base::DomainName(TextAt(object, "domain"));
  status.attempt = base::AttemptId(TextAt(object, "attempt"));
  status.attempts = NumberAt<int>(object, "attempts");
  status.borrowed = object.at("borrowed").as_bool();
  status.checkpoint = TextAt(object, "checkpoint");
  for (const auto& it : object.at("members").as_array()) {
    const auto& member = it.as_object();
    status.members.push_back({NumberAt<int>(member, "task"),
                              base::WorkerName(TextAt(member, "worker")),
                              NumberAt<std::uint64_t>(member, "accelerators")});
  }
  return status;
}

}  // namespace

std::string CellKey(const base::CellName& cell) {
  return "cells/" + cell.str();
}

std::string FenceKey(const base::CellName& cell) {
  return "cells/" + cell.str() + "/epoch";
}

std::string IntentKey(const base::JobName& job) {
  return std::string(kIntentPrefix) + job.str();
}

std::string StatusKey(const base::JobName& job) {
  return "status/" + job.str();
}

std::string EncodeHolder(const lifecycle::HolderRow& row) {
  return json::serialize(json::object{{"holder", row.holder.str()},
                                      {"endpoint", row.endpoint},
                                      {"epoch", row.epoch},
                                      {"attempt", row.attempt.str()}});
}

std::optional<lifecycle::HolderRow> DecodeHolder(std::string_view text) {
  return DecodeObject(text, [](const json::object& object) {
    lifecycle::HolderRow row;
    row.holder = base::Incarnation(TextAt(object, "holder"));
    row.endpoint = TextAt(object, "endpoint");
    row.epoch = NumberAt<lifecycle::Epoch>(object, "epoch");
    row.attempt = base::AttemptId(TextAt(object, "attempt"));
    return row;
  });
}

std::string EncodeIntent(const Intent& intent) {
  json::array members;
  for (const auto& it : intent.members) members.push_back(ToJson(it));
  return json::serialize(json::object{{"cell", intent.cell.str()},
                                      {"epoch", intent.epoch},
                                      {"attempt", intent.attempt.str()},
                                      {"attempts", intent.attempts},
                                      {"borrowed", intent.borrowed},
                                      {"checkpoint", intent.checkpoint},
                                      {"members", std::move(members)}});
}

std::optional<Intent> DecodeIntent(std::string_view text) {
  return DecodeObject(text, IntentFrom);
}

std::string EncodeStatusRow(const StatusRow& row) {
  const auto& status = row.status;
  return json::serialize(
      json::object{{"write", row.write.str()},
                   {"phase", base::NameOf(status.phase)},
                   {"reason", status.reason},
                   {"cell", status.cell.str()},
                   {"domain", status.domain.str()},
                   {"attempt", status.attempt.str()},
                   {"attempts", status.attempts},
                   {"borrowed", status.borrowed},
                   {"checkpoint", status.checkpoint},
                   {"members", MembersToJson(status.members)}});
}

std::optional<StatusRow> DecodeStatusRow(std::string_view text) {
  return DecodeObject(text, [](const json::object& object) {
    StatusRow row;
    row.write = base::AttemptId(TextAt(object, "write"));
    row.status = StatusFrom(object);
    return row;
  });
}

}  // namespace lapishatch::scheduler
