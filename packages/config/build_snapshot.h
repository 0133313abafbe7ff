// Builds a snapshot from a base document and an overlay, or reports everything that is wrong with
// the pair.
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

// A document with a repeated mistake could otherwise fill memory and the answers of admin endpoints
// with its failures.
inline constexpr std::size_t reported_failures_max = 200;

// Maps of base and overlay merge, lists and scalars of the overlay replace, and a key with the
// value
// `!remove` in the overlay removes that key. The whole merged document is validated; the failures
// are in the order of the document and never empty. At most `reported_failures_max` are returned.
result<snapshot, validation_failures> build_snapshot(const document& base, const document& overlay);

namespace detail {

// Builds from what read_yaml() returned for the two documents. `kept` are routes of an earlier
// snapshot that are missing from the tree of the base; when there are any, failures say only that
// the documents have to be read as a whole.
result<snapshot, validation_failures> build_from_trees(
    const document& base, const document& overlay,
    result<yaml_node, validation_failures> base_outcome,
    result<yaml_node, validation_failures> overlay_outcome, std::vector<route> kept);

}  // namespace detail

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_BUILD_SNAPSHOT_H_
