#include <catch2/catch.hpp>
#include <string>

#include "net/io_threads.h"
#include "platform/platform.h"
#include "store/store.h"

namespace lapishatch::store {
namespace {

using base::Duration;
using standins::PlatformFault;
using standins::PlatformServer;

constexpr Duration kTimeout{10'000};
constexpr Duration kShortTimeout{100};

/// The HTTP implementations against the stand-in platform over loopback.
struct Fixture {
  explicit Fixture(const standins::PlatformOptions& options = {},
                   Duration timeout = kTimeout)
      : platform(threads.io(), options),
        client(threads.io(), {}),
        table(MakeHttpTable(client, {platform.endpoint(), timeout})),
        objects(MakeHttpObjectStore(client, {platform.endpoint(), timeout})),
        vms(MakeHttpVmList(client, {platform.endpoint(), timeout})) {}

  ~Fixture() { threads.Stop(); }

  CommitResult Commit(Transaction transaction) {
    return net::Await<CommitResult>(
        [&](auto done) { table->Commit(std::move(transaction), done); });
  }

  ReadResult Read(const std::string& key) {
    return net::Await<ReadResult>([&](auto done) { table->Read(key, done); });
  }

  std::optional<Row> Find(const std::string& key) {
    return std::get<std::optional<Row>>(Read(key));
  }

  net::IoThreads threads;
  PlatformServer platform;
  http::Client client;
  std::unique_ptr<Table> table;
  std::unique_ptr<ObjectStore> objects;
  std::unique_ptr<VmList> vms;
};

Transaction Insert(const std::string& key, const std::string& value) {
  return {{{key, kAbsent}}, {{key, value}}};
}

TEST_CASE("rows of any key and value come back as written") {
  Fixture it;
  const std::string key = "claims/a b%?&#/\xC3\xA9\"+";
  const std::string value = R"({"text":"line\n\"quoted\" é"})";
  const auto result = it.Commit(Insert(key, value));
  CHECK(std::get<Committed>(result).versions == std::vector<RowVersion>{1});
  const auto row = it.Find(key);
  REQUIRE(row);
  CHECK(row->value == value);
  CHECK(row->version == 1);
  CHECK_FALSE(it.Find("claims/a"));
}

TEST_CASE("a conflict names the row, and nothing is written") {
  Fixture it;
  it.Commit(Insert("a", "1"));
  auto transaction = Insert("b", "2");
  transaction.conditions.push_back({"a", 7});
  const auto result = it.Commit(transaction);
  const auto& conflict = std::get<Conflict>(result);
  CHECK(conflict.key == "a");
  CHECK(conflict.present_version == 1);
  CHECK_FALSE(it.Find("b"));
}

TEST_CASE("pages come in order of key and say whether there is more") {
  Fixture it;
  Transaction transaction;
  for (const char* key : {"j/3", "j/1", "k/1", "j/2", "i/9"}) {
    transaction.writes.push_back({key, "v"});
  }
  it.Commit(transaction);
  const auto scan = [&](const std::string& after, std::size_t limit) {
    return std::get<RowPage>(net::Await<ScanResult>(
        [&](auto done) { it.table->Scan("j/", after, limit, done); }));
  };
  const auto first = scan("", 2);
  REQUIRE(first.rows.size() == 2);
  CHECK(first.rows[0].key == "j/1");
  CHECK(first.rows[1].key == "j/2");
  CHECK(first.more);
  const auto second = scan("j/2", 2);
  REQUIRE(second.rows.size() == 1);
  CHECK(second.rows[0].key == "j/3");
  CHECK_FALSE(second.more);
}

TEST_CASE("a lost answer is an unknown outcome, also when it took effect") {
  Fixture it;
  it.platform.Apply(PlatformFault::kLoseAnswers, Duration(0), 1);
  const auto result = it.Commit(Insert("a", R"({"attempt":"mine"})"));
  CHECK(std::holds_alternative<UnknownOutcome>(result));
  it.platform.Apply(PlatformFault::kNone, Duration(0), 1);
  const auto loop = base::MakeAsioEventLoop(it.threads.io());
  const auto read_back = net::Await<ReadBackResult>([&](auto done) {
    ReadBack(*it.table, *loop, {"a", kAbsent, base::AttemptId("mine")}, {},
             done);
  });
  CHECK(std::holds_alternative<TookEffect>(read_back));
}

TEST_CASE("an answer that does not come in time is an unknown outcome") {
  Fixture it({}, kShortTimeout);
  it.platform.Apply(PlatformFault::kSilent, Duration(0), 1);
  CHECK(std::holds_alternative<UnknownOutcome>(it.Commit(Insert("a", "1"))));
  CHECK(std::holds_alternative<ReadFailed>(it.Read("a")));
}

TEST_CASE("a refusal without effect, or nobody there, is certainly not done") {
  Fixture it;
  it.platform.Apply(PlatformFault::kDown, Duration(0), 1);
  CHECK(std::holds_alternative<NotDone>(it.Commit(Insert("a", "1"))));
  const auto gone = [&] {
    boost::asio::io_context io;
    http::Server server(io, {"127.0.0.1", 0}, {}, [](auto&&) {});
    return server.endpoint();
  }();
  const auto table = MakeHttpTable(it.client, {gone, kTimeout});
  const auto result = net::Await<CommitResult>(
      [&](auto done) { table->Commit(Insert("a", "1"), done); });
  CHECK(std::holds_alternative<NotDone>(result));
}

TEST_CASE("an answer that is not understood is an unknown outcome") {
  net::IoThreads threads;
  http::Client client(threads.io(), {});
  const auto response = GENERATE(
      http::Response{200, {}, "not json"},
      http::Response{200, {}, R"({"versions":[]})"},
      http::Response{200, {}, R"({"versions":["1"]})"},
      http::Response{409, {}, R"({"key":1})"}, http::Response{500, {}, ""},
      http::Response{503, {}, R"({"effect":"unknown"})"},
      http::Response{302, {}, ""});
  http::Server server(
      threads.io(), {"127.0.0.1", 0}, {},
      [&](const http::ExchangePtr& exchange) { exchange->Respond(response); });
  server.Start();
  const auto table = MakeHttpTable(client, {server.endpoint(), kTimeout});
  const auto result = net::Await<CommitResult>(
      [&](auto done) { table->Commit(Insert("a", "1"), done); });
  CHECK(std::holds_alternative<UnknownOutcome>(result));
  const auto read =
      net::Await<ReadResult>([&](auto done) { table->Read("a", done); });
  CHECK(std::holds_alternative<ReadFailed>(read));
  threads.Stop();
}

TEST_CASE("writes above the platform's rate are refused without effect") {
  standins::PlatformOptions options;
  options.writes_per_s = 5;
  Fixture it(options);
  int committed = 0;
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    const auto key = std::to_string(i);
    const auto result = it.Commit(Insert(key, "v"));
    const bool is_done = std::holds_alternative<Committed>(result);
    committed += is_done;
    refused += std::holds_alternative<NotDone>(result);
    CHECK(it.Find(key).has_value() == is_done);
  }
  CHECK(committed >= 5);
  CHECK(committed + refused == 20);
  CHECK(refused > 0);
}

