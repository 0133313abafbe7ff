// Implements the requests that wait for a lender.

#include "admission/lender_client.h"

#include <set>

#include "base/hash.h"

namespace trefoil::admission {

void lender_client::set_instances(std::vector<std::string> live) {
    if (live != this->instances) {
        this->instances = std::move(live);
        this->forget_lenders();
    }
}

void lender_client::forget_lenders() {
    for (const auto& [workspace, lender] : this->lenders) {
        if (lender != this->self) {
            this->former[workspace] = lender;
        }
    }
    this->lenders.clear();
}

const std::string& lender_client::lender_of(const std::string& workspace, mono_time now) {
    auto expired = [&](const auto& entry) { return entry.second <= now; };
    if (std::erase_if(this->avoided, expired) > 0) {
        this->forget_lenders();
    }
    auto known = this->lenders.find(workspace);
    if (known != this->lenders.end()) {
        return known->second;
    }
    std::vector<std::string> usable;
    for (const std::string& each : this->instances) {
        if (!this->avoided.contains(each)) {
            usable.push_back(each);
        }
    }
    std::string chosen = rendezvous_highest("lend/" + workspace, usable).value_or(this->self);
    return this->lenders.emplace(workspace, std::move(chosen)).first->second;
}

lender_request lender_client::ask(waiting_call call, mono_time now) {
    lender_request made{.round = this->rounds.next(),
                        .lender = this->lender_of(call.workspace, now)};
    if (made.lender != this->self) {
        call.lender = made.lender;
        call.deadline = now + this->options.answer_wait;
        this->deadlines.emplace_back(call.deadline, made.round);
        this->waiting.emplace(made.round, std::move(call));
    }
    return made;
}

lender_request lender_client::start(const std::string& workspace, std::uint64_t call,
                                    mono_time now) {
    return this->ask({.call = call, .workspace = workspace}, now);
}

bool lender_client::is_lender(const std::string& workspace, mono_time now) {
    return this->lender_of(workspace, now) == this->self;
}

std::optional<lender_request> lender_client::request_to_previous_lender(
    const std::string& workspace) {
    std::optional<std::string> before;
    if (auto known = this->former.find(workspace); known != this->former.end()) {
        before = known->second;
    } else {
        std::vector<std::string> others = this->instances;
        std::erase(others, this->self);
        before = rendezvous_highest("lend/" + workspace, others);
    }
    if (!before.has_value()) {
        return std::nullopt;
    }
    return lender_request{.round = this->rounds.next(), .lender = *before};
}

std::optional<std::uint64_t> lender_client::on_answer(std::uint64_t round) {
    auto found = this->waiting.find(round);
    if (found == this->waiting.end()) {
        return std::nullopt;
    }
    std::uint64_t call = found->second.call;
    this->unanswered.erase(found->second.lender);
    this->waiting.erase(found);
    return call;
}

std::vector<overdue_request> lender_client::expire(mono_time now) {
    std::vector<overdue_request> overdue;
    std::set<std::string> late_lenders;
    while (!this->deadlines.empty() && this->deadlines.front().first <= now) {
        auto found = this->waiting.find(this->deadlines.front().second);
        this->deadlines.pop_front();
        if (found == this->waiting.end()) {
            continue;
        }
        waiting_call late = std::move(found->second);
        this->waiting.erase(found);
        // Requests that are overdue at once say no more than one does: this daemon may have stood
        // still and have the answers unread.
        bool counts = late_lenders.insert(late.lender).second;
        if (counts && ++this->unanswered[late.lender] >= this->options.unanswered_limit) {
            this->unanswered.erase(late.lender);
            this->avoided[late.lender] = now + this->options.avoid_lender;
            this->forget_lenders();
        }
        overdue_request each{.call = late.call, .workspace = late.workspace, .next = std::nullopt};
        if (!late.repeated) {
            late.repeated = true;
            each.next = this->ask(std::move(late), now);
        }
        overdue.push_back(std::move(each));
    }
    return overdue;
}

}  // namespace trefoil::admission
