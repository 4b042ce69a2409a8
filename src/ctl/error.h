#ifndef LAPISHATCH_CTL_ERROR_H_
#define LAPISHATCH_CTL_ERROR_H_

#include <string>
#include <vector>

#include "http/http.h"

namespace lapishatch::ctl {

/// The command line or a file it names cannot be understood.
struct BadUsage {
  std::string detail;
};

/// An entry answered with a problem (RFC 9457).
struct Refused {
  http::Endpoint entry;
  int status = 0;
  std::string title;
  std::string detail;
  /// "not-run", "ran", "unknown" or empty.
  std::string work;
  /// Every problem of the input, one a line.
  std::vector<std::string> problems;
};

/// What one entry did when it was last tried.
struct EntryFailure {
  http::Endpoint entry;
  std::string detail;
};

/// No entry could be had in time; nothing was changed.
struct Unreachable {
  std::vector<EntryFailure> entries;
};

/// The answer to a change was lost: it may have taken effect.
struct OutcomeUnknown {
  EntryFailure failure;
  /// How to find out.
  std::string advice;
};

/// Reads the problem of a refusal; tolerates any body.
Refused RefusalFrom(const http::Endpoint& entry,
                    const http::Response& response);

/// What happened and what the operator can do, for people.
std::string TextOf(const BadUsage& error);
std::string TextOf(const Refused& error);
std::string TextOf(const Unreachable& error);
std::string TextOf(const OutcomeUnknown& error);

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_ERROR_H_
