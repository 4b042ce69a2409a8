#ifndef LAPISHATCH_CONFIG_RESOURCE_CODEC_H_
#define LAPISHATCH_CONFIG_RESOURCE_CODEC_H_

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/json_reader.h"
#include "config/resource.h"

namespace lapishatch::config {

/// Most of a gang; a gang of the size to design for has 128 accelerators.
inline constexpr int kMostTasks = 1'024;
/// Accelerators of one worker, as many as a placement has bits for.
inline constexpr int kMostAcceleratorsPerTask = 64;
inline constexpr std::size_t kMostPayloadBytes = 64 * 1024;
inline constexpr std::size_t kMostGuarantees = 256;

/// Reads a spec, collecting every problem; `reader` is at the object "spec".
Spec ReadSpec(ResourceKind kind, ObjectReader& reader);

/// Reads a spec from JSON text; fails with Problems.
boost::leaf::result<Spec> ParseSpec(ResourceKind kind, std::string_view text);

boost::json::object ToJson(const Spec& spec);

/// The status of a job, as in resources and in the table's status rows.
boost::json::object ToJson(const JobStatus& status);
JobStatus ReadJobStatus(ObjectReader& reader);

/// Fails with Problems.
boost::leaf::result<JobStatus> ParseJobStatus(std::string_view text);

/// A resource as the API shows it: kind, name, version, spec, status.
boost::json::object ToJson(const Resource& resource);

/// One resource as an operator sends it.
struct ResourceInput {
  ResourceRef ref;
  /// From the field "version"; an apply's precondition.
  std::optional<LogVersion> version;
  /// From the field "delete" of an apply.
  bool remove = false;
  Spec spec;
};

/// Reads a PUT's body for the resource that its path names: an object with
/// "spec" and, if they are there, the same kind and name. The fields which the
/// system writes may be sent back and are not heeded. Fails with Problems.
boost::leaf::result<ResourceInput> ParsePut(const ResourceRef& ref,
                                            std::string_view text);

/// Reads an apply's body: {"resources": [...]}. Fails with Problems.
boost::leaf::result<std::vector<ResourceInput>> ParseApply(
    std::string_view text, std::size_t most);

/// Rows and the inner protocol keep whole resources with all of their fields.
boost::json::object ToStored(const Resource& resource);
boost::leaf::result<Resource> ParseStored(std::string_view text);
Resource ReadStored(ObjectReader& reader);

}  // namespace lapishatch::config

#endif  // LAPISHATCH_CONFIG_RESOURCE_CODEC_H_
