#ifndef LAPISHATCH_CTL_STATUS_VIEW_H_
#define LAPISHATCH_CTL_STATUS_VIEW_H_

#include <boost/json/value.hpp>
#include <string>

namespace lapishatch::ctl {

/// An entry's /v1/status for people: what is accepted and in force, who was
/// silent, then tables of processes, cells and the last warnings and errors.
std::string StatusText(const boost::json::value& status);

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_STATUS_VIEW_H_
