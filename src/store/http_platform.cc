#include "store/http_platform.h"

#include <utility>

#include "store/internal/table_json.h"

namespace lapishatch::store {
namespace {

using http::ClientError;
using http::ClientResult;
using http::Progress;
using http::Request;
using http::Response;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

Request MakeGet(std::string target) {
  Request out;
  out.target = std::move(target);
  return out;
}

std::string Unexpected(const Response& response) {
  return "unexpected answer with status " + std::to_string(response.status);
}

/// The outcome of a write that the service did not carry out as asked, whatever
/// kind of write.
struct Unfinished {
  bool is_certainly_not_done = false;
  std::string detail;
};

Unfinished UnfinishedFrom(const ClientError& error) {
  return {error.progress == Progress::kNothingSent, error.detail};
}

Unfinished UnfinishedFrom(const Response& response) {
  const bool is_refused =
      response.status == kUnavailable && internal::SaysNoEffect(response.body);
  if (is_refused) return {true, "refused by the platform without effect"};
  return {false, Unexpected(response)};
}

template <typename Result>
Result ResultOf(Unfinished outcome) {
  if (outcome.is_certainly_not_done) return NotDone{std::move(outcome.detail)};
  return UnknownOutcome{std::move(outcome.detail)};
}

CommitResult CommitResultOf(const Response& response, std::size_t writes) {
  if (response.status == kOk) {
    auto committed = internal::ParseCommitted(response.body, writes);
    if (committed) return std::move(*committed);
  }
  if (response.status == kConflict) {
    auto conflict = internal::ParseConflict(response.body);
    if (conflict) return std::move(*conflict);
  }
  return ResultOf<CommitResult>(UnfinishedFrom(response));
}

CommitResult CommitResultOf(const ClientResult& result, std::size_t writes) {
  if (const auto* error = std::get_if<ClientError>(&result)) {
    return ResultOf<CommitResult>(UnfinishedFrom(*error));
  }
  return CommitResultOf(std::get<Response>(result), writes);
}

/// A read's response, or why there is none.
std::variant<Response, ReadFailed> ReadResponse(ClientResult result) {
  if (auto* error = std::get_if<ClientError>(&result)) {
    return ReadFailed{std::move(error->detail)};
  }
  return std::get<Response>(std::move(result));
}

ReadResult ReadResultOf(ClientResult result, const std::string& key) {
  auto response = ReadResponse(std::move(result));
  if (auto* failed = std::get_if<ReadFailed>(&response)) return *failed;
  const auto& found = std::get<Response>(response);
  if (found.status == kNotFound) return std::optional<Row>();
  if (found.status != kOk) return ReadFailed{Unexpected(found)};
  auto row = internal::ParseRow(found.body);
  if (!row || row->key != key) return ReadFailed{"not the row asked for"};
  return row;
}

ScanResult ScanResultOf(ClientResult result) {
  auto response = ReadResponse(std::move(result));
  if (auto* failed = std::get_if<ReadFailed>(&response)) return *failed;
  const auto& found = std::get<Response>(response);
  if (found.status != kOk) return ReadFailed{Unexpected(found)};
  auto page = internal::ParseRowPage(found.body);
  if (!page) return ReadFailed{"not a page of rows"};
  return std::move(*page);
}

GetResult GetResultOf(ClientResult result) {
  auto response = ReadResponse(std::move(result));
  if (auto* failed = std::get_if<ReadFailed>(&response)) return *failed;
  auto& found = std::get<Response>(response);
  if (found.status == kNotFound) return std::optional<std::string>();
  if (found.status != kOk) return ReadFailed{Unexpected(found)};
  return std::optional<std::string>(std::move(found.body));
}

PutResult PutResultOf(const ClientResult& result) {
  if (const auto* error = std::get_if<ClientError>(&result)) {
    return ResultOf<PutResult>(UnfinishedFrom(*error));
  }
  const auto& response = std::get<Response>(result);
  if (response.status == kOk) return Stored{};
  return ResultOf<PutResult>(UnfinishedFrom(response));
}

VmListResult VmListResultOf(ClientResult result, base::LogGate& log) {
  auto response = ReadResponse(std::move(result));
  if (auto* failed = std::get_if<ReadFailed>(&response)) return *failed;
  const auto& found = std::get<Response>(response);
  if (found.status != kOk) return ReadFailed{Unexpected(found)};
  auto vms = ParseVms(found.body);
  if (!vms) return ReadFailed{"not a list of VMs"};
  if (vms->unreadable > 0 && log.Open(base::SteadyClock().Now())) {
    base::Log(base::events::kRowUnreadable,
              {{"table", "vms"}, {"entries", vms->unreadable}});
  }
  return std::move(vms->vms);
}

/// Sends requests to the platform.
class Caller {
 public:
  Caller(http::Client& client, HttpPlatformOptions options)
      : client_(client), options_(std::move(options)) {}

