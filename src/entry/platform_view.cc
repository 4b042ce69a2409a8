#include "entry/platform_view.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <deque>
#include <utility>

namespace lapishatch::entry {
namespace {

namespace json = boost::json;

constexpr std::size_t kCellPage = 512;
constexpr std::string_view kCellPrefix = "cells/";

std::string TextAt(const json::object& object, std::string_view key) {
  const auto* value = object.if_contains({key.data(), key.size()});
  const auto* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::string() : std::string(*text);
}

/// The holder in a cell's row; nothing for the other rows of a cell.
std::optional<CellHolder> HolderOf(const store::Row& row) {
  const auto name = row.key.substr(kCellPrefix.size());
  if (name.find('/') != std::string::npos) return std::nullopt;
  json::error_code ec;
  const auto value = json::parse(row.value, ec);
  if (ec || !value.is_object()) return std::nullopt;
  const auto& object = value.get_object();
  CellHolder holder;
  holder.cell = base::CellName(name);
  holder.holder = base::Incarnation(TextAt(object, "holder"));
  holder.endpoint = config::ParseEndpoint(TextAt(object, "endpoint"));
  const auto* epoch = object.if_contains("epoch");
  if (epoch != nullptr) {
    const auto number = epoch->to_number<std::uint64_t>(ec);
    if (!ec) holder.epoch = number;
  }
  return holder;
}

}  // namespace

class PlatformView::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(PlatformViewOptions options, PlatformViewPorts ports)
      : options_(options), ports_(ports), random_(options.seed) {}

  void Poll() {
    ReadVms();
    ReadCells("", {});
    std::uniform_int_distribution<std::int64_t> early(
        0, options_.poll.count() / 4);
    ports_.loop.After(options_.poll - base::Duration(early(random_)),
                      [weak = weak_from_this()] {
                        const auto self = weak.lock();
                        if (self != nullptr) self->Poll();
                      });
  }

  std::vector<store::Vm> Vms(store::VmKind kind) const {
    const std::lock_guard lock(mutex_);
    std::vector<store::Vm> out;
    for (const auto& it : vms_) {
      if (it.kind == kind) out.push_back(it);
    }
    return out;
  }

  std::optional<placement::WorkerSpec> SizeOf(
      const base::WorkerName& worker) const {
    const std::lock_guard lock(mutex_);
    const auto it = sizes_.find(worker);
    if (it == sizes_.end() || !it->second.spec) return std::nullopt;
    return it->second.spec;
  }

  std::vector<CellHolder> Cells() const {
    const std::lock_guard lock(mutex_);
    return cells_;
  }

 private:
  struct Size {
    std::optional<placement::WorkerSpec> spec;
    http::Endpoint endpoint;
    base::TimePoint asked;
  };

  template <typename Result>
  std::function<void(Result)> OnLoop(void (Impl::*take)(const Result&)) {
    return [weak = weak_from_this(), &loop = ports_.loop, take](Result result) {
      loop.Post([weak, take, result = std::move(result)] {
        const auto self = weak.lock();
        if (self != nullptr) (self.get()->*take)(result);
      });
    };
  }

  void ReadVms() {
    ports_.vms.List(OnLoop<store::VmListResult>(&Impl::TakeVms));
  }

