#include "config/log_entry.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

namespace lapishatch::config {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::size_t kMostEntries = 1'000'000;
constexpr std::size_t kVersionDigits = 20;

json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

json::object ToObject(const LogEntry& entry) {
  json::object out{{"version", entry.version},
                   {"type", View(base::NameOf(entry.type))},
                   {"resource", ToStored(*entry.resource)},
                   {"attempt", entry.attempt.str()}};
  if (entry.more) out["more"] = true;
  return out;
}

LogEntryPtr ReadEntry(ObjectReader& reader) {
  auto entry = std::make_shared<LogEntry>();
  reader.Require("version", "the version of the change");
  reader.Integer("version", entry->version, 1, INT64_MAX);
  reader.Choice("type", entry->type);
  reader.Require("resource", "the resource that was changed");
  Resource resource;
  reader.Object("resource",
                [&](ObjectReader& item) { resource = ReadStored(item); });
  entry->resource = std::make_shared<const Resource>(std::move(resource));
  reader.Id("attempt", entry->attempt);
  reader.Flag("more", entry->more);
  return entry;
}

/// Reads the whole of `text` by `read`.
template <typename Value, typename Read>
leaf::result<Value> ParseWith(std::string_view text, Read read) {
  std::vector<Problem> problems;
  Value value{};
  if (const auto parsed = ParseJson(text, kMostStoredDepth, problems)) {
    ObjectReader reader(*parsed, "", problems);
    value = read(reader);
    reader.Finish();
  }
  if (problems.empty()) return value;
  return leaf::new_error(Problems{std::move(problems)});
}

json::array ToArray(const std::vector<LogEntryPtr>& entries) {
  json::array out;
  for (const auto& it : entries) out.push_back(ToObject(*it));
  return out;
}

}  // namespace

std::string ToText(const LogEntry& entry) {
  return json::serialize(ToObject(entry));
}

leaf::result<LogEntryPtr> ParseEntry(std::string_view text) {
  return ParseWith<LogEntryPtr>(text, ReadEntry);
}

std::string HeadKey(LogId log) {
  return std::string(kHeadPrefix) + std::string(base::NameOf(log));
}

std::string EntryPrefix(LogId log) {
  return "log/entry/" + std::string(base::NameOf(log)) + "/";
}

std::string EntryKey(LogId log, LogVersion last) {
  auto digits = std::to_string(last);
  digits.insert(0, kVersionDigits - digits.size(), '0');
  return EntryPrefix(log) + digits;
}

std::string ResourcePrefix(ResourceKind kind) {
  return "resource/" + std::string(base::NameOf(kind)) + "/";
}

std::string ResourceKey(const ResourceRef& ref) {
  return ResourcePrefix(ref.kind) + ref.name;
}

std::string ToText(const LogHead& head) {
  return json::serialize(json::object{{"version", head.version},
                                      {"first_kept", head.first_kept},
                                      {"attempt", head.attempt.str()}});
}

leaf::result<LogHead> ParseHead(const store::Row& row) {
  return ParseWith<LogHead>(row.value, [&row](ObjectReader& reader) {
    LogHead head;
    reader.Require("version", "the newest version");
    reader.Integer("version", head.version, 0, INT64_MAX);
    reader.Integer("first_kept", head.first_kept, 0, INT64_MAX);
    reader.Id("attempt", head.attempt);
    head.row_version = row.version;
    return head;
  });
}

std::string BatchText(const std::vector<LogEntryPtr>& entries) {
  return json::serialize(json::object{{"entries", ToArray(entries)}});
}

leaf::result<std::vector<LogEntryPtr>> ParseBatch(std::string_view text) {
  using Entries = std::vector<LogEntryPtr>;
  return ParseWith<Entries>(text, [](ObjectReader& reader) {
    Entries entries;
    reader.Require("entries", "a list of entries");
    reader.Objects("entries", kMostEntries, [&](ObjectReader& item) {
      entries.push_back(ReadEntry(item));
    });
    return entries;
  });
}

std::string ToText(const LogSnapshot& snapshot) {
  json::array resources;
  for (const auto& it : snapshot.resources) resources.push_back(ToStored(*it));
  return json::serialize(json::object{{"log", View(base::NameOf(snapshot.log))},
                                      {"version", snapshot.version},
                                      {"resources", std::move(resources)},
                                      {"recent", ToArray(snapshot.recent)},
                                      {"pending", ToArray(snapshot.pending)}});
}

leaf::result<LogSnapshot> ParseSnapshot(std::string_view text) {
  return ParseWith<LogSnapshot>(text, [](ObjectReader& reader) {
    LogSnapshot snapshot;
    reader.Choice("log", snapshot.log);
    reader.Require("version", "the version of the log");
    reader.Integer("version", snapshot.version, 0, INT64_MAX);
    reader.Objects("resources", kMostEntries, [&](ObjectReader& item) {
      snapshot.resources.push_back(
          std::make_shared<const Resource>(ReadStored(item)));
    });
    reader.Objects("recent", kMostEntries, [&](ObjectReader& item) {
      snapshot.recent.push_back(ReadEntry(item));
    });
    reader.Objects("pending", kMostEntries, [&](ObjectReader& item) {
      snapshot.pending.push_back(ReadEntry(item));
    });
    return snapshot;
  });
}

}  // namespace lapishatch::config
