#include <absl/flags/flag.h>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "config/config.h"

ABSL_FLAG(int, of_two_words, 0, "For the test of flags.");

namespace lapishatch::config {
namespace {

/// A file in the temporary folder that is removed again.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              base::MakeUniqueText("lapishatch-test-")) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::optional<int> StartWith(Program& program, std::vector<std::string> args) {
  args.insert(args.begin(), "program");
  args.push_back("--nocheck");
  std::vector<const char*> argv;
  argv.reserve(args.size());
  for (const auto& it : args) argv.push_back(it.c_str());
  return program.Start(static_cast<int>(argv.size()), argv.data());
}

constexpr const char* kGood =
    "[process]\nname = \"a\"\nfailure_domain = \"mixco\"\nthreads = 2\n";

class Answer final : public http::Exchange {
 public:
  explicit Answer(std::string method, std::string target) {
    request_.method = std::move(method);
    request_.target = std::move(target);
  }
  const http::Request& request() const override { return request_; }
  void Respond(http::Response response) override {
    status_ = response.status;
    body_ = response.body;
  }
  void StartStream(http::Response) override {}
  bool Write(std::string) override { return false; }
  void End() override {}
  void OnGone(std::function<void()>) override {}

  int status() const { return status_; }
  const std::string& body() const { return body_; }

 private:
  http::Request request_;
  int status_ = 0;
  std::string body_;
};

int StatusOf(Program& program, std::string method, std::string target) {
  const auto answer =
      std::make_shared<Answer>(std::move(method), std::move(target));
  const auto handler =
      program.WithCommonEndpoints([](const http::ExchangePtr& it) {
        it->Respond({299, {}, ""});
      });
  handler(answer);
  return answer->status();
}

TEST_CASE("a command line is taken or refused with the reason") {
  Program program({"p", "Does p.", "1"});
  const auto parse = [](std::vector<const char*> args) {
    args.insert(args.begin(), "program");
    return ParseCommandLine(static_cast<int>(args.size()), args.data());
  };
  CHECK(parse({"--help"}).help);
  CHECK(parse({"-version"}).version);
  CHECK(parse({"--check", "--config=a.toml", "--nocheck"}).problem.empty());
  CHECK(parse({"a", "--", "--b"}).positional ==
        std::vector<std::string>{"a", "--b"});
  CHECK_THAT(parse({"--chekc"}).problem, Catch::Contains("--chekc is unknown"));
  CHECK_THAT(parse({"--check=maybe"}).problem, Catch::Contains("not allowed"));
  CHECK_THAT(parse({"--config"}).problem, Catch::Contains("needs a value"));
  CHECK_THAT(parse({"--noconfig"}).problem, Catch::Contains("unknown"));
  CHECK(parse({"--of-two-words=3"}).problem.empty());
  CHECK(absl::GetFlag(FLAGS_of_two_words) == 3);
  CHECK(parse({"--of_two_words", "4"}).problem.empty());
  CHECK(absl::GetFlag(FLAGS_of_two_words) == 4);
  CHECK_THAT(parse({"--of-two-words=x-y"}).problem,
             Catch::Contains("--of-two-words=x-y is not allowed"));
  CHECK_FALSE(parse({"---"}).problem.empty());
  CHECK_THAT(FlagsHelp(), Catch::Contains("  --of-two-words  "));
  CHECK_THAT(FlagsHelp(),
             Catch::Contains("--config") && !Catch::Contains("flagfile"));
}

TEST_CASE("exit codes of a start: 0 done, 2 bad usage or settings") {
  Program program({"p", "Does p.", "1"});
  const TemporaryFile good(kGood);
  const TemporaryFile bad("[process]\nname = \"A\"\n");
  CHECK(StartWith(program, {"--help"}) == kExitDone);
  CHECK(StartWith(program, {"--version"}) == kExitDone);
  CHECK(StartWith(program, {"--config="}) == kExitBadUsage);
  CHECK(StartWith(program, {"--config=" + good.path(), "x"}) == kExitBadUsage);
  CHECK(StartWith(program, {"--unknown"}) == kExitBadUsage);
  CHECK(StartWith(program, {"--config=" + bad.path()}) == kExitBadUsage);
  CHECK(StartWith(program, {"--config=/nowhere.toml"}) == kExitBadUsage);
  CHECK(StartWith(program, {"--config=" + good.path()}) == std::nullopt);
  CHECK(program.process().name.str() == "a");
  CHECK(program.process().failure_domain.str() == "mixco");
}

TEST_CASE("SIGTERM turns readyz first, then asks for the planned stop") {
  Program program({"p", "Does p.", "1"});
  const TemporaryFile good(kGood);
  REQUIRE(StartWith(program, {"--config=" + good.path()}) == std::nullopt);
  CHECK(StatusOf(program, "GET", "/healthz") == 200);
  CHECK(StatusOf(program, "GET", "/readyz") == 503);
  program.SetReady(true);
  CHECK(StatusOf(program, "GET", "/readyz?x=1") == 200);
  CHECK(StatusOf(program, "POST", "/readyz") == 405);
  CHECK(StatusOf(program, "GET", "/metrics") == 200);
  CHECK(StatusOf(program, "GET", "/else") == 299);
  int ready_at_stop = 0;
  int stops = 0;
  program.OnPlannedStop([&] {
    ++stops;
    program.SetReady(true);
    ready_at_stop = StatusOf(program, "GET", "/readyz");
    std::raise(SIGTERM);
    boost::asio::post(program.io(), [&] { program.Finish(); });
  });
  boost::asio::post(program.io(), [] { std::raise(SIGTERM); });
  CHECK(program.Run() == kExitDone);
  CHECK(stops == 1);
  CHECK(ready_at_stop == 503);
}

TEST_CASE("a stop that the program itself begins keeps its exit code") {
  Program program({"p", "Does p.", "1"});
  const TemporaryFile good(kGood);
  REQUIRE(StartWith(program, {"--config=" + good.path()}) == std::nullopt);
  program.SetReady(true);
  int stops = 0;
  program.OnPlannedStop([&] {
    ++stops;
    CHECK_FALSE(program.ready());
    program.BeginStop(kExitDone);
    boost::asio::post(program.io(), [&] { program.Finish(); });
  });
  boost::asio::post(program.io(), [&] { program.BeginStop(kExitFailed); });
  CHECK(program.Run() == kExitFailed);
  CHECK(stops == 1);
}

TEST_CASE("a planned stop that hangs ends with 1 at its limit") {
  Program program({"p", "Does p.", "1"});
  const TemporaryFile good(std::string(kGood) + "stop_limit_ms = 20\n");
  REQUIRE(StartWith(program, {"--config=" + good.path()}) == std::nullopt);
  program.OnPlannedStop([] {});
  boost::asio::post(program.io(), [] { std::raise(SIGINT); });
  CHECK(program.Run() == kExitFailed);
}

}  // namespace
}  // namespace lapishatch::config