  void TakeVms(const store::VmListResult& result) {
    const auto* list = std::get_if<std::vector<store::Vm>>(&result);
    if (list == nullptr) return;
    auto vms = *list;
    std::sort(vms.begin(), vms.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    {
      const std::lock_guard lock(mutex_);
      vms_ = std::move(vms);
      ForgetGoneWorkers();
    }
    QueueUnsized();
    AskNext();
    TellIfComplete();
  }

  void ForgetGoneWorkers() {
    std::erase_if(sizes_, [this](const auto& item) {
      return std::none_of(vms_.begin(), vms_.end(), [&item](const auto& vm) {
        return vm.kind == store::VmKind::kWorker && vm.name == item.first.str();
      });
    });
  }

  void QueueUnsized() {
    const auto now = ports_.loop.Now();
    for (const auto& vm : Vms(store::VmKind::kWorker)) {
      const base::WorkerName name(vm.name);
      const auto it = sizes_.find(name);
      const bool known = it != sizes_.end() && it->second.spec &&
                         it->second.endpoint == vm.endpoint &&
                         now - it->second.asked < options_.size_valid;
      const bool queued = std::any_of(
          to_ask_.begin(), to_ask_.end(),
          [&vm](const auto& other) { return other.name == vm.name; });
      if (!known && !queued) to_ask_.push_back(vm);
    }
  }

  void AskNext() {
    while (asked_ < options_.max_asked && !to_ask_.empty()) {
      const auto vm = std::move(to_ask_.front());
      to_ask_.pop_front();
      ++asked_;
      ports_.workers.FetchReport(
          vm.endpoint, backends::ReportQuery(),
          [weak = weak_from_this(), &loop = ports_.loop,
           vm](backends::ReportResult result) {
            loop.Post([weak, vm, result = std::move(result)] {
              const auto self = weak.lock();
              if (self == nullptr) return;
              self->TakeReport(vm, result);
            });
          });
    }
  }

  void TakeReport(const store::Vm& vm, const backends::ReportResult& result) {
    --asked_;
    {
      const std::lock_guard lock(mutex_);
      auto& size = sizes_[base::WorkerName(vm.name)];
      size.asked = ports_.loop.Now();
      size.endpoint = vm.endpoint;
      if (const auto* it = std::get_if<lifecycle::WorkerReport>(&result)) {
        size.spec = placement::WorkerSpec{
            base::WorkerName(vm.name), vm.rack.empty() ? it->rack : vm.rack,
            it->accelerators, it->cores, it->memory_mb};
      }
    }
    AskNext();
    TellIfComplete();
  }

  /// Tells sizes when every listed worker was asked, so that a guarantee is not
  /// judged against half a cluster while this process starts.
  void TellIfComplete() {
    if (asked_ > 0 || !to_ask_.empty()) return;
    std::map<base::DomainName, std::vector<placement::WorkerSpec>> by_domain;
    for (const auto& vm : Vms(store::VmKind::kWorker)) {
      auto& workers = by_domain[vm.domain];
      if (auto size = SizeOf(base::WorkerName(vm.name))) {
        workers.push_back(std::move(*size));
      }
    }
    for (auto& [domain, workers] : by_domain) {
      ports_.capacity.SetWorkers(domain, std::move(workers));
    }
  }

  void ReadCells(std::string after, std::vector<CellHolder> found) {
    ports_.table.Scan(std::string(kCellPrefix), std::move(after), kCellPage,
                      [weak = weak_from_this(), &loop = ports_.loop,
                       found = std::move(found)](store::ScanResult result) {
                        loop.Post([weak, found, result = std::move(result)] {
                          const auto self = weak.lock();
                          if (self != nullptr) self->TakeCells(found, result);
                        });
                      });
  }

  void TakeCells(std::vector<CellHolder> found,
                 const store::ScanResult& result) {
    const auto* page = std::get_if<store::RowPage>(&result);
    if (page == nullptr) return;
    for (const auto& row : page->rows) {
      if (auto holder = HolderOf(row)) found.push_back(std::move(*holder));
    }
    if (page->more) {
      ReadCells(page->rows.back().key, std::move(found));
      return;
    }
    const std::lock_guard lock(mutex_);
    cells_ = std::move(found);
  }

  PlatformViewOptions options_;
  PlatformViewPorts ports_;
  base::Random random_;
  /// On the loop only.
  std::deque<store::Vm> to_ask_;
  std::size_t asked_ = 0;

  /// Written on the loop, under the lock.
  mutable std::mutex mutex_;
  std::vector<store::Vm> vms_;
  std::map<base::WorkerName, Size> sizes_;
  std::vector<CellHolder> cells_;
};

PlatformView::PlatformView(PlatformViewOptions options, PlatformViewPorts ports)
    : impl_(std::make_shared<Impl>(options, ports)) {}

PlatformView::~PlatformView() = default;

void PlatformView::Start() { impl_->Poll(); }

std::vector<store::Vm> PlatformView::Vms(store::VmKind kind) const {
  return impl_->Vms(kind);
}

std::optional<placement::WorkerSpec> PlatformView::SizeOf(
    const base::WorkerName& worker) const {
  return impl_->SizeOf(worker);
}

std::vector<CellHolder> PlatformView::Cells() const { return impl_->Cells(); }

config::Section Describe(PlatformViewOptions& options) {
  config::Section section("platform_view",
                          "How the platform's list of VMs is followed.");
  section.Millis("poll_ms", options.poll, 100, 600'000,
                 "Between two readings of the VM list and the cells' rows.");
  section.Millis("size_valid_ms", options.size_valid, 1'000, 86'400'000,
                 "A worker's size is asked for again after this.");
  section.Integer("max_asked", options.max_asked, 1, 1'000,
                  "Workers asked for their size at once.");
  return section;
}

}  // namespace lapishatch::entry
