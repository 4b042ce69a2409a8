#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "platform/http_row_store.h"
#include "platform/http_worker_client.h"
#include "platform/job_body.h"
#include "platform/operator_rows.h"
#include "platform/site_settings.h"
#include "platform/worker_registrations.h"

namespace lapishatch::platform {
namespace {

constexpr const char* kSettings = R"(
node = "vm-7"
zone = "north"
new-field = [1, 2]
port-range = [7000, 7015]
[listen-addrs]
front = "10.0.0.7:8521"
ready = "10.0.0.7:8523"
[limits]
cpu-share = 0.25
cores = 2
memory-mb = 200
max-fds = 4100
[bounds]
grace-s = 6
stop-timeout-ms = 900
status_s = 90
reclaim-ms = 3400
max-stretch-ms = 4500
[platform]
address = "10.9.0.1:8524"
)";

TEST_CASE("platform settings are parsed") {
  const auto read = ParseSiteSettings(kSettings, "x.toml");
  const auto& settings = std::get<SiteSettings>(read);
  CHECK(settings.vm == "vm-7");
  CHECK(settings.failure_domain.str() == "north");
  CHECK(settings.api_endpoint == http::Endpoint{"10.0.0.7", 8521});
  CHECK(settings.store_endpoint == http::Endpoint{"10.9.0.1", 8524});
  CHECK(settings.max_descriptors == 3'900);
  CHECK(settings.memory_bytes == std::size_t{200} << 20);
  CHECK(settings.cores == 0.5);
  CHECK(settings.stop_grace_period == base::Duration(6'000));
  CHECK(settings.bounds.stop_timeout == base::Duration(900));
  CHECK(settings.bounds.state_retention == base::Duration(90'000));
  CHECK(settings.bounds.guaranteed_start_delay == base::Duration(3'400));
  CHECK(settings.bounds.configuration_extension == base::Duration(4'500));
  // A field that is not in the file keeps its default.
  CHECK(settings.bounds.max_lease == dispatch::Bounds{}.max_lease);
}

TEST_CASE("an invalid settings file is rejected with the reason") {
  const auto problem = [](const std::string& text) {
    const auto read = ParseSiteSettings(text, "x.toml");
    return std::get<SettingsProblem>(read).detail;
  };
  CHECK(problem("node = \"a\"\n[").starts_with("x.toml:2"));
  CHECK(problem("zone = \"a\"") == "x.toml: node is missing or not a string");
  std::string text(kSettings);
  text.replace(text.find("10.0.0.7:8521"), 13, "10.0.0.7:port");
  CHECK(problem(text) == "x.toml: listen-addrs.front must be address:port");
  const auto with_bound = [&problem](const std::string& line) {
    std::string out(kSettings);
    out.replace(out.find("grace-s = 6"), 11, line);
    return problem(out);
  };
  std::string small(kSettings);
  small.replace(small.find("memory-mb = 200"), 15, "memory-mb = 15");
  CHECK(problem(small) == "x.toml: limits.memory-mb must be 16 or more");
  CHECK(with_bound("drain-ms = \"soon\"") ==
        "x.toml: bounds.drain-ms must be a number");
  CHECK(with_bound("evacuate-ms = 0") ==
        "x.toml: bounds: the delay of an evacuation must be above 0");
  CHECK(with_bound("max-hold-ms = 300") ==
        "x.toml: bounds: the longest lease is too short to be renewed in time");
}

TEST_CASE("a transaction is encoded with base64 values in one part") {
  const auto text = EncodeTransaction(
      {"p7", {{"t", "k", 3}}, {{"t", "k", "node-1"}}, {{"u", "gone"}}});
  const auto body = boost::json::parse(text);
  const auto expected = boost::json::parse(R"({
    "expected-rev": [{"table":"t","part":"p7","key":"k","row-version":3}],
    "put": [{"table":"t","part":"p7","key":"k","value":"bm9kZS0x"}],
    "remove": [{"table":"u","part":"p7","key":"gone"}]})");
  CHECK(body == expected);
}

TEST_CASE("task names are decoded and malformed ones rejected") {
  const jobs::TaskName task{base::JobName("00ff"), 2, 1, 17};
  CHECK(EncodeTaskName(task) == "00ff.2.1.17");
  CHECK(DecodeTaskName("00ff.2.1.17") == task);
  for (const auto* text : {"", "a", "a.1.2", "a.1.2.3.4", "a.x.2.3"}) {
    CHECK_FALSE(DecodeTaskName(text));
  }
}

TEST_CASE("the response to a poll order is decoded") {
  const auto report = DecodePollResponse(R"({"clock-ms":482113,
    "running":[["aa.0.1.17",2,"c1",41,120]],
    "ended":[[58,"aa.0.1.9",1,"done",""],[59,"aa.0.1.8",3,"broken","c2"]]})");
  const auto& read = std::get<dispatch::WorkerReport>(report);
  CHECK(read.worker_time == 482'113);
  REQUIRE(read.running.size() == 1);
  CHECK(read.running[0].run == 2);
  CHECK(read.running[0].checkpoint == "c1");
  CHECK(read.running[0].percent == 41);
  REQUIRE(read.ended.size() == 2);
  CHECK(read.ended[0].sequence_number == 58);
  CHECK(read.ended[1].outcome == dispatch::TaskOutcome::kGangBroken);
}

/// Guards against a list of ends that is cut and taken for whole.
TEST_CASE("a full list of ends is not taken for whole") {
  for (const int n : {0, 1, 499, 500, 501}) {
    std::string ended;
    for (int i = 1; i <= n; ++i) {
      if (i > 1) ended += ',';
      ended += '[' + std::to_string(i) + R"(,"aa.0.1.9",1,"done",""])";
    }
    const auto report = DecodePollResponse(
        R"({"clock-ms":1,"running":[],"ended":[)" + ended + "]}");
    INFO(n);
    CHECK(std::get<dispatch::WorkerReport>(report).may_have_more_ends ==
          (n >= 500));
  }
}

TEST_CASE("a malformed response to a poll order is rejected as a whole") {
  for (const auto* text :
       {"", "{}", R"({"clock-ms":1,"running":[],"ended":[[1,"a.0.0.0",1]]})",
        R"({"clock-ms":1,"running":[["x",1,"",0]],"ended":[]})",
        R"({"clock-ms":1,"running":[],"ended":[[1,"a.0.0.0",1,"gone",""]]})"}) {
    CHECK(
        std::holds_alternative<PollResponseProblem>(DecodePollResponse(text)));
  }
}

store::StoredRow RunnerRow(const std::string& value) {
  store::StoredRow out;
  out.address = {"servers", "", "i-1"};
  out.value = value;
  return out;
}

/// The registration in the row, if it can be used.
std::optional<dispatch::WorkerRegistration> RegistrationIn(
    const store::StoredRow& row) {
  const auto decoded = DecodeWorkerRegistration(row);
  const auto* out = std::get_if<dispatch::WorkerRegistration>(&decoded);
  return out == nullptr ? std::nullopt : std::optional(*out);
}

TEST_CASE("a runner's registration is decoded") {
  const auto registration = RegistrationIn(RunnerRow(
      R"({"service":"s","address":"10.1.0.9:8080","zone":"north",
      "state":"draining","remaining-ms":1500,"labels":["a","r1-3"],
      "capacity":{"cpu":16000,"mem-mb":32768,"gpu":4},"seq":9})"));
  REQUIRE(registration);
  CHECK(registration->name.str() == "i-1");
  CHECK(registration->endpoint == http::Endpoint{"10.1.0.9", 8080});
  CHECK(registration->rack.str() == "r1-3");
  CHECK(registration->capacity == jobs::Resources{16'000, 32'768, 4});
  CHECK(registration->is_draining);
  CHECK(registration->remaining_time == base::Duration(1'500));
}

TEST_CASE("a registration that is malformed or lacks a capacity is rejected") {
  CHECK_FALSE(RegistrationIn(RunnerRow(R"({"service":"s"})")));
  CHECK_FALSE(RegistrationIn(RunnerRow("{")));
  CHECK_FALSE(RegistrationIn(
      RunnerRow(R"({"capacity":{"cpu":1},"service":"s","address":"x"})")));
}

TEST_CASE("a registration with one invalid field is rejected") {
  const std::string valid =
      R"({"service":"s","address":"10.1.0.9:8080","zone":"north",)"
      R"("state":"ready","labels":["a","r1-3"],)"
      R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":4}})";
  REQUIRE(RegistrationIn(RunnerRow(valid)));
  const std::vector<std::pair<std::string, std::string>> changes = {
      {R"("ready")", R"("resting")"},
      {R"("ready")", "7"},
      {R"("service":"s")", R"("service":{})"},
      {R"("zone":"north",)", ""},
      {"10.1.0.9:8080", "10.1.0.9:73616"},
      {"10.1.0.9:8080", "10.1.0.9:0"},
      {"10.1.0.9:8080", "10.1.0:8080"},
      {"10.1.0.9:8080", "somewhere:8080"},
      {R"("a","r1-3")", R"("a",3)"},
      {"16000", R"("16000")"},
      {"16000", "-1"},
      {"32768", "1e40"},
      {R"(,"gpu":4)", ""},
      {R"("ready")", R"("ready","remaining-ms":"soon")"},
      {R"("ready")", "\"re\xff\xfe\""},
  };
  for (const auto& [from, to] : changes) {
    auto text = valid;
    text.replace(text.find(from), from.size(), to);
    INFO(text);
    CHECK_FALSE(RegistrationIn(RunnerRow(text)));
  }
}

TEST_CASE("a malformed row does not hide the other rows") {
  const auto rows = DecodeRows(R"({"rows":[
    {"table":"servers","key":"a","row-version":3,"value":"%%%"},
    {"table":"servers","key":7,"row-version":4,"value":"e30="},
    {"table":"servers","key":"c","row-version":5,"value":17},
    {"table":"servers","key":"d","row-version":6,"value":"e30="}]})");
  REQUIRE(rows.size() == 3);
  CHECK(rows[0].address.key == "a");
  CHECK(rows[0].value.empty());
  CHECK(rows[1].value.empty());
  CHECK(rows[2].address.key == "d");
  CHECK(rows[2].value == "{}");
}

TEST_CASE("routes are decoded as queues and tenants as organisations") {
  const auto read =
      DecodeQueueConfiguration(R"({"version":7,"routes":[{"name":"r-1",
    "host":"h.example","prefix":"/a/","priority":2,"service":"s",
    "max-attempts":3,"slack-factor":1.5,"target-latency-ms":250}],
    "tenants":[{"name":"t","api-keys":["k"],"guaranteed":{"gpu":72}},
    {"name":"u","api-keys":[]}]})");
  REQUIRE(read);
  CHECK(read->version == 7);
  REQUIRE(read->queues.size() == 1);
  CHECK(read->queues[0].service.str() == "s");
  CHECK(read->queues[0].slack_factor == 1.5);
  CHECK_FALSE(read->queues[0].is_public);
  REQUIRE(read->organisations.size() == 2);
  CHECK(read->organisations[0].guaranteed_accelerators == 72);
  CHECK_FALSE(DecodeQueueConfiguration(R"({"routes":[]})"));
  CHECK_FALSE(DecodeQueueConfiguration("no"));
}

/// Guards against one number that keeps a configuration from being used, or
/// overflows where it is added up.
TEST_CASE("numbers of a configuration beyond their limits are limited") {
  const auto read = DecodeQueueConfiguration(R"({"version":7,
    "routes":[{"name":"q","host":"h","service":"s","prefix":"/p/",
      "slack-factor":1e300,"max-attempts":-4,"priority":1e18,
      "target-latency-ms":9223372036854775807}],
    "tenants":[{"name":"o","api-keys":[],"guaranteed":{"gpu":1e30}},
      {"name":"p","api-keys":[],"guaranteed":{"gpu":-8}}]})");
  REQUIRE(read);
  constexpr int kMax = 2'147'483'647;
  CHECK(read->queues[0].slack_factor == kMax);
  CHECK(read->queues[0].max_attempts == 1);
  CHECK(read->queues[0].priority == kMax);
  CHECK(read->queues[0].target_latency == base::Duration(kMax));
  CHECK(read->organisations[0].guaranteed_accelerators == kMax);
  CHECK(read->organisations[1].guaranteed_accelerators == 0);
}

/// Guards against a worker's clock or progress that overflows a sum.
TEST_CASE("numbers of a report beyond their limits are not used") {
  const auto report = [](const std::string& clock, const std::string& percent) {
    return DecodePollResponse("{\"clock-ms\":" + clock +
                              R"(,"running":[["a.0.0.0",1,"",)" + percent +
                              R"(]],"ended":[]})");
  };
  for (const auto* clock : {"9223372036854775807", "-9223372036854775808",
                            "1e400", "1.5", "\"7\""}) {
    INFO(clock);
    CHECK(std::holds_alternative<PollResponseProblem>(report(clock, "1")));
  }
  for (const auto& [percent, expected] :
       {std::pair("1e300", 100), {"-1e300", 0}, {"41", 41}}) {
    const auto read = report("7", percent);
    REQUIRE(std::holds_alternative<dispatch::WorkerReport>(read));
    CHECK(std::get<dispatch::WorkerReport>(read).running[0].percent ==
          expected);
  }
}

/// Guards against a key of another writer that hides the rows beside it.
TEST_CASE("a row whose key is no text does not hide the other rows") {
  const auto rows = DecodeRows(
      "{\"rows\":[{\"table\":\"servers\",\"key\":\"\xff\xfe\",\"row-version\":"
      "3,"
      "\"value\":\"e30=\"},{\"table\":\"servers\",\"key\":\"d\",\"row-"
      "version\":6,"
      "\"value\":\"e30=\"}]}");
  REQUIRE(rows.size() == 2);
  CHECK(rows[1].address.key == "d");
}

TEST_CASE("the body of a job submission is decoded") {
  const auto read = DecodeJobBody(R"({"spec":"s","steps":[
    {"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"affinity":"r1-3"},
    {"count":2,"gpu":8,"after":[0],"gang":true,"same-rack":true,
     "checkpointing":true,"max-per-server":1,"required-label":"a"}]})");
  const auto& body = std::get<JobBody>(read);
  REQUIRE(body.steps.size() == 2);
  CHECK(body.steps[0].preferred_rack.str() == "r1-3");
  CHECK(body.steps[1].is_gang);
  CHECK(body.steps[1].prefers_single_rack);
  CHECK(body.steps[1].depends_on == std::vector<int>{0});
  CHECK(body.steps[1].max_tasks_per_worker == 1);
}

TEST_CASE("an invalid job submission is rejected with the reason") {
  const auto problem = [](const std::string& text) {
    const auto read = DecodeJobBody(text);
    const auto* it = std::get_if<BodyProblem>(&read);
    return it == nullptr ? std::string("none") : it->detail;
  };
  CHECK(problem("{") == "the body is no JSON");
  CHECK(problem("[]") == "the body must be an object");
  CHECK(problem("{}") == "steps must list 1 to 200 steps");
  CHECK(problem(R"({"steps":[1]})") == "steps must hold objects");
  CHECK(problem(R"({"steps":[{"count":0}]})") == "count must be 1 or more");
  CHECK(problem(R"({"steps":[{"count":-1}]})") ==
        "count must be a whole number from 0 on");
  CHECK(problem(R"({"steps":[{"count":1,"after":[0]}]})") ==
        "after must list earlier steps");
  CHECK(problem(R"({"steps":[{"count":1,"gang":1}]})") ==
        "gang must be true or false");
  CHECK(problem(R"({"steps":[{"count":1501}]})") ==
        "steps must have at most 1500 tasks in all");
  CHECK(problem(R"({"steps":[{"count":1,"cpu":1e300}]})") != "none");
  CHECK(problem("{\"spec\":\"" + std::string(4'001, 'x') +
                "\",\"steps\":[{\"count\":1}]}") ==
        "spec must have at most 4000 bytes");
  CHECK(problem(std::string(100'000, '[')) == "the body is no JSON");
}

TEST_CASE("a job name has 16 hexadecimal digits") {
  CHECK(IsJobName("5c0e7a21d94b36f8"));
  CHECK_FALSE(IsJobName("5c0e7a21d94b36f"));
  CHECK_FALSE(IsJobName("5c0e7a21d94b36g8"));
  CHECK_FALSE(IsJobName(""));
}

}  // namespace
}  // namespace lapishatch::platform
