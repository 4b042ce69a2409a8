#ifndef LAPISHATCH_CONFIG_VALIDATION_H_
#define LAPISHATCH_CONFIG_VALIDATION_H_

#include <optional>
#include <variant>

#include "config/draft.h"

namespace lapishatch::config {

/// Why something is refused, before it is known for which change.
struct Objection {
  RefusalReason reason = RefusalReason::kInvalid;
  Problem problem;
};

/// Judges the whole configuration in `draft`, in which `resource` stands
/// already. Nothing when it is good.
std::optional<Objection> ObjectionToPut(const Resource& resource,
                                        const Judge& judge, const Draft& draft);

/// The failure domain to pin, empty for none.
using PinVerdict = std::variant<base::DomainName, Objection>;

/// Judges where a job that stands in `draft` could run, and chooses the domain
/// of one that names none. Needs CountDemand of the draft.
PinVerdict JudgePin(const Resource& job, const Judge& judge,
                    const Draft& draft);

/// Judges the whole configuration in `draft`, from which `resource` is gone
/// already.
std::optional<Objection> ObjectionToRemoval(const Resource& resource,
                                            const Draft& draft);

/// All guarantees of a draft by failure domain.
DomainGuarantees GuaranteesOf(const std::vector<ResourcePtr>& organisations);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_VALIDATION_H_
