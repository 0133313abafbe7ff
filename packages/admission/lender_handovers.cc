// Implements the wait for the tokens of the lender before.

#include "admission/lender_handovers.h"

#include <iterator>
#include <utility>

namespace trefoil::admission {

void lender_handovers::start(std::uint64_t round, const std::string& workspace, mono_time now) {
    pending_handover& entry = this->open[workspace];
    entry.round = round;
    entry.started = now;
}

bool lender_handovers::hold(const held_request& request, mono_time now) {
    auto found = this->open.find(request.workspace);
    if (found == this->open.end() || now - found->second.started >= this->options.hold_wait) {
        return false;
    }
    found->second.held.push_back(request);
    return true;
}

std::optional<completed_handover> lender_handovers::complete(std::uint64_t round, mono_time now) {
    for (auto entry = this->open.begin(); entry != this->open.end(); ++entry) {
        if (entry->second.round == round) {
            if (now - entry->second.started >= this->options.tokens_wait) {
                return std::nullopt;
            }
            completed_handover answered{.workspace = entry->first,
                                        .held = std::move(entry->second.held)};
            this->open.erase(entry);
            return answered;
        }
    }
    return std::nullopt;
}

void lender_handovers::cancel(std::uint64_t round, mono_time now) {
    for (auto& [workspace, each] : this->open) {
        if (each.round == round) {
            each.started = now - this->options.tokens_wait;
        }
    }
}

std::vector<held_request> lender_handovers::expire(mono_time now) {
    std::vector<held_request> late;
    for (auto entry = this->open.begin(); entry != this->open.end();) {
        pending_handover& each = entry->second;
        mono_duration age = now - each.started;
        if (age >= this->options.hold_wait) {
            late.insert(late.end(), std::make_move_iterator(each.held.begin()),
                        std::make_move_iterator(each.held.end()));
            each.held.clear();
        }
        entry = age >= this->options.tokens_wait ? this->open.erase(entry) : std::next(entry);
    }
    return late;
}

}  // namespace trefoil::admission
