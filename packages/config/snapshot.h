// A complete, valid configuration, built from one base document and one overlay. A snapshot is
// immutable and shared as std::shared_ptr<const config::snapshot>; the pointers that it returns are
// valid for its lifetime.
//
// "Taken out" means that operators took an instance or a failure domain out of service (`out: true`
// in a document).
//
// Example:
//
//     auto found = current->find_route("GET", "/station/7/level");
//     const config::workspace* caller = current->find_workspace_by_digest(sha256_hex(key));
//     if (caller == nullptr || current->is_taken_out("station-3", "d1")) { ... }

#ifndef TREFOIL_CONFIG_SNAPSHOT_H_
#define TREFOIL_CONFIG_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/key_index.h"
#include "config/route_table.h"
#include "config/values.h"

namespace trefoil::config {

// Identifies one version of one document.
struct document_version {
    std::string name{};
    std::uint64_t revision = 0;
    std::uint64_t checksum = 0;

    friend bool operator==(const document_version&, const document_version&) = default;
};

// The entries of a snapshot. Outside of tests only build_snapshot() and snapshot_builder create
// them; they ensure the invariants stated in values.h.
struct snapshot_contents {
    document_version base;
    document_version overlay;   // Revision 0 if there is no overlay.
    std::uint64_t version = 0;  // Set by operators; 0 if the base document has none.
    config::fleet fleet;
    config::caller_limits caller_limits{};
    std::map<std::string, service, std::less<>> services{};
    route_table routes;
    std::map<std::string, workspace, std::less<>> workspaces{};
    std::map<std::string, access_key, std::less<>> keys{};          // By key id.
    std::map<std::string, bool, std::less<>> failure_domain_out{};  // True: taken out.
    std::map<std::string, bool, std::less<>> instance_out{};        // True: taken out.

    friend bool operator==(const snapshot_contents&, const snapshot_contents&) = default;
};

class snapshot {
public:
    explicit snapshot(snapshot_contents contents);

    std::uint64_t base_revision() const { return this->values.base.revision; }
    std::uint64_t overlay_revision() const { return this->values.overlay.revision; }

    route_lookup find_route(std::string_view method, std::string_view path) const {
        return this->values.routes.find(method, path);
    }
    // `host` is the value of the Host header, with or without a port.
    route_lookup find_route(std::string_view host, std::string_view method,
                            std::string_view path) const {
        return this->values.routes.find(host, method, path);
    }

    // Return null if there is no such entry.
    const service* find_service(std::string_view name) const;
    const workspace* find_workspace(std::string_view name) const;

    // Returns the workspace of the API key with the SHA-256 digest `sha256` (64 lower-case hex
    // digits), or null if no key has that digest.
    const workspace* find_workspace_by_digest(std::string_view sha256) const;

    // Returns the workspaces of two keys with the same digest, if there are any.
    std::optional<std::pair<std::string, std::string>> find_duplicate_key() const {
        return this->by_digest.find_duplicate();
    }

    // Names without an entry are in service.
    bool is_failure_domain_out(std::string_view name) const;
    bool is_instance_out(std::string_view name) const;

    // Whether the instance or its failure domain is taken out.
    bool is_taken_out(std::string_view instance, std::string_view failure_domain) const;

    std::uint64_t version() const { return this->values.version; }
    const config::fleet& fleet() const { return this->values.fleet; }
    const config::caller_limits& caller_limits() const { return this->values.caller_limits; }
    const snapshot_contents& contents() const { return this->values; }

    friend bool operator==(const snapshot& left, const snapshot& right) {
        return left.values == right.values;
    }

private:
    snapshot_contents values;
    key_index by_digest;  // Of `values`.
};

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_SNAPSHOT_H_
