// Compares the planner with first fit, best fit and the step walk on the same
// arrivals. docs/MEASURES.md defines what is printed.

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "placement_run.h"

namespace lapishatch::bench {
namespace {

constexpr int kSeeds = 10;
constexpr int kThreads = 3;
constexpr std::array<const char*, 2> kFirmNames = {"bertolini", "fianza"};
/// How much a class counts in the completion part of a score.
constexpr std::array<double, 3> kClassWeights = {0.5, 0.3, 0.2};

double Mean(const std::vector<double>& values) {
  if (values.empty()) return 0;
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(values.size());
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto at = q * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(at))];
}

/// The outcomes of all methods on one load.
using Row = std::array<Outcome, kMethodNames.size()>;

double CompletionPart(const Outcome& it, const Outcome& first_fit) {
  double part = 0;
  for (std::size_t i = 0; i < kClassWeights.size(); ++i) {
    const auto work_class = static_cast<base::WorkClass>(i);
    const auto& own = it.ratios_by_class.at(work_class);
    const auto& other = first_fit.ratios_by_class.at(work_class);
    part +=
        kClassWeights[i] * 0.5 *
        (Mean(own) / Mean(other) + Quantile(own, 0.99) / Quantile(other, 0.99));
  }
  return part;
}

double Stranded(const Outcome& it) { return it.stranded / it.free; }

double FragmentationPart(const Outcome& it, const Outcome& first_fit) {
  return 0.5 * (Stranded(it) / Stranded(first_fit) +
                Mean(it.large_waits_s) / Mean(first_fit.large_waits_s));
}

/// Prints the mean and the spread over all seeds.
class Printer {
 public:
  explicit Printer(std::string prefix) : prefix_(std::move(prefix)) {}

  void Print(const std::string& name, const std::vector<double>& by_seed,
             const char* unit) const {
    const auto [low, high] =
        std::minmax_element(by_seed.begin(), by_seed.end());
    std::printf("%s.%s %.4g %s\n", prefix_.c_str(), name.c_str(), Mean(by_seed),
                unit);
    std::printf("%s.%s.min %.4g %s\n", prefix_.c_str(), name.c_str(), *low,
                unit);
    std::printf("%s.%s.max %.4g %s\n", prefix_.c_str(), name.c_str(), *high,
                unit);
  }

 private:
  std::string prefix_;
};

template <typename Value>
std::vector<double> Collect(const std::vector<Row>& rows, std::size_t method,
                            Value value) {
  std::vector<double> values;
  values.reserve(rows.size());
  for (const auto& row : rows) {
    values.push_back(static_cast<double>(value(row[method], row)));
  }
  return values;
}

void PrintWaits(const Printer& printer, const std::vector<Row>& rows,
                std::size_t method, const std::string& name,
                std::vector<double> Outcome::*waits) {
  struct Rank {
    const char* suffix;
    double q;
  };
  for (const Rank rank :
       {Rank{"p50_s", 0.5}, Rank{"p99_s", 0.99}, Rank{"worst_s", 1.0}}) {
    printer.Print(name + "." + rank.suffix,
                  Collect(rows, method,
                          [&](const Outcome& it, const Row&) {
                            return Quantile(it.*waits, rank.q);
                          }),
                  "s");
  }
}

