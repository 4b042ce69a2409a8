#include "ctl/commands.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "config/config.h"
#include "ctl/json_text.h"
#include "ctl/status_view.h"
#include "ctl/views.h"
#include "ctl/watch.h"

namespace lapishatch::ctl {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr int kOk = 200;
constexpr int kFirstNotOk = 300;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kStale = 412;
constexpr std::size_t kAny = 64;

std::string LineOfOffset(const std::string& text, std::size_t offset) {
  const auto end =
      text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
  return std::to_string(1 + std::count(text.begin(), end, '\n'));
}

/// The body of an apply for a file that holds one resource, a list of them or
/// the whole body.
json::value ApplyBody(json::value file) {
  if (file.is_array()) return json::object{{"resources", std::move(file)}};
  if (file.is_object() && file.as_object().contains("resources")) return file;
  return json::object{{"resources", json::array{std::move(file)}}};
}

/// Whether everything that was asked for stands in what is there; the API adds
/// defaults.
bool Covers(const json::value& present, const json::value& asked) {
  if (asked.is_object() && present.is_object()) {
    return std::all_of(asked.as_object().begin(), asked.as_object().end(),
                       [&](const auto& it) {
                         const auto* field =
                             present.as_object().if_contains(it.key());
                         return field != nullptr && Covers(*field, it.value());
                       });
  }
  if (asked.is_number() && present.is_number()) {
    return asked.to_number<double>() == present.to_number<double>();
  }
  return asked == present;
}

std::string ETag(std::uint64_t version) {
  return "\"" + std::to_string(version) + "\"";
}

bool IsOk(const http::Response& response) {
  return response.status >= kOk && response.status < kFirstNotOk;
}

json::value BodyOf(const http::Response& response) {
  boost::system::error_code ec;
  auto value = json::parse(response.body, ec);
  return ec ? json::value(response.body) : value;
}

/// What an apply did to each resource, a line each.
std::string ChangesIn(const json::value& answer) {
  std::string out;
  for (const auto& it : ListFrom(answer)) {
    out += "  " + TextAt(it, "kind");
    out += "/" + TextAt(it, "name");
    out += " " + TextAt(it, "change") + "\n";
  }
  return out;
}

leaf::result<std::string> KindFrom(const std::string& word) {
  const auto kind = KindFor(word);
  if (!kind.empty()) return std::string(kind);
  std::string allowed;
  for (const auto it : kKinds) allowed += " " + std::string(it);
  return leaf::new_error(
      BadUsage{"there is no kind \"" + word + "\"; kinds are" + allowed});
}

}  // namespace

struct Commands::Command {
  std::string_view name;
  std::string_view arguments;
  std::string_view meaning;
  std::size_t least;
  std::size_t most;
  ResultCode (Commands::*run)(const Words&);
};

const std::vector<Commands::Command>& Commands::Table() {
  static const auto* const kTable = new std::vector<Command>{
      {"get", "KIND [NAME]", "Shows resources, or one of them.", 1, 2,
       &Commands::Get},
      {"apply", "FILE",
       "Writes the resources of a JSON file, all or none; --dry-run only "
       "validates.",
       1, 1, &Commands::Apply},
      {"delete", "KIND NAME", "Deletes a resource; --if-version N only that.",
       2, 2, &Commands::Delete},
      {"submit", "FILE", "Submits the job of a JSON file; --wait for its end.",
       1, 1, &Commands::Submit},
      {"cancel", "JOB...", "Cancels jobs; --wait for their end.", 1, kAny,
       &Commands::Cancel},
      {"watch", "KIND [NAME]", "Follows changes; --since V continues.", 1, 2,
       &Commands::WatchKind},
      {"explain", "JOB", "Why a job waits, or where it runs.", 1, 1,
       &Commands::Explain},
      {"status", "", "What the system has accepted and is doing.", 0, 0,
       &Commands::Status},
      {"drain", "NAME", "Gives a worker or runner no new work; --undo ends it.",
       1, 1, &Commands::Drain},
  };
  return *kTable;
}

