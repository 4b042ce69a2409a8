#ifndef LAPISHATCH_STORE_OBJECT_STORE_H_
#define LAPISHATCH_STORE_OBJECT_STORE_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "store/table.h"

namespace lapishatch::store {

/// The object was written.
struct Stored {};

using PutResult = std::variant<Stored, NotDone, UnknownOutcome>;

/// The object's bytes, or nothing when there is none.
using GetResult = std::variant<std::optional<std::string>, ReadFailed>;

/// The platform's object store, for what is too large for a row. Objects are
/// written once under a unique name and not changed, so that writing again
/// after an unknown outcome is safe.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  virtual void Put(std::string name, std::string bytes,
                   std::function<void(PutResult)> done) = 0;

  virtual void Get(std::string name, std::function<void(GetResult)> done) = 0;
};

}  // namespace lapishatch::store

#endif  // LAPISHATCH_STORE_OBJECT_STORE_H_
