// Builds the snapshots of successive document versions incrementally. Versions of a large base
// document differ in few routes, and a machine with a tenth of a core has to process several
// versions per second. Routes whose text did not change are therefore copied from the last snapshot
// instead of being parsed again; that their services still exist is checked for each version.
//
// Example:
//
//     config::snapshot_builder builder;
//     auto outcome = builder.build(base, overlay);
//     if (auto* built = std::get_if<std::shared_ptr<const config::snapshot>>(&outcome)) { ... }

#ifndef TREFOIL_CONFIG_SNAPSHOT_BUILDER_H_
#define TREFOIL_CONFIG_SNAPSHOT_BUILDER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/json_pieces.h"
#include "base/result.h"
#include "config/document.h"
#include "config/snapshot.h"
#include "config/validation_failure.h"

namespace trefoil::config {

// Not safe for concurrent use.
class snapshot_builder {
public:
    // A larger base document is invalid.
    explicit snapshot_builder(std::size_t max_document_bytes = document_bytes_max)
        : max_bytes(max_document_bytes) {}

    // Returns the same outcome as build_snapshot(), whatever was built before, except for the
    // maximum size.
    result<std::shared_ptr<const snapshot>, validation_failures> build(
        std::shared_ptr<const document> base, const document& overlay);

    // Returns how many routes were copied from earlier snapshots, over all calls of build().
    std::size_t reused_routes() const { return this->reused_count; }

private:
    // A base document and the text of each of its routes. The views refer to `source`.
    struct split_base {
        std::shared_ptr<const document> source;
        std::string_view routes_text;    // The value of the section `routes`.
        std::vector<json_piece> routes;  // Sorted by name.
    };

    std::optional<split_base> split_routes(std::shared_ptr<const document> base) const;
    std::optional<snapshot> build_incrementally(const split_base& base, const document& overlay);

    std::size_t max_bytes;
    // The last valid version and its snapshot. Both are empty unless the base was JSON and the
    // overlay changed no routes, so that each route depends on its own text only.
    split_base last_base;
    std::shared_ptr<const snapshot> last_built;
    std::size_t reused_count = 0;
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_SNAPSHOT_BUILDER_H_
