// Implements the requests to lenders.

#include "admission/lender_client.h"

#include <set>

#include "base/hash.h"

namespace trefoil::admission {

void lender_client::set_instances(std::vector<std::string> live) {
    if (live != this->instances) {
        this->instances = std::move(live);
        this->reset_lenders();
    }
}

void lender_client::reset_lenders() {
    for (const auto& [workspace, lender] : this->chosen_lenders) {
        if (lender != this->self) {
            this->previous_lenders[workspace] = lender;
        }
    }
    this->chosen_lenders.clear();
}

const std::string& lender_client::lender_of(const std::string& workspace, mono_time now) {
    auto expired = [&](const auto& entry) { return entry.second <= now; };
    if (std::erase_if(this->avoided, expired) > 0) {
        this->reset_lenders();
    }
    auto known = this->chosen_lenders.find(workspace);
    if (known != this->chosen_lenders.end()) {
        return known->second;
    }
    std::vector<std::string> usable;
    for (const std::string& each : this->instances) {
        if (!this->avoided.contains(each)) {
            usable.push_back(each);
        }
    }
    std::string chosen = rendezvous_highest("lend/" + workspace, usable).value_or(this->self);
    return this->chosen_lenders.emplace(workspace, std::move(chosen)).first->second;
}

lender_request lender_client::make_request(pending_call call, mono_time now) {
    lender_request request{.round = this->rounds.next(),
                           .lender = this->lender_of(call.workspace, now)};
    if (request.lender != this->self) {
        call.lender = request.lender;
        call.deadline = now + this->options.answer_timeout;
        this->deadlines.emplace_back(call.deadline, request.round);
        this->pending.emplace(request.round, std::move(call));
    }
    return request;
}

lender_request lender_client::start(const std::string& workspace, std::uint64_t call,
                                    mono_time now) {
    return this->make_request({.call = call, .workspace = workspace}, now);
}

bool lender_client::is_lender(const std::string& workspace, mono_time now) {
    return this->lender_of(workspace, now) == this->self;
}

std::optional<lender_request> lender_client::request_to_previous_lender(
    const std::string& workspace) {
    std::optional<std::string> previous;
    if (auto known = this->previous_lenders.find(workspace);
        known != this->previous_lenders.end()) {
        previous = known->second;
    } else {
        std::vector<std::string> others = this->instances;
        std::erase(others, this->self);
        previous = rendezvous_highest("lend/" + workspace, others);
    }
    if (!previous.has_value()) {
        return std::nullopt;
    }
    return lender_request{.round = this->rounds.next(), .lender = *previous};
}

std::optional<std::uint64_t> lender_client::on_answer(std::uint64_t round) {
    auto found = this->pending.find(round);
    if (found == this->pending.end()) {
        return std::nullopt;
    }
    std::uint64_t call = found->second.call;
    this->unanswered.erase(found->second.lender);
    this->pending.erase(found);
    return call;
}

std::vector<overdue_request> lender_client::expire(mono_time now) {
    std::vector<overdue_request> overdue;
    std::set<std::string> late_lenders;
    while (!this->deadlines.empty() && this->deadlines.front().first <= now) {
        auto found = this->pending.find(this->deadlines.front().second);
        this->deadlines.pop_front();
        if (found == this->pending.end()) {
            continue;
        }
        pending_call late = std::move(found->second);
        this->pending.erase(found);
        // Requests that are found overdue in the same call count as one, because this daemon itself
        // may have been suspended and not have read the answers yet.
        bool counts = late_lenders.insert(late.lender).second;
        if (counts && ++this->unanswered[late.lender] >= this->options.unanswered_limit) {
            this->unanswered.erase(late.lender);
            this->avoided[late.lender] = now + this->options.avoid_duration;
            this->reset_lenders();
        }
        overdue_request each{.call = late.call, .workspace = late.workspace, .next = std::nullopt};
        if (!late.retried) {
            late.retried = true;
            each.next = this->make_request(std::move(late), now);
        }
        overdue.push_back(std::move(each));
    }
    return overdue;
}

}  // namespace trefoil::admission
