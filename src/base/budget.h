#ifndef LAPISHATCH_BASE_BUDGET_H_
#define LAPISHATCH_BASE_BUDGET_H_

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

#include "base/enum_names.h"

namespace lapishatch::base {

/// What a part of a budget is spent on.
enum class BudgetUse : std::uint8_t {
  /// Connections that peers have opened, by what each costs at rest.
  kIncoming,
  /// Connections that this process has opened.
  kOutgoing,
  /// Requests that are being received.
  kInput,
  /// Whole requests until they are answered, with what their handlers keep.
  kRequests,
  /// Answers and streams that peers have not taken yet.
  kOutput,
};

inline constexpr std::size_t kBudgetUses = 5;

template <>
struct EnumNames<BudgetUse> {
  static constexpr std::array<std::string_view, kBudgetUses> kNames = {
      "incoming", "outgoing", "input", "requests", "output"};
};

/// A limited amount, such as bytes or descriptors, that is spent by charges.
/// Invariant: the charges never exceed the capacity together. Safe from several
/// threads.
class Budget {
 public:
  explicit Budget(std::size_t capacity) : capacity_(capacity) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;

  std::size_t capacity() const { return capacity_; }
  std::size_t spent() const { return spent_; }
  std::size_t spent(BudgetUse use) const {
    return by_use_[static_cast<std::size_t>(use)];
  }

 private:
  friend class Charge;

  /// Spends `n` more, if then no more than `ceiling` is spent in all.
  bool Spend(BudgetUse use, std::size_t n, std::size_t ceiling) {
    auto spent = spent_.load();
    do {
      if (ceiling < n || spent > ceiling - n) return false;
    } while (!spent_.compare_exchange_weak(spent, spent + n));
    by_use_[static_cast<std::size_t>(use)] += n;
    return true;
  }

  void Return(BudgetUse use, std::size_t n) {
    by_use_[static_cast<std::size_t>(use)] -= n;
    spent_ -= n;
  }

  const std::size_t capacity_;
  std::atomic<std::size_t> spent_{0};
  std::array<std::atomic<std::size_t>, kBudgetUses> by_use_{};
};

/// What one holder has spent of a budget, which must outlive it. Returned by
/// the destructor. One charge is used by one thread at a time.
class Charge {
 public:
  Charge() = default;
  Charge(Budget& budget, BudgetUse use) : budget_(&budget), use_(use) {}
  ~Charge() { Release(); }
  Charge(Charge&& other) noexcept
      : budget_(other.budget_),
        use_(other.use_),
        size_(std::exchange(other.size_, 0)) {}
  Charge& operator=(Charge&& other) noexcept {
    if (this == &other) return *this;
    Release();
    budget_ = other.budget_;
    use_ = other.use_;
    size_ = std::exchange(other.size_, 0);
    return *this;
  }

  std::size_t size() const { return size_; }

  /// Makes the charge `size`. A larger one is refused, and the charge stays as
  /// it is, if the budget would then have spent more than `ceiling`, which is
  /// at most its capacity.
  bool TryResize(std::size_t size, std::size_t ceiling) {
    if (budget_ == nullptr) return true;
    if (size > size_ &&
        !budget_->Spend(use_, size - size_,
                        std::min(ceiling, budget_->capacity()))) {
      return false;
    }
    if (size < size_) budget_->Return(use_, size_ - size);
    size_ = size;
    return true;
  }

  bool TryResize(std::size_t size) {
    return budget_ == nullptr || TryResize(size, budget_->capacity());
  }

  /// Returns everything.
  void Release() { TryResize(0); }

 private:
  Budget* budget_ = nullptr;
  BudgetUse use_ = BudgetUse::kInput;
  std::size_t size_ = 0;
};

}  // namespace lapishatch::base

#endif  // LAPISHATCH_BASE_BUDGET_H_
