#ifndef LAPISHATCH_STANDINS_PLATFORM_TRANSACTION_JSON_H_
#define LAPISHATCH_STANDINS_PLATFORM_TRANSACTION_JSON_H_

#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <string>
#include <string_view>

#include "store/store.h"

namespace lapishatch::standins {

/// What is wrong with the body of a transaction.
struct TransactionError {
  std::string detail;
};

/// Reads the body of `POST /table/transactions`.
boost::leaf::result<store::Transaction> ParseTransaction(std::string_view body);

boost::json::object ObjectOf(const store::Row& row);
boost::json::object ObjectOf(const store::RowPage& page);
boost::json::object ObjectOf(const store::Committed& committed);
boost::json::object ObjectOf(const store::Conflict& conflict);

}  // namespace lapishatch::standins

#endif  // LAPISHATCH_STANDINS_PLATFORM_TRANSACTION_JSON_H_