std::vector<CommandHelp> AllCommands() {
  static const auto* const kUsages = [] {
    auto* usages = new std::vector<std::string>;
    for (const auto& it : Commands::Table()) {
      usages->push_back(std::string(it.name) + " " + std::string(it.arguments));
    }
    return usages;
  }();
  std::vector<CommandHelp> out;
  for (std::size_t i = 0; i < kUsages->size(); ++i) {
    out.push_back({(*kUsages)[i], Commands::Table()[i].meaning});
  }
  return out;
}

Commands::ResultCode Commands::Run(const Words& words) {
  if (words.empty()) return leaf::new_error(BadUsage{"no command was given"});
  const auto& table = Table();
  const auto it =
      std::find_if(table.begin(), table.end(),
                   [&](const Command& c) { return c.name == words.front(); });
  if (it == table.end()) {
    return leaf::new_error(
        BadUsage{"there is no command \"" + words.front() + "\""});
  }
  const Words arguments(words.begin() + 1, words.end());
  if (arguments.size() < it->least || arguments.size() > it->most) {
    return leaf::new_error(BadUsage{"usage: lapishatchctl " +
                                    std::string(it->name) + " " +
                                    std::string(it->arguments)});
  }
  return (this->*it->run)(arguments);
}

Commands::ResultCode Commands::Get(const Words& words) {
  BOOST_LEAF_AUTO(kind, KindFrom(words[0]));
  const bool one = words.size() > 1;
  BOOST_LEAF_AUTO(body, Read("/v1/" + kind + (one ? "/" + words[1] : "")));
  if (options_.output == Output::kJson || one) {
    Print(body);
  } else {
    out_ << TableOf(kind, ListFrom(body));
  }
  return config::kExitDone;
}

Commands::ResultCode Commands::Apply(const Words& words) {
  BOOST_LEAF_AUTO(file, ReadFile(words[0]));
  const std::string target =
      options_.dry_run ? "/v1/apply?dry_run=true" : "/v1/apply";
  const auto request = Write("POST", target, ApplyBody(std::move(file)), {});
  const auto repeat = options_.dry_run ? Repeat::kSafe : Repeat::kUnsafe;
  BOOST_LEAF_AUTO(answer, client_.Call(request, repeat));
  if (!IsOk(answer.response)) {
    return leaf::new_error(RefusalFrom(answer.entry, answer.response));
  }
  const auto body = BodyOf(answer.response);
  Say(options_.dry_run ? "would be accepted" : "accepted", body);
  if (options_.output == Output::kTable) out_ << ChangesIn(body);
  return config::kExitDone;
}

Commands::ResultCode Commands::Delete(const Words& words) {
  BOOST_LEAF_AUTO(kind, KindFrom(words[0]));
  BOOST_LEAF_CHECK(Remove(kind, words[1]));
  Say("deleted " + kind + "/" + words[1], {{"deleted", kind + "/" + words[1]}});
  return config::kExitDone;
}

Commands::ResultCode Commands::Submit(const Words& words) {
  BOOST_LEAF_AUTO(file, ReadFile(words[0]));
  const auto name = TextAt(file, "name");
  const auto* spec = FindPath(file, "spec");
  if (name.empty() || spec == nullptr) {
    return leaf::new_error(
        BadUsage{words[0] + " needs the fields \"name\" and \"spec\""});
  }
  BOOST_LEAF_AUTO(fresh, Create("jobs", name, {{"spec", *spec}}));
  Say((fresh ? "submitted " : "was submitted before: ") + name,
      {{"submitted", name}, {"fresh", fresh}});
  return options_.wait ? WaitFor(name) : ResultCode(config::kExitDone);
}

Commands::ResultCode Commands::Cancel(const Words& words) {
  for (const auto& name : words) {
    BOOST_LEAF_CHECK(Remove("jobs", name));
    Say("cancelling " + name, {{"cancelling", name}});
  }
  for (const auto& name : words) {
    if (options_.wait) BOOST_LEAF_CHECK(WaitFor(name));
  }
  return config::kExitDone;
}

