// Implements the readiness check.

#include "dissemination/readiness_check.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

namespace trefoil::dissemination {

namespace {

constexpr std::size_t required_peers = 3;
constexpr std::size_t required_domains = 2;
// After this time the reply of one peer is enough. Otherwise instances that other daemons can reach
// and this one cannot would keep it from becoming ready.
constexpr std::chrono::milliseconds single_peer_after{10000};

std::size_t distinct_values(const absl::flat_hash_map<std::string, std::string>& map) {
    absl::flat_hash_set<std::string> values;
    for (const auto& [key, value] : map) {
        values.insert(value);
    }
    return values.size();
}

}  // namespace

readiness_check::readiness_check(std::string self_id, mono_time start,
                                 std::chrono::milliseconds start_timeout)
    : self(std::move(self_id)), started_at(start), timeout(start_timeout) {}

void readiness_check::record_response(const std::string& peer, const std::string& failure_domain) {
    if (!this->is_ready) {
        this->responders[peer] = failure_domain;
    }
}

bool readiness_check::has_enough_peers(mono_time now, const membership::view& current) const {
    mono_duration waited = now - this->started_at;
    if (waited > (this->responders.empty() ? this->timeout : single_peer_after)) {
        return true;
    }
    // Only instances that are neither suspected nor gone are required to reply.
    std::size_t reachable = 0;
    absl::flat_hash_set<std::string> domains;
    for (const membership::member& each : current.listed()) {
        bool in_contact = each.state == membership::instance_state::live ||
                          each.state == membership::instance_state::leaving;
        if (!in_contact || each.record->id == this->self) {
            continue;
        }
        ++reachable;
        domains.insert(each.record->failure_domain);
        if (reachable >= required_peers && domains.size() >= required_domains) {
            break;
        }
    }
    if (current.listed().empty() && this->responders.empty()) {
        return false;
    }
    return this->responders.size() >= std::min(reachable, required_peers) &&
           distinct_values(this->responders) >= std::min(domains.size(), required_domains);
}

bool readiness_check::update(mono_time now, const readiness_inputs& inputs,
                             const membership::view& current) {
    if (this->is_ready) {
        return true;
    }
    bool without_platform =
        now - std::max(this->started_at, inputs.platform_answered_at) > this->timeout;
    bool enough = (inputs.platform_confirmed && this->has_enough_peers(now, current)) ||
                  (without_platform && inputs.majority_confirmed);
    if (!inputs.valid_pair) {
        this->reason = "configuration";
    } else if (inputs.document_missing) {
        this->reason = "newer_document";
    } else if (enough) {
        this->is_ready = true;
    } else {
        this->reason = inputs.platform_confirmed ? "peers" : "platform";
    }
    if (this->is_ready) {
        this->reason.clear();
        this->responders.clear();
    }
    return this->is_ready;
}

}  // namespace trefoil::dissemination
