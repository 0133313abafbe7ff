// Builds a snapshot from a base document and an overlay, or returns all validation failures of the
// pair.
//
// Example:
//
//     auto outcome = config::build_snapshot(base, config::empty_overlay("north"));
//     if (auto* failures = std::get_if<config::validation_failures>(&outcome)) { ... }

#ifndef TREFOIL_CONFIG_BUILD_SNAPSHOT_H_
#define TREFOIL_CONFIG_BUILD_SNAPSHOT_H_

#include <cstddef>
#include <vector>

#include "base/result.h"
#include "config/document.h"
#include "config/snapshot.h"
#include "config/validation_failure.h"
#include "config/yaml_node.h"

namespace trefoil::config {

// Bounds the memory and the size of admin responses for a document that has the same error many
// times.
inline constexpr std::size_t reported_failures_max = 200;

// Merges the overlay into the base and validates the result as a whole. Maps are merged, lists and
// scalars of the overlay replace those of the base, and the value `!remove` in the overlay removes
// its key. The failures are never empty; they are sorted by document (base first) and line, and at
// most `reported_failures_max` are returned.
result<snapshot, validation_failures> build_snapshot(const document& base, const document& overlay);

namespace detail {

// Builds a snapshot from the results of read_yaml() for the two documents. `reused` are routes of
// an earlier snapshot that the tree of the base leaves out. If `reused` is not empty, the returned
// failures must not be shown to operators: the caller reads both documents in full to obtain the
// failures to report.
result<snapshot, validation_failures> build_from_trees(
    const document& base, const document& overlay,
    result<yaml_node, validation_failures> base_outcome,
    result<yaml_node, validation_failures> overlay_outcome, std::vector<route> reused);

}  // namespace detail

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_BUILD_SNAPSHOT_H_
