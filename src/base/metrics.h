#ifndef LAPISHATCH_BASE_METRICS_H_
#define LAPISHATCH_BASE_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lapishatch::base {

/// One label of a metric, such as organisation="bertolini".
struct MetricLabel {
  std::string key;
  std::string value;

  friend auto operator<=>(const MetricLabel&, const MetricLabel&) = default;
};

using MetricLabels = std::vector<MetricLabel>;

/// What /metrics shows: counters, gauges and histograms, each by name and
/// labels, in shards that each have their own lock. A name keeps the labels it
/// was first used with; at most `kMaxSeriesPerName` label sets are kept per
/// name and later ones are counted under the label value "other", so that a
/// caller cannot fill the memory by inventing organisations.
class MetricRegistry {
 public:
  static constexpr std::size_t kMaxSeriesPerName = 4096;

  MetricRegistry();
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry&) = delete;
  MetricRegistry& operator=(const MetricRegistry&) = delete;

  /// Adds `n` to a counter.
  void Count(std::string_view name, const MetricLabels& labels = {},
             std::uint64_t n = 1);

  /// Sets a gauge.
  void Set(std::string_view name, const MetricLabels& labels, double value);

  /// Adds one observation, in seconds, to a histogram (buckets from 0.5 ms to 1
  /// hour).
  void Observe(std::string_view name, const MetricLabels& labels,
               double seconds);

  /// Everything in the Prometheus text format, sorted by name and labels.
  std::string Render() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_METRICS_H_
