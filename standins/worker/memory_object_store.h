#ifndef LAPISHATCH_STANDINS_WORKER_MEMORY_OBJECT_STORE_H_
#define LAPISHATCH_STANDINS_WORKER_MEMORY_OBJECT_STORE_H_

#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "store/store.h"

namespace lapishatch::standins {

/// Objects in memory, for stand-in workers that run without a platform. Answers
/// within the call. Safe from several threads.
class MemoryObjectStore final : public store::ObjectStore {
 public:
  void Put(std::string name, std::string bytes,
           std::function<void(store::PutResult)> done) override {
    {
      const std::lock_guard lock(mutex_);
      objects_[std::move(name)] = std::move(bytes);
    }
    done(store::Stored{});
  }

  void Get(std::string name,
           std::function<void(store::GetResult)> done) override {
    std::optional<std::string> found;
    {
      const std::lock_guard lock(mutex_);
      const auto it = objects_.find(name);
      if (it != objects_.end()) found = it->second;
    }
    done(std::move(found));
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_WORKER_MEMORY_OBJECT_STORE_H_
