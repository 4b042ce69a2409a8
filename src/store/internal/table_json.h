#ifndef LAPISHATCH_STORE_INTERNAL_TABLE_JSON_H_
#define LAPISHATCH_STORE_INTERNAL_TABLE_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "store/table.h"

namespace lapishatch::store::internal {

/// The body of POST /table/transactions.
std::string SerializeTransaction(const Transaction& transaction);

/// The body of a 200 to a transaction with `writes` writes; nothing when it is
/// anything else.
std::optional<Committed> ParseCommitted(std::string_view body,
                                        std::size_t writes);

/// The body of a 409.
std::optional<Conflict> ParseConflict(std::string_view body);

/// Whether the body of a refusal says `"effect":"none"`.
bool SaysNoEffect(std::string_view body);

std::optional<Row> ParseRow(std::string_view body);
std::optional<RowPage> ParseRowPage(std::string_view body);

/// Percent-encodes everything but the unreserved characters of RFC 3986.
std::string PercentEncode(std::string_view text);

}  // namespace lapishatch::store::internal

#endif  // LAPISHATCH_STORE_INTERNAL_TABLE_JSON_H_