TEST_CASE("objects come back byte for byte") {
  Fixture it;
  std::string bytes;
  for (int i = 0; i < 3'000'000; ++i) bytes += static_cast<char>(i * 7);
  const auto put = net::Await<PutResult>(
      [&](auto done) { it.objects->Put("job/1", bytes, done); });
  CHECK(std::holds_alternative<Stored>(put));
  const auto get =
      net::Await<GetResult>([&](auto done) { it.objects->Get("job/1", done); });
  CHECK(std::get<std::optional<std::string>>(get) == bytes);
  const auto none =
      net::Await<GetResult>([&](auto done) { it.objects->Get("job/2", done); });
  CHECK_FALSE(std::get<std::optional<std::string>>(none));
}

TEST_CASE("the VM list is read whole, and stale when the platform lags") {
  Fixture it;
  const auto list = [&] {
    return std::get<std::vector<Vm>>(
        net::Await<VmListResult>([&](auto done) { it.vms->List(done); }));
  };
  const auto set = [&](const std::vector<Vm>& vms) {
    http::Request request;
    request.method = "PUT";
    request.target = "/vms";
    request.body = SerializeVms(vms);
    const auto result = net::Await<http::ClientResult>([&](auto done) {
      it.client.Send(it.platform.fault_endpoint(), request, kTimeout, done);
    });
    CHECK(std::get<http::Response>(result).status == 200);
  };
  Vm vm;
  vm.name = "w1";
  vm.kind = VmKind::kWorker;
  vm.domain = base::DomainName("mixco");
  vm.endpoint = {"127.0.0.1", 7001};
  vm.rack = base::RackName("r1");
  set({vm});
  REQUIRE(list().size() == 1);
  CHECK(list()[0].rack == vm.rack);
  CHECK(list()[0].endpoint == vm.endpoint);
  it.platform.Apply(PlatformFault::kStaleVms, Duration(0), 1);
  vm.state = VmState::kLeaving;
  set({vm});
  CHECK(list()[0].state == VmState::kLive);
  it.platform.Apply(PlatformFault::kNone, Duration(0), 1);
  CHECK(list()[0].state == VmState::kLeaving);
}

TEST_CASE("a share of the calls is hit, evenly") {
  Fixture it;
  it.platform.Apply(PlatformFault::kDown, Duration(0), 0.25);
  int refused = 0;
  for (int i = 0; i < 40; ++i) {
    const auto result = it.Commit(Insert(std::to_string(i), "v"));
    refused += std::holds_alternative<NotDone>(result);
  }
  CHECK(refused == 10);
}

}  // namespace
}  // namespace lapishatch::store
