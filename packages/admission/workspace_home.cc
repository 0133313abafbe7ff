// Implements the tokens of one workspace at one daemon.

#include "admission/workspace_home.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil::admission {

namespace {

// A request waits at the home for a shorter time than the call waits at its ingress, so that the
// answer arrives before the call is refused.
constexpr double home_wait_part = 0.8;

// Part of the cap that is not granted ahead of demand, so that calls at other daemons find tokens
// without a recall.
constexpr double reserve_part = 0.25;

}  // namespace

workspace_home::workspace_home(const limit_options& settings, std::string name, mono_time now,
                               mono_time usable_from)
    : options(settings),
      workspace(std::move(name)),
      pool(settings, now),
      share(usable_from),
      borrowed(settings),
      ledger(settings) {}

void workspace_home::set_home(bool is_home_now, const std::vector<std::string>& lenders) {
    this->home = is_home_now;
    this->borrowed.set_lenders(lenders);
}

void workspace_home::advance(mono_time now) {
    while (this->advance_to_next_event(now)) {
    }
    this->pool.accrue(now);
}

bool workspace_home::advance_to_next_event(mono_time now) {
    mono_time share_start = this->share.in_use() ? mono_time::max() : this->share.usable_from();
    mono_time event =
        std::min({share_start, this->ledger.next_expiry(), this->borrowed.next_end()});
    if (event > now) {
        return false;
    }
    this->pool.accrue(event);
    // Batches go first: one that expires with its loan must not push the cap's cut.
    this->pool.settle(this->ledger.expire(event), 0);
    for (int ended = this->borrowed.expire(event); ended > 0; --ended) {
        this->pool.remove_share();
    }
    if (share_start <= event) {
        bool copied = this->options.faults.copy_loans && this->share.lent();
        this->share.start_use();
        if (!copied) {
            this->pool.add_share(0);
        }
    }
    return true;
}

double workspace_home::expected_in_wait() const {
    double seconds = std::chrono::duration<double>(this->options.max_wait).count();
    return this->pool.rate() * seconds * home_wait_part;
}

double workspace_home::backlog() const {
    double sum = 0;
    for (const want& each : this->wants) {
        sum += each.count;
    }
    return sum;
}

bool workspace_home::worth_waiting(std::size_t waiting) const {
    double ahead_of_it = this->backlog() + static_cast<double>(waiting);
    return ahead_of_it + 1 <= this->expected_in_wait() + this->ledger.recallable();
}

void workspace_home::serve(std::size_t local_waiting, mono_time now, limiter_output& out) {
    while (!this->wants.empty()) {
        const want& first = this->wants.front();
        double granted = std::min(first.count, this->pool.whole_tokens());
        if (granted < 1 && first.deadline > now) {
            break;
        }
        want next = std::move(this->wants.front());
        this->wants.pop_front();
        this->reply(next.holder, next.round, granted, 0, now, out);
    }
    if (this->ledger.recallable() > 0 && this->pool.whole_tokens() < 1) {
        if (!this->wants.empty()) {
            this->recall(this->wants.front().holder, out);
        } else if (local_waiting > 0) {
            this->recall("", out);
        }
    }
}

void workspace_home::on_token_request(const std::string& from,
                                      const messages::token_request& request, mono_time now,
                                      limiter_output& out) {
    for (const auto& report : request.settlements) {
        batch_ledger::change change = this->ledger.settle(from, report);
        this->pool.settle(change.finished, change.returned);
    }
    if (request.wanted_now <= 0 && request.wanted_ahead <= 0) {
        return;
    }
    if (this->ledger.answered(from, request.round) || this->waits_already(from, request.round)) {
        return;
    }
    if (!this->home && this->borrowed.active_count() == 0) {
        out.messages.push_back(
            {from, messages::token_grant{
                       .round = request.round, .workspace = this->workspace, .is_home = false}});
        return;
    }
    this->serve(0, now, out);
    double granted = std::min(request.wanted_now, this->pool.whole_tokens());
    bool waits = request.wanted_now >= 1 && granted < 1 &&
                 this->backlog() + 1 <= this->expected_in_wait() + this->ledger.recallable();
    if (waits) {
        auto wait =
            std::chrono::duration_cast<mono_duration>(this->options.max_wait * home_wait_part);
        this->wants.push_back({.holder = from,
                               .round = request.round,
                               .count = request.wanted_now,
                               .deadline = now + wait});
        this->serve(0, now, out);
        return;
    }
    bool all_now = granted >= request.wanted_now;
    double ahead = all_now ? this->grantable_ahead(granted + request.wanted_ahead) - granted : 0;
    this->reply(from, request.round, granted, std::max(0.0, ahead), now, out);
}

