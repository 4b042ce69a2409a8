#include "routing/request_queue.h"

#include <algorithm>

namespace lapishatch::routing {
namespace {

/// Keeps a weight of zero from dividing.
constexpr double kLeastWeight = 1e-6;

}  // namespace

std::size_t RequestQueue::size(base::WorkClass work_class) const {
  return QueueOf(work_class).size;
}

RequestQueue::Line& RequestQueue::LineOf(
    ClassQueue& queue, const base::OrganisationName& organisation,
    double weight) {
  auto& line = queue.lines[organisation];
  if (line.active) return line;
  line.active = true;
  line.weight = std::max(weight, kLeastWeight);
  line.start = std::max(line.start, queue.virtual_time);
  queue.active_weight += line.weight;
  queue.order.emplace(line.start, organisation);
  return line;
}

void RequestQueue::Deactivate(ClassQueue& queue, Lines::iterator line) {
  line->second.active = false;
  queue.order.erase({line->second.start, line->first});
  queue.active_weight -= line->second.weight;
}

PushResult RequestQueue::Push(RequestToken token,
                              const base::OrganisationName& organisation,
                              base::WorkClass work_class, double weight) {
  auto& queue = QueueOf(work_class);
  PushResult result;
  if (queue.size >= options_.max_per_class) {
    result.displaced = Displace(queue, organisation, weight);
    if (!result.displaced) return result;
  }
  auto& tokens = LineOf(queue, organisation, weight).tokens;
  tokens.push_back(token);
  ++queue.size;
  places_.emplace(token,
                  Place{work_class, organisation, std::prev(tokens.end())});
  result.queued = true;
  return result;
}

void RequestQueue::PushFront(RequestToken token,
                             const base::OrganisationName& organisation,
                             base::WorkClass work_class, double weight) {
  auto& queue = QueueOf(work_class);
  auto& tokens = LineOf(queue, organisation, weight).tokens;
  tokens.push_front(token);
  ++queue.size;
  places_.emplace(token, Place{work_class, organisation, tokens.begin()});
}

std::optional<RequestToken> RequestQueue::Displace(
    ClassQueue& queue, const base::OrganisationName& newcomer, double weight) {
  auto longest = queue.lines.end();
  double longest_share = 0;
  for (auto it = queue.lines.begin(); it != queue.lines.end(); ++it) {
    const double share =
        static_cast<double>(it->second.tokens.size()) / it->second.weight;
    if (share <= longest_share) continue;
    longest = it;
    longest_share = share;
  }
  const auto own = queue.lines.find(newcomer);
  const double n = own == queue.lines.end()
                       ? 0
                       : static_cast<double>(own->second.tokens.size());
  if (longest == queue.lines.end() || (n + 1) / weight >= longest_share) {
    return std::nullopt;
  }
  const auto token = longest->second.tokens.back();
  Remove(token);
  return token;
}

std::optional<base::WorkClass> RequestQueue::NextClass() {
  if (empty()) return std::nullopt;
  const bool lowest = ++pops_ % options_.lowest_class_every == 0;
  std::optional<base::WorkClass> found;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    if (classes_[i].size == 0) continue;
    found = static_cast<base::WorkClass>(i);
    if (!lowest) break;
  }
  return found;
}

std::optional<RequestToken> RequestQueue::Pop() {
  const auto work_class = NextClass();
  if (!work_class) return std::nullopt;
  auto& queue = QueueOf(*work_class);
  const auto first = queue.order.begin();
  const auto it = queue.lines.find(first->second);
  auto& line = it->second;
  queue.order.erase(first);
  queue.virtual_time = std::max(queue.virtual_time, line.start);
  const auto token = line.tokens.front();
  line.tokens.pop_front();
  --queue.size;
  places_.erase(token);
  line.start += 1 / line.weight;
  queue.order.emplace(line.start, it->first);
  if (line.tokens.empty()) Deactivate(queue, it);
  return token;
}

bool RequestQueue::Remove(RequestToken token) {
  const auto place = places_.find(token);
  if (place == places_.end()) return false;
  auto& queue = QueueOf(place->second.work_class);
  const auto it = queue.lines.find(place->second.organisation);
  it->second.tokens.erase(place->second.position);
  --queue.size;
  places_.erase(place);
  if (it->second.tokens.empty()) Deactivate(queue, it);
  return true;
}

std::size_t RequestQueue::SizeBefore(base::WorkClass work_class) const {
  std::size_t n = 0;
  for (std::size_t i = 0; i < static_cast<std::size_t>(work_class); ++i) {
    n += classes_[i].size;
  }
  return n;
}

double RequestQueue::Ahead(const base::OrganisationName& organisation,
                           base::WorkClass work_class, double weight) const {
  const auto& queue = QueueOf(work_class);
  const auto it = queue.lines.find(organisation);
  const bool waits = it != queue.lines.end() && it->second.active;
  const double own = waits ? static_cast<double>(it->second.tokens.size()) : 0;
  const double active = queue.active_weight + (waits ? 0 : weight);
  const double fair = (own + 1) * active / weight - 1;
  return std::min(fair, static_cast<double>(queue.size));
}

}  // namespace lapishatch::routing
