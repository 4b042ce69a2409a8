#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include "config/config.h"

namespace lapishatch::config {
namespace {

/// The problems of a parse as text; empty when there are none.
template <typename Parse>
std::string ProblemsOf(Parse parse) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(parse());
        return std::string();
      },
      [](const Problems& problems) { return TextOf(problems); },
      [] { return std::string("no Problems"); });
}

std::string JobProblems(const std::string& spec) {
  return ProblemsOf([&] { return ParseSpec(ResourceKind::kJob, spec); });
}

constexpr const char* kGoodJob =
    R"({"organisation":"o","gang":{"accelerators_per_task":8}})";

TEST_CASE("bad specs: every problem names field, value and what is allowed") {
  struct Bad {
    std::string spec;
    std::string says;
  };
  const auto bad = GENERATE(values<Bad>({
      {"", "not JSON"},
      {"{", "not JSON"},
      {"{} {}", "something follows"},
      {"[]", "spec: [] is not allowed: a JSON object"},
      {"{}", "spec.organisation: is missing"},
      {R"({"organisation":"o"})", "spec.gang: is missing"},
      {R"({"organisation":1,"gang":{"accelerators_per_task":8}})",
       "spec.organisation: 1 is not allowed: a name"},
      {R"({"organisation":"O","gang":{"accelerators_per_task":8}})",
       "spec.organisation: \"O\" is not allowed"},
      {R"({"organisation":"o","gang":{"accelerators_per_task":0}})",
       "spec.gang.accelerators_per_task: 0 is not allowed: a whole number "
       "from 1 to 64"},
      {R"({"organisation":"o","gang":{"accelerators_per_task":1.5}})",
       "1.5E0 is not allowed: a whole number"},
      {R"({"organisation":"o","gang":{"accelerators_per_task":8,"x":1}})",
       "spec.gang.x: is unknown: allowed here are accelerators_per_task, "
       "adjacency, cores_per_task"},
      {R"({"organisation":"o","class":"fast",
           "gang":{"accelerators_per_task":8}})",
       "spec.class: \"fast\" is not allowed: one of urgent, normal, quiet"},
      {R"({"organisation":"o","idempotent":"yes",
           "gang":{"accelerators_per_task":8}})",
       "spec.idempotent: \"yes\" is not allowed: true or false"},
      {R"({"organisation":"o","gang":[]})",
       "spec.gang: [] is not allowed: a JSON object"},
  }));
  CHECK_THAT(JobProblems(bad.spec), Catch::Contains(bad.says));
}

TEST_CASE("all problems of a document are told at once") {
  const auto problems = JobProblems(
      R"({"organisation":"O","clas":"urgent","gang":{"tasks":-1}})");
  CHECK_THAT(problems, Catch::Contains("spec.organisation") &&
                           Catch::Contains("spec.clas") &&
                           Catch::Contains("spec.gang.tasks") &&
                           Catch::Contains("accelerators_per_task"));
}

TEST_CASE("deep and large documents are refused, not followed") {
  const auto deep = std::string(10'000, '[') + std::string(10'000, ']');
  CHECK_THAT(JobProblems(deep), Catch::Contains("not JSON"));
  const auto large = R"({"organisation":"o","payload":")" +
                     std::string(70'000, 'x') +
                     R"(","gang":{"accelerators_per_task":8}})";
  CHECK_THAT(JobProblems(large), Catch::Contains("spec.payload"));
}

TEST_CASE("a payload as deep as allowed survives in rows and snapshots") {
  const auto payload = std::string(14, '[') + std::string(14, ']');
  const auto text = R"({"organisation":"o","payload":)" + payload +
                    R"(,"gang":{"accelerators_per_task":8}})";
  REQUIRE(JobProblems(text).empty());
  Resource job;
  job.ref = {ResourceKind::kJob, "j"};
  job.version = 3;
  job.spec = ParseSpec(ResourceKind::kJob, text).value();
  auto entry = std::make_shared<LogEntry>();
  entry->version = 3;
  entry->resource = std::make_shared<const Resource>(job);
  LogSnapshot snapshot;
  snapshot.log = LogId::kJobs;
  snapshot.version = 3;
  snapshot.recent = {entry};
  CHECK(ProblemsOf([&] { return ParseSnapshot(ToText(snapshot)); }).empty());
  CHECK(*ParseBatch(BatchText({entry})).value().front()->resource == job);
}

TEST_CASE("a PUT may send back what a GET gave, for the same resource only") {
  Resource job;
  job.ref = {ResourceKind::kJob, "j"};
  job.version = 3;
  job.spec = ParseSpec(ResourceKind::kJob, kGoodJob).value();
  job.status = JobStatus();
  const auto text = boost::json::serialize(ToJson(job));
  CHECK(ProblemsOf([&] { return ParsePut(job.ref, text); }).empty());
  CHECK_THAT(
      ProblemsOf([&] {
        return ParsePut({ResourceKind::kJob, "k"}, text);
      }),
      Catch::Contains("name: \"j\" is not allowed: \"k\", as in the path"));
  CHECK_THAT(ProblemsOf([&] { return ParsePut(job.ref, R"({"sepc":{}})"); }),
             Catch::Contains("sepc: is unknown") &&
                 Catch::Contains("spec: is missing"));
}

TEST_CASE("any resource comes back from its stored text as it was") {
  rc::prop("stored text", [] {
    Resource resource;
    resource.ref = {ResourceKind::kJob, "j"};
    resource.version = *rc::gen::inRange<LogVersion>(1, 1'000'000'000);
    JobSpec spec;
    spec.organisation = base::OrganisationName("o");
    spec.work_class = static_cast<base::WorkClass>(*rc::gen::inRange(0, 3));
    spec.tasks = *rc::gen::inRange(1, kMostTasks);
    spec.needs.accelerators = *rc::gen::inRange(1, kMostAcceleratorsPerTask);
    spec.needs.cores = *rc::gen::inRange(0, 4'096);
    spec.idempotent = *rc::gen::arbitrary<bool>();
    spec.borrow = *rc::gen::arbitrary<bool>();
    spec.declared_runtime = std::chrono::seconds(*rc::gen::inRange(0, 99'999));
    resource.spec = spec;
    if (*rc::gen::arbitrary<bool>()) {
      JobStatus status;
      status.phase = static_cast<JobPhase>(*rc::gen::inRange(0, 9));
      status.attempts = *rc::gen::inRange(0, 100);
      status.members.push_back(
          {1, base::WorkerName("w"), *rc::gen::arbitrary<std::uint64_t>()});
      resource.status = status;
      resource.status_version = resource.version + 1;
    }
    const auto text = boost::json::serialize(ToStored(resource));
    RC_ASSERT(ParseStored(text).value() == resource);
  });
}

}  // namespace
}  // namespace lapishatch::config