Commands::ResultCode Commands::WatchKind(const Words& words) {
  BOOST_LEAF_AUTO(kind, KindFrom(words[0]));
  const auto wanted = words.size() > 1 ? words[1] : std::string();
  Watch watch(client_, kind, options_.since);
  BOOST_LEAF_CHECK(watch.Run([&](const WatchChange& change) {
    if (!wanted.empty() && change.name != wanted) return true;
    if (options_.output == Output::kJson) {
      out_ << json::value{{"type", change.removed ? "delete" : "put"},
                          {"version", change.version},
                          {"name", change.name},
                          {"object", change.object}}
           << std::endl;
    } else if (change.removed) {
      out_ << change.version << "  " << change.name << " is gone" << std::endl;
    } else {
      out_ << change.version << "  " << LineOf(kind, change.object)
           << std::endl;
    }
    return static_cast<bool>(out_);
  }));
  return config::kExitDone;
}

Commands::ResultCode Commands::Explain(const Words& words) {
  BOOST_LEAF_AUTO(body, Read("/v1/jobs/" + words[0] + "/explain"));
  if (options_.output == Output::kJson) {
    Print(body);
  } else {
    out_ << TextAt(body, "explanation");
  }
  return config::kExitDone;
}

Commands::ResultCode Commands::Status(const Words&) {
  BOOST_LEAF_AUTO(body, Read("/v1/status"));
  out_ << (options_.output == Output::kJson ? PrettyJson(body)
                                            : StatusText(body));
  return config::kExitDone;
}

Commands::ResultCode Commands::Drain(const Words& words) {
  const auto& name = words[0];
  if (options_.undo) {
    BOOST_LEAF_CHECK(Remove("drains", name));
    Say("no longer drained: " + name, {{"undrained", name}});
    return config::kExitDone;
  }
  const json::value spec{{"reason", options_.reason}};
  BOOST_LEAF_CHECK(Create("drains", name, {{"spec", spec}}));
  Say(name + " gets no new work", {{"drained", name}});
  return config::kExitDone;
}

http::Request Commands::Write(const std::string& method,
                              const std::string& target,
                              const json::value& body,
                              const http::HeaderField& condition) const {
  http::Request out;
  out.method = method;
  out.target = target;
  if (!options_.operator_name.empty()) {
    out.headers.Set("Lapishatch-Operator", options_.operator_name);
  }
  if (!body.is_null()) {
    out.headers.Set("Content-Type", "application/json");
    out.body = json::serialize(body);
  }
  if (!condition.name.empty()) {
    out.headers.Set(condition.name, condition.value);
  }
  return out;
}

leaf::result<json::value> Commands::Read(const std::string& target) {
  http::Request request;
  request.target = target;
  BOOST_LEAF_AUTO(answer, client_.Call(request, Repeat::kSafe));
  if (!IsOk(answer.response)) {
    return leaf::new_error(RefusalFrom(answer.entry, answer.response));
  }
  return BodyOf(answer.response);
}

leaf::result<json::value> Commands::ReadFile(const std::string& file) {
  std::ifstream stream;
  if (file != "-") {
    stream.open(file);
    if (!stream) return leaf::new_error(BadUsage{"cannot read " + file});
  }
  auto& source = file == "-" ? in_ : stream;
  const std::string text{std::istreambuf_iterator<char>(source), {}};
  json::stream_parser parser;
  boost::system::error_code ec;
  const auto read = parser.write_some(text, ec);
  if (!ec) parser.finish(ec);
  if (!ec && text.find_first_not_of(" \t\r\n", read) == std::string::npos) {
    return parser.release();
  }
  return leaf::new_error(BadUsage{
      file + ":" + LineOfOffset(text, read) +
      ": not JSON: " + (ec ? ec.message() : "something follows the value")});
}

