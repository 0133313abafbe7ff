// Implements the start-up rule.

#include "dissemination/start_rule.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

namespace trefoil::dissemination {

namespace {

constexpr std::size_t wanted_peers = 3;
constexpr std::size_t wanted_domains = 2;
// After this one responding peer is enough. Instances that others hear but this daemon cannot
// reach would otherwise keep it out of service.
constexpr std::chrono::milliseconds partial_reach_after{10000};

std::size_t distinct_values(const absl::flat_hash_map<std::string, std::string>& map) {
    absl::flat_hash_set<std::string> values;
    for (const auto& [key, value] : map) {
        values.insert(value);
    }
    return values.size();
}

}  // namespace

start_rule::start_rule(std::string self_id, mono_time start, std::chrono::milliseconds patience)
    : self(std::move(self_id)), started_at(start), limit(patience) {}

void start_rule::responded(const std::string& peer, const std::string& failure_domain) {
    if (!this->is_ready) {
        this->responders[peer] = failure_domain;
    }
}

bool start_rule::enough_peers(mono_time now, const membership::view& current) const {
    mono_duration waited = now - this->started_at;
    if (waited > (this->responders.empty() ? this->limit : partial_reach_after)) {
        return true;
    }
    // Instances that are neither suspected nor gone exist.
    std::size_t existing = 0;
    absl::flat_hash_set<std::string> domains;
    for (const membership::member& each : current.listed()) {
        bool exists = each.state == membership::instance_state::live ||
                      each.state == membership::instance_state::leaving;
        if (!exists || each.record->id == this->self) {
            continue;
        }
        ++existing;
        domains.insert(each.record->failure_domain);
        if (existing >= wanted_peers && domains.size() >= wanted_domains) {
            break;
        }
    }
    if (current.listed().empty() && this->responders.empty()) {
        return false;
    }
    return this->responders.size() >= std::min(existing, wanted_peers) &&
           distinct_values(this->responders) >= std::min(domains.size(), wanted_domains);
}

bool start_rule::update(mono_time now, const start_facts& facts, const membership::view& current) {
    if (this->is_ready) {
        return true;
    }
    bool without_platform =
        now - std::max(this->started_at, facts.platform_answered_at) > this->limit;
    bool enough = (facts.platform_confirmed && this->enough_peers(now, current)) ||
                  (without_platform && facts.majority_heard);
    if (!facts.valid_pair) {
        this->reason = "configuration";
    } else if (facts.document_missing) {
        this->reason = "newer_document";
    } else if (enough) {
        this->is_ready = true;
    } else {
        this->reason = facts.platform_confirmed ? "peers" : "platform";
    }
    if (this->is_ready) {
        this->reason.clear();
        this->responders.clear();
    }
    return this->is_ready;
}

}  // namespace trefoil::dissemination
