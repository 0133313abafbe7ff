// Reads the sections of a merged document into the entries of a snapshot and checks the references
// between them. Internal to the package.

#ifndef TREFOIL_CONFIG_SECTIONS_H_
#define TREFOIL_CONFIG_SECTIONS_H_

#include <vector>

#include "config/snapshot.h"
#include "config/validation_failure.h"
#include "config/yaml_node.h"

namespace trefoil::config::detail {

// Fills everything but the document versions. The result is complete only when no failure was
// added. `kept` are routes beside those of the document, valid together.
snapshot_contents read_sections(const yaml_node& merged, std::vector<route> kept,
                                validation_failures& failures);

}  // namespace trefoil::config::detail

#endif  // TREFOIL_CONFIG_SECTIONS_H_
