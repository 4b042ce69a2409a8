#include "lifecycle/worker_protocol.h"

namespace lapishatch::lifecycle {

const TaskKey& KeyOf(const WorkerCommand& command) {
  return std::visit([](const auto& it) -> const TaskKey& { return it.key; },
                    command);
}

}  // namespace lapishatch::lifecycle
