// Builds the snapshots of successive versions. Versions of a large base document differ in few
// routes, and a machine of a tenth of a core has to follow several versions a second: routes whose
// text did not change are taken from the last snapshot.
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
    // The outcome is that of build_snapshot() and does not depend on earlier calls.
    result<std::shared_ptr<const snapshot>, validation_failures> build(
        std::shared_ptr<const document> base, const document& overlay);

    // Routes taken from an earlier snapshot so far.
    std::size_t reused_routes() const { return this->kept_count; }

private:
    // A version of the base, taken apart. The pieces refer to the document.
    struct base_pieces {
        std::shared_ptr<const document> source;
        std::string_view section;        // The text of the routes.
        std::vector<json_piece> routes;  // In the order of names.
    };

    static std::optional<base_pieces> split(std::shared_ptr<const document> base);
    std::optional<snapshot> build_with_kept(const base_pieces& base, const document& overlay);

    // The last success, when each of its routes follows from the route's text alone; no snapshot
    // without one.
    base_pieces last;
    std::shared_ptr<const snapshot> last_built;
    std::size_t kept_count = 0;
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_SNAPSHOT_BUILDER_H_
