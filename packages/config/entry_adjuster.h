// Brings the entries of a generated document to values that validation accepts. An adapter writes
// such a document for a platform that validates configurations by rules of its own. Rejecting the
// document for a value that this project does not support would keep the previous configuration in
// force, with keys and routes that operators have removed.
//
// Example:
//
//     config::entry_adjuster adjuster;
//     nlohmann::json entry = {{"path_prefix", "/a/"}, {"service", "s1"}, {"timeout_ms", 0}};
//     if (adjuster.adjust_route("r-1", entry)) { ... entry["timeout_ms"] is 1 ... }
//     for (const config::adjustment& each : adjuster.take()) { ... }
//
// A number out of range is replaced by the nearest bound, a value of another type is left out, as
// if the operators had not stated it, and a route that no request can match is left out as a whole.
// Valid entries are not changed.

#ifndef TREFOIL_CONFIG_ENTRY_ADJUSTER_H_
#define TREFOIL_CONFIG_ENTRY_ADJUSTER_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/adjustment.h"

namespace trefoil::config {

class entry_adjuster {
public:
    // These take an object with the fields of an entry in configuration documents. They return
    // false if the entry has to be left out.
    bool adjust_route(std::string_view name, nlohmann::json& entry);
    void adjust_service(std::string_view name, nlohmann::json& entry);
    void adjust_workspace(std::string_view name, nlohmann::json& entry);
    // Takes the section `caller_limits`.
    void adjust_caller_limits(nlohmann::json& section);
    // Takes the whole document and adjusts its field `version`.
    void adjust_version(nlohmann::json& document);

    // Records a change that the caller made. Hides text in the path that could be a key.
    void add(adjustment change);

    // Returns the adjustments since the last call.
    std::vector<adjustment> take();

private:
    std::vector<adjustment> made;
};

// The requests that one route of a generated document matches, and whether it requires a key.
struct matched_requests {
    std::string host{};  // In lower case.
    std::string path_prefix{};
    bool open = false;  // True: no API key is required.

    friend bool operator==(const matched_requests&, const matched_requests&) = default;
};

// Returns the positions of the routes to leave out, so that no two of the others match the same
// requests. Of routes with the same host and prefix, the first one that requires a key stays, or
// the first one if none does.
std::set<std::size_t> find_overlaps(const std::vector<const matched_requests*>& routes);

// Takes the field `key_digests` of each workspace. Returns the positions and the new values of
// those that share a key with an earlier workspace, which keeps it.
std::vector<std::pair<std::size_t, std::string>> without_shared_keys(
    const std::vector<std::string_view>& packed_digests);

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_ENTRY_ADJUSTER_H_