  void Send(Request request, http::Client::Callback done) {
    client_.Send(options_.endpoint, std::move(request), options_.timeout,
                 std::move(done));
  }

 private:
  http::Client& client_;
  const HttpPlatformOptions options_;
};

class HttpTable final : public Table {
 public:
  explicit HttpTable(Caller caller) : caller_(std::move(caller)) {}

  void Commit(Transaction transaction,
              std::function<void(CommitResult)> done) override {
    Request request;
    request.method = "POST";
    request.target = "/table/transactions";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = internal::SerializeTransaction(transaction);
    const auto writes = transaction.writes.size();
    caller_.Send(std::move(request),
                 [writes, done = std::move(done)](const ClientResult& result) {
                   done(CommitResultOf(result, writes));
                 });
  }

  void Read(std::string key, std::function<void(ReadResult)> done) override {
    auto request = MakeGet("/table/rows/" + internal::PercentEncode(key));
    caller_.Send(
        std::move(request),
        [key = std::move(key), done = std::move(done)](ClientResult result) {
          done(ReadResultOf(std::move(result), key));
        });
  }

  void Scan(std::string prefix, std::string after, std::size_t limit,
            std::function<void(ScanResult)> done) override {
    auto request =
        MakeGet("/table/rows?prefix=" + internal::PercentEncode(prefix) +
                "&after=" + internal::PercentEncode(after) +
                "&limit=" + std::to_string(limit));
    caller_.Send(std::move(request),
                 [done = std::move(done)](ClientResult result) {
                   done(ScanResultOf(std::move(result)));
                 });
  }

 private:
  Caller caller_;
};

class HttpObjectStore final : public ObjectStore {
 public:
  explicit HttpObjectStore(Caller caller) : caller_(std::move(caller)) {}

  void Put(std::string name, std::string bytes,
           std::function<void(PutResult)> done) override {
    Request request;
    request.method = "PUT";
    request.target = TargetOf(name);
    request.headers = {{"Content-Type", "application/octet-stream"}};
    request.body = std::move(bytes);
    caller_.Send(std::move(request),
                 [done = std::move(done)](const ClientResult& result) {
                   done(PutResultOf(result));
                 });
  }

  void Get(std::string name, std::function<void(GetResult)> done) override {
    caller_.Send(MakeGet(TargetOf(name)),
                 [done = std::move(done)](ClientResult result) {
                   done(GetResultOf(std::move(result)));
                 });
  }

 private:
  static std::string TargetOf(const std::string& name) {
    return "/objects/" + internal::PercentEncode(name);
  }

  Caller caller_;
};

class HttpVmList final : public VmList {
 public:
  explicit HttpVmList(Caller caller) : caller_(std::move(caller)) {}

  void List(std::function<void(VmListResult)> done) override {
    caller_.Send(MakeGet("/vms"),
                 [done = std::move(done), log = log_](ClientResult result) {
                   done(VmListResultOf(std::move(result), *log));
                 });
  }

 private:
  Caller caller_;
  /// Shared with the callbacks, which may come later.
  const std::shared_ptr<base::LogGate> log_ =
      std::make_shared<base::LogGate>(base::Duration(10'000));
};

}  // namespace

std::unique_ptr<Table> MakeHttpTable(http::Client& client,
                                     HttpPlatformOptions options) {
  return std::make_unique<HttpTable>(Caller(client, std::move(options)));
}

std::unique_ptr<ObjectStore> MakeHttpObjectStore(http::Client& client,
                                                 HttpPlatformOptions options) {
  return std::make_unique<HttpObjectStore>(Caller(client, std::move(options)));
}

std::unique_ptr<VmList> MakeHttpVmList(http::Client& client,
                                       HttpPlatformOptions options) {
  return std::make_unique<HttpVmList>(Caller(client, std::move(options)));
}

}  // namespace lapishatch::store
