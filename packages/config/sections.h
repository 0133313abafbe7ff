// Converts the sections of a merged document to the entries of a snapshot and checks the references
// between them. Internal to the package.

#ifndef TREFOIL_CONFIG_SECTIONS_H_
#define TREFOIL_CONFIG_SECTIONS_H_

#include <vector>

#include "config/snapshot.h"
#include "config/validation_failure.h"
#include "config/yaml_node.h"

namespace trefoil::config::detail {

// Returns all contents except the document versions. The result is complete only if no failure was
// added. `reused` are routes to add to those of the document; they must not overlap each other.
snapshot_contents read_sections(const yaml_node& merged, std::vector<route> reused,
                                validation_failures& failures);

}  // namespace trefoil::config::detail

#endif  // TREFOIL_CONFIG_SECTIONS_H_
