// Bytes on the wire of what owners and workers say to each other, and the time
// of the codec. Bodies and request lines are counted; of the HTTP header fields
// only those that our own code sets. Prints `name value unit` lines.

#include "backends/backends.h"

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdio>
#include <string>

namespace lapishatch::backends {
namespace {

namespace leaf = boost::leaf;

constexpr int kRounds = 20'000;

/// Names and ids as long as in production: random parts of 32 digits.
lifecycle::TaskKey Key(int task) {
  return {base::JobName("coverage-map-20261202-0417"),
          base::AttemptId("attempt-0123456789abcdef0123456789abcdef"), task};
}

const base::Incarnation kIncarnation("worker-0123456789abcdef0123456789abcdef");

lifecycle::WorkerOrder OrderOf(std::vector<lifecycle::WorkerCommand> commands) {
  return {base::CellName("caxias-hall"), 41, kIncarnation, std::move(commands)};
}

lifecycle::WorkerReport ReportOf(int tasks) {
  lifecycle::WorkerReport out;
  out.worker = base::WorkerName("caxias-worker-017");
  out.incarnation = kIncarnation;
  out.epoch_seen = 41;
  out.rack = base::RackName("caxias-rack-3");
  out.accelerators = 8;
  out.cores = 64;
  out.memory_mb = 262'144;
  out.used_cores = 48;
  out.used_memory_mb = 131'072;
  out.sequence = 4'711;
  for (int i = 0; i < tasks; ++i) {
    lifecycle::TaskReport task;
    task.key = Key(i);
    task.state = lifecycle::TaskState::kRunning;
    task.accelerators = std::uint64_t{1} << i;
    task.cores = 8;
    task.memory_mb = 32'768;
    out.tasks.push_back(task);
  }
  return out;
}

void Print(const char* name, double value, const char* unit) {
  std::printf("backends.%s %.3f %s\n", name, value, unit);
}

void PrintBytes(const char* name, std::size_t bytes) {
  Print(name, static_cast<double>(bytes), "bytes");
}

/// Mean time of one call of `work`, whose result keeps it from being left out.
template <typename Work>
void PrintTime(const char* name, Work work) {
  std::size_t sum = 0;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) sum += work();
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - began;
  if (sum == 0) std::printf("# nothing was done\n");
  Print(name, took.count() / kRounds, "us");
}

void Sizes() {
  const base::Duration lease(6'000);
  const std::string payload = R"({"image":"coverage","tiles":[17,18,19,20]})";
  PrintBytes("order_empty", EncodeOrder(OrderOf({})).size());
  PrintBytes("order_reserve", EncodeOrder(OrderOf({lifecycle::ReserveTask{
                                              Key(0), 255, 8, 65'536, lease}}))
                                  .size());
  PrintBytes(
      "order_start",
      EncodeOrder(OrderOf({lifecycle::StartTask{Key(0), lease, payload, ""}}))
          .size());
  PrintBytes(
      "order_renew",
      EncodeOrder(OrderOf({lifecycle::RenewTask{Key(0), lease}})).size());
  PrintBytes("report_no_change", EncodeReport(ReportOf(0)).size());
  PrintBytes("report_1_task", EncodeReport(ReportOf(1)).size());
  PrintBytes("report_6_tasks", EncodeReport(ReportOf(6)).size());
  ReportQuery query;
  query.since = 4'711;
  query.incarnation = kIncarnation;
  query.wait = base::Duration(20'000);
  query.epoch = 41;
  query.cell = base::CellName("caxias-hall");
  query.renew = base::Duration(60'000);
  PrintBytes("renewal_of_all_tasks_by_query", EncodeReportQuery(query).size());
}

void Times() {
  const auto report = ReportOf(6);
  const auto text = EncodeReport(report);
  PrintTime("encode_report_6_tasks",
            [&] { return EncodeReport(report).size(); });
  PrintTime("decode_report_6_tasks", [&] {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::size_t> {
          BOOST_LEAF_AUTO(it, DecodeReport(text));
          return it.tasks.size();
        },
        [] { return std::size_t{0}; });
  });
  const auto order = OrderOf({lifecycle::RenewTask{Key(0), base::Duration(1)}});
  PrintTime("encode_order_renew", [&] { return EncodeOrder(order).size(); });
}

}  // namespace
}  // namespace lapishatch::backends

int main() {
  lapishatch::backends::Sizes();
  lapishatch::backends::Times();
}
