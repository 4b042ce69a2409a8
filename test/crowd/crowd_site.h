#ifndef LAPISHATCH_TEST_CROWD_CROWD_SITE_H_
#define LAPISHATCH_TEST_CROWD_CROWD_SITE_H_

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "../soak/temporary_folder.h"
#include "crowd/crowd.h"
#include "crowd/process_usage.h"
#include "crowd/request_bytes.h"
#include "net/raw_socket.h"
#include "platform/standin/site_standin.h"
#include "platform/standin/standin_codec.h"
#include "scenario/port_range.h"
#include "soak/site_process.h"

namespace lapishatch::crowd {

inline constexpr int kMemoryMb = 64;
inline constexpr std::size_t kMemoryBytes = std::size_t{kMemoryMb} << 20;
inline constexpr int kMaxDescriptors = 1'800;
/// Descriptors that the platform sets apart for files.
inline constexpr int kDescriptorsForFiles = 200;
inline constexpr std::size_t kMaxSockets =
    kMaxDescriptors - kDescriptorsForFiles;

inline constexpr const char* kUnknownJob = "/jobs/00000000000000ff";
inline constexpr const char* kJobBody =
    R"({"spec":"x","steps":[{"count":1,"cpu":100,"estimate-ms":100}]})";

/// A valid job of `bytes` bytes.
inline std::string LargeJobBody(std::size_t bytes) {
  std::string out = R"({"comment":")";
  const auto rest = std::string(R"(",)") + std::string(kJobBody).substr(1);
  out.append(bytes - out.size() - rest.size(), 'x');
  return out + rest;
}

/// A lapishatch-site process with little memory and few descriptors, and the
/// platform's stand-in on a thread of its own.
class CrowdSite {
 public:
  explicit CrowdSite(int workers = 0) {
    rows_.Put("op", "", "config",
              platform::standin::EncodeConfiguration(Configuration()));
    for (int i = 0; i < workers; ++i) AddWorker(i);
    thread_ = std::jthread([this] { io_.run(); });
    process_.EnsureRunning();
    AwaitReady();
  }

  ~CrowdSite() { io_.stop(); }
  CrowdSite(const CrowdSite&) = delete;
  CrowdSite& operator=(const CrowdSite&) = delete;

  const http::Endpoint& api() const { return process_.api_endpoint(); }
  const http::Endpoint& ready() const { return process_.readiness_endpoint(); }
  pid_t pid() const { return process_.pid(); }
  soak::SiteProcess& process() { return process_; }

  /// The store's fault from now on: in all calls, or in transactions only.
  void SetStoreFault(fakes::StoreFault fault) {
    OnStandin([this, fault] { rows_.SetFaultForAll(fault); });
  }
  void SetTransactionFault(fakes::StoreFault fault) {
    OnStandin([this, fault] { rows_.SetFaultForTransactions(fault); });
  }

  /// Hands in one valid job, again on a new connection after a refusal or a
  /// closed connection. Returns whether it was accepted.
  bool IsServed(const std::string& body = kJobBody) const {
    constexpr int kAttempts = 25;
    for (int i = 0; i < kAttempts; ++i) {
      if (StatusOf(RequestWithBody(NextJob(), body)) == 200) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

  /// Status of the answer to `request` on a new connection, or 0 without one.
  int StatusOf(const std::string& request) const {
    return StatusOf(api(), request);
  }

  static int StatusOf(const http::Endpoint& at, const std::string& request) {
    constexpr std::size_t kStatusAt = sizeof("HTTP/1.1 ") - 1;
    try {
      net::RawSocket socket(at);
      socket.Send(request);
      const auto line = socket.ReadTo("\r\n");
      return line.size() < kStatusAt ? 0 : std::stoi(line.substr(kStatusAt));
    } catch (const std::exception&) {
      return 0;
    }
  }

  /// A name that no job has had.
  static std::string NextJob() {
    static int number = 0;
    char out[32];
    std::snprintf(out, sizeof(out), "/jobs/%016x", 0x100 + ++number);
    return out;
  }

  /// Notes how many descriptors are open now.
  void SampleDescriptors() {
    peak_descriptors_ = std::max(peak_descriptors_, OpenDescriptors(pid()));
  }
  std::size_t peak_descriptors() const { return peak_descriptors_; }

 private:
  /// Runs `step` on the stand-in's thread, and waits for it.
  template <typename Step>
  void OnStandin(Step step) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      step();
      done.set_value();
    });
    done.get_future().get();
  }

  static jobs::QueueConfiguration Configuration() {
    jobs::QueueConfiguration out;
    out.version = 1;
    jobs::Queue queue;
    queue.name = jobs::QueueName("queue");
    queue.host = "127.0.0.1";
    queue.path_prefix = "/jobs/";
    queue.service = base::ServiceName("survey");
    queue.is_public = true;
    out.queues.push_back(queue);
    queue.name = jobs::QueueName("guarded");
    queue.path_prefix = "/guarded/";
    queue.is_public = false;
    out.queues.push_back(queue);
    return out;
  }

  void AddWorker(int number) {
    dispatch::WorkerRegistration worker;
    worker.name = base::WorkerName("w" + std::to_string(number));
    worker.service = base::ServiceName("survey");
    worker.domain = base::DomainName("hall");
    worker.rack = base::RackName("r0");
    worker.capacity = {64'000, 262'144, 8};
    worker.endpoint = standin_.ServeWorker(worker.name);
    workers_.Add(worker);
    rows_.Put("servers", "", worker.name.str(),
              platform::standin::EncodeWorkerRegistration(worker));
  }

  void AwaitReady() const {
    net::AwaitThat([this] {
      return StatusOf(ready(), RequestHead("GET", "/", "")) == 200;
    });
  }

  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  const std::unique_ptr<base::EventLoop> loop_ = base::MakeAsioEventLoop(io_);
  fakes::FakeRowStore rows_{*loop_};
  fakes::FakeTaskWorkers workers_{*loop_};
  platform::standin::SiteStandin standin_{io_, rows_, workers_};
  scenario::PortRange ports_{io_};
  const soak::TemporaryFolder folder_;
  soak::SiteProcess process_{
      {"site", soak::kSiteProgram, folder_.path(), ports_.Next(), ports_.Next(),
       standin_.ServeStore("site"), kMemoryMb, kMaxDescriptors}};
  std::size_t peak_descriptors_ = 0;
  std::jthread thread_;
};

}  // namespace lapishatch::crowd

#endif  // LAPISHATCH_TEST_CROWD_CROWD_SITE_H_
