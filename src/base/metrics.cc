#include "base/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <utility>
#include <variant>

#include "base/internal/bucket_counts.h"

namespace lapishatch::base {
namespace {

namespace acc = boost::accumulators;

constexpr std::size_t kShards = 16;

using Histogram =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            internal::tag::bucket_counts>>;

struct Counter {
  std::uint64_t value = 0;
};

struct Gauge {
  double value = 0;
};

using Series = std::variant<Counter, Gauge, Histogram>;
using SeriesKey = std::pair<std::string, MetricLabels>;

std::string Number(double value) {
  std::array<char, 32> buf{};
  const auto end =
      std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
  return {buf.data(), end};
}

std::string Escaped(const std::string& value) {
  std::string out;
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out;
}

std::string LabelText(const MetricLabels& labels,
                      const std::string& bound = {}) {
  std::string out;
  for (const auto& label : labels) {
    out += out.empty() ? "{" : ",";
    out += label.key + "=\"" + Escaped(label.value) + '"';
  }
  if (!bound.empty()) {
    out += out.empty() ? "{" : ",";
    out += "le=\"" + bound + '"';
  }
  if (!out.empty()) out += '}';
  return out;
}

/// Writes one series in the text format of the exposition.
class SeriesWriter {
 public:
  SeriesWriter(const SeriesKey& key, std::string& out) : key_(key), out_(out) {}

  void operator()(const Counter& counter) const {
    Line("", "", std::to_string(counter.value));
  }

  void operator()(const Gauge& gauge) const {
    Line("", "", Number(gauge.value));
  }

  void operator()(const Histogram& histogram) const {
    const auto& counts = internal::BucketCountsOf(histogram);
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < internal::kBucketBounds.size(); ++i) {
      below += counts[i];
      Line("_bucket", Number(internal::kBucketBounds[i]),
           std::to_string(below));
    }
    const auto total = std::to_string(acc::count(histogram));
    Line("_bucket", "+Inf", total);
    Line("_sum", "", Number(acc::sum(histogram)));
    Line("_count", "", total);
  }

 private:
  void Line(std::string_view suffix, const std::string& bound,
            const std::string& value) const {
    out_ += key_.first;
    out_ += suffix;
    out_ += LabelText(key_.second, bound);
    out_ += ' ';
    out_ += value;
    out_ += '\n';
  }

  const SeriesKey& key_;
  std::string& out_;
};

std::string_view TypeOf(const Series& series) {
  static constexpr std::array<std::string_view, 3> kTypes = {"counter", "gauge",
                                                             "histogram"};
  return kTypes[series.index()];
}

}  // namespace

struct MetricRegistry::Impl {
  /// Series are sharded by name, so that the bound per name is kept under one
  /// lock.
  struct Shard {
    mutable std::mutex mutex;
    std::map<SeriesKey, Series> series;
    std::map<std::string, std::size_t, std::less<>> series_per_name;
  };

  Shard& ShardOf(std::string_view name) {
    return shards[std::hash<std::string_view>()(name) % kShards];
  }

  template <typename Kind, typename Change>
  void Update(std::string_view name, const MetricLabels& labels,
              Change change) {
    auto& shard = ShardOf(name);
    const std::lock_guard lock(shard.mutex);
    SeriesKey key(name, labels);
    auto it = shard.series.find(key);
    if (it == shard.series.end()) it = Add<Kind>(shard, std::move(key));
    if (auto* series = std::get_if<Kind>(&it->second)) change(*series);
  }

  template <typename Kind>
  static std::map<SeriesKey, Series>::iterator Add(Shard& shard,
                                                   SeriesKey key) {
    auto& n = shard.series_per_name[key.first];
    if (n >= kMaxSeriesPerName) {
      for (auto& label : key.second) label.value = "other";
    }
    const auto [it, inserted] =
        shard.series.try_emplace(std::move(key), Kind());
    if (inserted) ++n;
    return it;
  }

  std::array<Shard, kShards> shards;
};

MetricRegistry::MetricRegistry() : impl_(std::make_unique<Impl>()) {}
MetricRegistry::~MetricRegistry() = default;

void MetricRegistry::Count(std::string_view name, const MetricLabels& labels,
                           std::uint64_t n) {
  impl_->Update<Counter>(name, labels,
                         [n](Counter& counter) { counter.value += n; });
}

void MetricRegistry::Set(std::string_view name, const MetricLabels& labels,
                         double value) {
  impl_->Update<Gauge>(name, labels,
                       [value](Gauge& gauge) { gauge.value = value; });
}

void MetricRegistry::Observe(std::string_view name, const MetricLabels& labels,
                             double seconds) {
  impl_->Update<Histogram>(
      name, labels, [seconds](Histogram& histogram) { histogram(seconds); });
}

std::string MetricRegistry::Render() const {
  std::map<SeriesKey, Series> all;
  for (const auto& shard : impl_->shards) {
    const std::lock_guard lock(shard.mutex);
    all.insert(shard.series.begin(), shard.series.end());
  }
  std::string out;
  std::string last_name;
  for (const auto& [key, series] : all) {
    if (key.first != last_name) {
      last_name = key.first;
      out += "# TYPE " + last_name + ' ';
      out += TypeOf(series);
      out += '\n';
    }
    std::visit(SeriesWriter(key, out), series);
  }
  return out;
}

}  // namespace lapishatch::base
