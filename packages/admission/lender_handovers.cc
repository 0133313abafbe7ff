// Implements token handovers between lenders.

#include "admission/lender_handovers.h"

#include <iterator>
#include <utility>

namespace trefoil::admission {

void lender_handovers::start(std::uint64_t round, const std::string& workspace, mono_time now) {
    pending_handover& entry = this->pending[workspace];
    entry.round = round;
    entry.started = now;
}

bool lender_handovers::hold(const held_request& request, mono_time now) {
    auto found = this->pending.find(request.workspace);
    if (found == this->pending.end() ||
        now - found->second.started >= this->options.max_hold_time) {
        return false;
    }
    found->second.held.push_back(request);
    return true;
}

std::optional<completed_handover> lender_handovers::complete(std::uint64_t round, mono_time now) {
    for (auto entry = this->pending.begin(); entry != this->pending.end(); ++entry) {
        if (entry->second.round == round) {
            if (now - entry->second.started >= this->options.handover_timeout) {
                return std::nullopt;
            }
            completed_handover completed{.workspace = entry->first,
                                         .held = std::move(entry->second.held)};
            this->pending.erase(entry);
            return completed;
        }
    }
    return std::nullopt;
}

void lender_handovers::cancel(std::uint64_t round, mono_time now) {
    for (auto& [workspace, each] : this->pending) {
        if (each.round == round) {
            each.started = now - this->options.handover_timeout;
        }
    }
}

std::vector<held_request> lender_handovers::expire(mono_time now) {
    std::vector<held_request> late;
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
        pending_handover& each = entry->second;
        mono_duration age = now - each.started;
        if (age >= this->options.max_hold_time) {
            late.insert(late.end(), std::make_move_iterator(each.held.begin()),
                        std::make_move_iterator(each.held.end()));
            each.held.clear();
        }
        entry =
            age >= this->options.handover_timeout ? this->pending.erase(entry) : std::next(entry);
    }
    return late;
}

}  // namespace trefoil::admission
