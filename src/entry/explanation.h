#ifndef LAPISHATCH_ENTRY_EXPLANATION_H_
#define LAPISHATCH_ENTRY_EXPLANATION_H_

#include <optional>
#include <string>

#include "config/config.h"
#include "http/http.h"

namespace lapishatch::entry {

/// One page that says what a job is, what the system makes of it and why.
/// `word` is what the owner of its cell says now, if it answered.
std::string ExplanationText(const config::Resource& job,
                            const std::optional<std::string>& word);

/// The page as JSON, or as plain text when the request accepts only that.
http::Response ExplanationResponse(const config::Resource& job,
                                   const std::optional<std::string>& word,
                                   const http::Request& request);

}  // namespace lapishatch::entry

#endif  // LAPISHATCH_ENTRY_EXPLANATION_H_
