#ifndef LAPISHATCH_CTL_VIEWS_H_
#define LAPISHATCH_CTL_VIEWS_H_

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lapishatch::ctl {

/// Kinds that operators read; the first ones they also write.
inline constexpr std::array<std::string_view, 7> kKinds = {
    "organisations", "services", "jobs", "drains",
    "workers",       "runners",  "cells"};

/// The kind that `word` means: its name or its singular, or empty.
std::string_view KindFor(std::string_view word);

/// A table of resources of one kind, a row each, in the order of their names:
/// worker-2 before worker-10.
std::string TableOf(std::string_view kind, const boost::json::array& resources);

/// One line for one resource, as in a watch.
std::string LineOf(std::string_view kind, const boost::json::value& resource);

}  // namespace lapishatch::ctl

#endif  // LAPISHATCH_CTL_VIEWS_H_