leaf::result<bool> Commands::Create(const std::string& kind,
                                    const std::string& name,
                                    const json::value& body) {
  const auto target = "/v1/" + kind + "/" + name;
  const auto request = Write("PUT", target, body, {"If-None-Match", "*"});
  BOOST_LEAF_AUTO(answer, client_.Call(request, Repeat::kSafe));
  if (IsOk(answer.response)) return true;
  const auto status = answer.response.status;
  if (status != kStale && status != kConflict) {
    return leaf::new_error(RefusalFrom(answer.entry, answer.response));
  }
  BOOST_LEAF_AUTO(present, Read(target));
  if (Covers(present, body)) return answer.maybe_before;
  return leaf::new_error(RefusalFrom(answer.entry, answer.response));
}

leaf::result<std::uint64_t> Commands::FindVersion(const std::string& target) {
  http::Request request;
  request.target = target;
  for (std::size_t i = 1;; ++i) {
    BOOST_LEAF_AUTO(answer, client_.Call(request, Repeat::kSafe));
    if (IsOk(answer.response)) {
      return NumberAt(BodyOf(answer.response), "version");
    }
    const bool other = i < client_.entry_count();
    if (answer.response.status != kNotFound || !other) {
      return leaf::new_error(RefusalFrom(answer.entry, answer.response));
    }
    client_.TryNextEntry();
  }
}

leaf::result<void> Commands::Remove(const std::string& kind,
                                    const std::string& name) {
  const auto target = "/v1/" + kind + "/" + name;
  auto version = options_.version;
  if (!version) {
    BOOST_LEAF_ASSIGN(version, FindVersion(target));
  }
  const auto request =
      Write("DELETE", target, nullptr, {"If-Match", ETag(*version)});
  BOOST_LEAF_AUTO(answer, client_.Call(request, Repeat::kSafe));
  const bool gone = answer.response.status == kNotFound && answer.maybe_before;
  if (IsOk(answer.response) || gone) return {};
  return leaf::new_error(RefusalFrom(answer.entry, answer.response));
}

Commands::ResultCode Commands::WaitFor(const std::string& job) {
  std::string phase;
  Watch watch(client_, "jobs");
  BOOST_LEAF_CHECK(watch.Run([&](const WatchChange& change) {
    if (change.name != job) return true;
    const auto now =
        change.removed ? "gone" : TextAt(change.object, "status.phase");
    if (now != phase) {
      phase = now;
      const auto line =
          change.removed ? job + " is gone" : LineOf("jobs", change.object);
      Say(line, change.object);
    }
    const auto known = base::ParseEnum<config::JobPhase>(phase);
    return known.has_value() && !config::IsFinal(*known);
  }));
  const bool as_wished = phase == base::NameOf(config::JobPhase::kFinished) ||
                         phase == base::NameOf(config::JobPhase::kCancelled);
  return as_wished ? config::kExitDone : config::kExitFailed;
}

void Commands::Print(const json::value& value) {
  out_ << (options_.output == Output::kJson ? PrettyJson(value)
                                            : LongText(value));
}

void Commands::Say(const std::string& line, const json::value& value) {
  if (options_.output == Output::kJson) {
    out_ << value << std::endl;
  } else {
    out_ << line << std::endl;
  }
}

int RunCommand(ApiClient& client, const CommandOptions& options,
               const std::vector<std::string>& words, std::istream& in,
               std::ostream& out, std::ostream& err) {
  const auto fail = [&err](int code, const std::string& text) {
    err << "lapishatchctl: " << text << '\n';
    return code;
  };
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        return Commands(client, options, in, out).Run(words);
      },
      [&](const BadUsage& it) {
        return fail(config::kExitBadUsage, TextOf(it));
      },
      [&](const Refused& it) { return fail(config::kExitFailed, TextOf(it)); },
      [&](const Unreachable& it) {
        return fail(config::kExitFailed, TextOf(it));
      },
      [&](OutcomeUnknown it) {
        it.advice =
            "See what is there with `lapishatchctl get`, then try again.";
        return fail(config::kExitFailed, TextOf(it));
      },
      [&] {
        return fail(config::kExitFailed, "failed for an unknown reason");
      });
}

}  // namespace lapishatch::ctl