double workspace_home::grantable_ahead(double wanted) const {
    double reserve = this->pool.cap() * reserve_part;
    double free = this->pool.whole_tokens() - reserve;
    return this->home ? std::floor(std::clamp(free, 0.0, wanted)) : 0;
}

bool workspace_home::waits_already(const std::string& holder, std::uint64_t round) const {
    return std::any_of(this->wants.begin(), this->wants.end(), [&](const want& each) {
        return each.round == round && each.holder == holder;
    });
}

void workspace_home::reply(const std::string& holder, std::uint64_t round, double now_count,
                           double ahead_count, mono_time now, limiter_output& out) {
    double count = std::floor(now_count) + std::floor(ahead_count);
    messages::token_grant grant{.round = round, .workspace = this->workspace};
    if (count >= 1) {
        this->pool.issue(count);
        grant.batch = this->ledger.add(
            {.holder = holder, .round = round, .left = count, .ahead = std::floor(ahead_count)},
            now);
        grant.tokens = count;
        grant.life_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->options.batch_lifetime)
                .count();
    }
    out.messages.push_back({holder, std::move(grant)});
}

void workspace_home::recall(const std::string& except, limiter_output& out) {
    for (const std::string& holder : this->ledger.recall(except)) {
        out.messages.push_back(
            {holder, messages::token_grant{.workspace = this->workspace, .recall = true}});
    }
}

std::optional<messages::loan> workspace_home::lend(const share_borrower& borrower,
                                                   std::uint64_t new_id, mono_time now) {
    if (!this->share.can_lend(borrower)) {
        return std::nullopt;
    }
    double moved = 0;
    if (this->share.in_use()) {
        // Outstanding batches that need this share's room may still be spent.
        if (!this->pool.can_move_share()) {
            return std::nullopt;
        }
        moved = this->pool.move_share();
    }
    std::uint64_t id = this->share.lend(borrower, new_id, now + this->options.loan_duration);
    return messages::loan{.workspace = this->workspace, .id = id, .weight = 1, .tokens = moved};
}

void workspace_home::on_loan(const std::string& lender, std::uint64_t round, mono_duration duration,
                             const messages::loan& loan, mono_time now) {
    auto outcome = this->borrowed.accept(lender, round, loan.id, duration, now);
    if (outcome == borrowed_shares::acceptance::added) {
        this->pool.add_share(std::isfinite(loan.tokens) ? loan.tokens : 0);
    }
}

void workspace_home::on_release(const share_borrower& borrower,
                                const messages::loan_request::release& release) {
    if (!this->share.is_lent(borrower, release.loan)) {
        return;
    }
    this->share.start_use();
    this->pool.add_share(std::isfinite(release.tokens) ? release.tokens : 0);
}

std::optional<std::pair<std::string, messages::loan_request::release>>
workspace_home::release_one() {
    if (this->home || this->borrowed.active_count() == 0 || !this->pool.can_move_share()) {
        return std::nullopt;
    }
    auto given_up = this->borrowed.give_up_one();
    double moved = this->pool.move_share();
    return std::pair(given_up->first,
                     messages::loan_request::release{
                         .workspace = this->workspace, .loan = given_up->second, .tokens = moved});
}

}  // namespace trefoil::admission
