#ifndef LAPISHATCH_TESTING_FAKES_FAKE_OBJECTS_H_
#define LAPISHATCH_TESTING_FAKES_FAKE_OBJECTS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/base.h"
#include "store/store.h"

namespace lapishatch::fakes {

/// The platform's object store in memory. While down, nothing is done.
class FakeObjects {
 public:
  void SetDown(bool down) { down_ = down; }
  bool down() const { return down_; }
  std::map<std::string, std::string>& objects() { return objects_; }

 private:
  bool down_ = false;
  std::map<std::string, std::string> objects_;
};

/// The object store as one process reaches it.
class FakeObjectsView final : public store::ObjectStore {
 public:
  FakeObjectsView(FakeObjects& objects, base::EventLoop& process)
      : objects_(objects), process_(process) {}

  void Put(std::string name, std::string bytes,
           std::function<void(store::PutResult)> done) override {
    if (objects_.down()) {
      Answer<store::PutResult>(store::NotDone{"down"}, std::move(done));
      return;
    }
    objects_.objects()[std::move(name)] = std::move(bytes);
    Answer<store::PutResult>(store::Stored{}, std::move(done));
  }

  void Get(std::string name,
           std::function<void(store::GetResult)> done) override {
    if (objects_.down()) {
      Answer<store::GetResult>(store::ReadFailed{"down"}, std::move(done));
      return;
    }
    const auto it = objects_.objects().find(name);
    std::optional<std::string> bytes;
    if (it != objects_.objects().end()) bytes = it->second;
    Answer<store::GetResult>(std::move(bytes), std::move(done));
  }

 private:
  template <typename Result>
  void Answer(Result result, std::function<void(Result)> done) {
    process_.After(kLatency, [result = std::move(result),
                              done = std::move(done)] { done(result); });
  }

  static constexpr base::Duration kLatency{5};

  FakeObjects& objects_;
  base::EventLoop& process_;
};

}  // namespace lapishatch::fakes

#endif  // LAPISHATCH_TESTING_FAKES_FAKE_OBJECTS_H_
