#ifndef LAPISHATCH_STANDINS_COMMON_GATHERED_STATS_H_
#define LAPISHATCH_STANDINS_COMMON_GATHERED_STATS_H_

#include <boost/json.hpp>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "common/fault_request.h"
#include "http/http.h"

namespace lapishatch::standins {

/// Asks each of `servers` (pointers) for its Stats and answers `exchange` with
/// all of them under `name`, once the last has told its part. The parts come on
/// any thread, in the order in which they are told.
template <typename Servers>
void AnswerGatheredStats(const Servers& servers, const std::string& name,
                         const http::ExchangePtr& exchange) {
  struct Gathered {
    std::mutex mutex;
    std::string name;
    boost::json::array parts;
    std::size_t left = 0;
  };
  auto gathered = std::make_shared<Gathered>();
  gathered->name = name;
  gathered->left = servers.size();
  for (const auto& it : servers) {
    it->Stats([gathered, exchange](boost::json::object stats) {
      const std::lock_guard lock(gathered->mutex);
      gathered->parts.emplace_back(std::move(stats));
      if (--gathered->left > 0) return;
      exchange->Respond(
          JsonAnswer({{gathered->name, std::move(gathered->parts)}}));
    });
  }
}

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_COMMON_GATHERED_STATS_H_
