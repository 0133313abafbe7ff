// Implements the look-ups in a snapshot.

#include "config/snapshot.h"

#include <utility>

namespace trefoil::config {

namespace {

template <class Value>
const Value* find_in(const std::map<std::string, Value, std::less<>>& entries,
                     std::string_view name) {
    auto found = entries.find(name);
    return found == entries.end() ? nullptr : &found->second;
}

}  // namespace

snapshot::snapshot(snapshot_contents contents)
    : values(std::move(contents)), by_digest(this->values.workspaces, this->values.keys) {}

const service* snapshot::find_service(std::string_view name) const {
    return find_in(this->values.services, name);
}

const workspace* snapshot::find_workspace(std::string_view name) const {
    return find_in(this->values.workspaces, name);
}

const workspace* snapshot::find_workspace_by_digest(std::string_view sha256) const {
    auto digest = parse_sha256_hex(sha256);
    const std::string* name = digest ? this->by_digest.find(*digest) : nullptr;
    return name == nullptr ? nullptr : this->find_workspace(*name);
}

bool snapshot::is_failure_domain_out(std::string_view name) const {
    const bool* out = find_in(this->values.failure_domain_out, name);
    return out != nullptr && *out;
}

bool snapshot::is_instance_out(std::string_view name) const {
    const bool* out = find_in(this->values.instance_out, name);
    return out != nullptr && *out;
}

bool snapshot::is_taken_out(std::string_view instance, std::string_view failure_domain) const {
    return this->is_instance_out(instance) || this->is_failure_domain_out(failure_domain);
}

}  // namespace trefoil::config