void PrintMethod(Firm firm, const std::vector<Row>& rows, std::size_t method) {
  const Printer printer(std::string("placement.") +
                        kFirmNames[static_cast<std::size_t>(firm)] + "." +
                        kMethodNames[method]);
  constexpr auto kFirst = static_cast<std::size_t>(Method::kFirstFit);
  const auto score = [&](double completion_weight) {
    return Collect(rows, method, [&](const Outcome& it, const Row& row) {
      return completion_weight * CompletionPart(it, row[kFirst]) +
             (1 - completion_weight) * FragmentationPart(it, row[kFirst]);
    });
  };
  printer.Print("score_bertolini", score(0.7), "of_first_fit");
  printer.Print("score_fianza", score(0.3), "of_first_fit");
  for (std::size_t i = 0; i < kClassWeights.size(); ++i) {
    const auto work_class = static_cast<base::WorkClass>(i);
    const std::string name(base::NameOf(work_class));
    printer.Print("completion_mean." + name,
                  Collect(rows, method,
                          [&](const Outcome& it, const Row&) {
                            return Mean(it.ratios_by_class.at(work_class));
                          }),
                  "of_run_time");
    printer.Print("completion_p99." + name,
                  Collect(rows, method,
                          [&](const Outcome& it, const Row&) {
                            return Quantile(it.ratios_by_class.at(work_class),
                                            0.99);
                          }),
                  "of_run_time");
  }
  for (int i = 0; i < kOrganisations; ++i) {
    const auto name = OrganisationName(i);
    printer.Print("completion_mean." + name,
                  Collect(rows, method,
                          [&](const Outcome& it, const Row&) {
                            return Mean(it.ratios_by_organisation.at(name));
                          }),
                  "of_run_time");
    printer.Print("completion_p99." + name,
                  Collect(rows, method,
                          [&](const Outcome& it, const Row&) {
                            return Quantile(it.ratios_by_organisation.at(name),
                                            0.99);
                          }),
                  "of_run_time");
  }
  const auto value = [&](const char* name, auto get, const char* unit) {
    printer.Print(
        name,
        Collect(rows, method,
                [&](const Outcome& it, const Row&) { return get(it); }),
        unit);
  };
  value("stranded", Stranded, "share_of_free");
  value(
      "free",
      [](const Outcome& it) {
        return it.free / kArrivalSeconds / (kWorkers * kAccelerators);
      },
      "share_of_cell");
  value(
      "large_wait_mean",
      [](const Outcome& it) { return Mean(it.large_waits_s) / 3600; }, "h");
  value(
      "large_wait_p99",
      [](const Outcome& it) { return Quantile(it.large_waits_s, 0.99) / 3600; },
      "h");
  value(
      "lost_by_eviction",
      [](const Outcome& it) { return it.lost_by_eviction / it.busy; },
      "share_of_work");
  value(
      "lost_by_failure",
      [](const Outcome& it) { return it.lost_by_failure / it.busy; },
      "share_of_work");
  value(
      "evictions", [](const Outcome& it) { return it.evictions; }, "count");
  value(
      "worker_falls", [](const Outcome& it) { return it.worker_falls; },
      "count");
  value(
      "finished", [](const Outcome& it) { return it.finished; }, "jobs");
  value(
      "failed", [](const Outcome& it) { return it.failed; }, "jobs");
  value(
      "cancelled", [](const Outcome& it) { return it.cancelled; }, "jobs");
  value(
      "refused", [](const Outcome& it) { return it.refused; }, "jobs");
  value(
      "unfinished", [](const Outcome& it) { return it.unfinished; }, "jobs");
  PrintWaits(printer, rows, method, "wait_within_quota",
             &Outcome::quota_waits_s);
  if (method != static_cast<std::size_t>(Method::kPlanner)) return;
  PrintWaits(printer, rows, method, "owed_start", &Outcome::owed_waits_s);
  PrintWaits(printer, rows, method, "reclaim", &Outcome::reclaims_s);
  value(
      "late_guarantees",
      [](const Outcome& it) {
        return std::count_if(it.owed_waits_s.begin(), it.owed_waits_s.end(),
                             [](double s) { return s > 7.1; });
      },
      "count");
}

/// Runs every method on `seeds` seeds, a few at a time.
std::vector<Row> PlayAll(Firm firm, int first_seed, int seeds) {
  std::vector<Row> rows(static_cast<std::size_t>(seeds));
  std::atomic<int> next{0};
  const auto work = [&] {
    const int total = seeds * static_cast<int>(kMethodNames.size());
    for (int n = next++; n < total; n = next++) {
      const int seed = n / static_cast<int>(kMethodNames.size());
      const auto method = static_cast<std::size_t>(n) % kMethodNames.size();
      const auto load =
          LoadMaker(firm, static_cast<std::uint64_t>(first_seed + seed)).Make();
      rows[static_cast<std::size_t>(seed)][method] =
          Run(load, static_cast<Method>(method), {}).Play();
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) threads.emplace_back(work);
  for (auto& it : threads) it.join();
  return rows;
}

}  // namespace
}  // namespace lapishatch::bench

int main(int argc, char** argv) {
  using lapishatch::bench::Firm;
  // Fewer seeds for a quick look, others against a policy tuned to these.
  const int seeds =
      argc > 1 ? std::max(1, std::atoi(argv[1])) : lapishatch::bench::kSeeds;
  const int first_seed = argc > 2 ? std::max(1, std::atoi(argv[2])) : 1;
  for (const auto firm : {Firm::kBertolini, Firm::kFianza}) {
    const auto rows = lapishatch::bench::PlayAll(firm, first_seed, seeds);
    for (std::size_t i = 0; i < lapishatch::bench::kMethodNames.size(); ++i) {
      lapishatch::bench::PrintMethod(firm, rows, i);
    }
  }
  return 0;
}
