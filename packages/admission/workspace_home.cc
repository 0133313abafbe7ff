// Implements the tokens of one workspace at one daemon.

#include "admission/workspace_home.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil::admission {

namespace {

// Fraction of `max_wait` for which a request waits at the home, so that the answer arrives before
// the ingress refuses the call.
constexpr double home_wait_fraction = 0.8;

// Fraction of the cap that is not granted ahead of demand, so that calls at other daemons find
// tokens without a recall.
constexpr double reserve_fraction = 0.25;

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
    mono_time share_start = this->share.is_active() ? mono_time::max() : this->share.usable_from();
    mono_time event =
        std::min({share_start, this->ledger.next_expiry(), this->borrowed.next_end()});
    if (event > now) {
        return false;
    }
    this->pool.accrue(event);
    // Batches are expired first: the tokens of one that expires together with its loan must not
    // count as outstanding when the cap is lowered.
    this->pool.settle(this->ledger.expire(event), 0);
    for (int ended = this->borrowed.expire(event); ended > 0; --ended) {
        this->pool.remove_share();
    }
    if (share_start <= event) {
        bool copied = this->options.faults.copy_loans && this->share.is_lent();
        this->share.activate();
        if (!copied) {
            this->pool.add_share(0);
        }
    }
    return true;
}

double workspace_home::expected_accrual() const {
    double seconds = std::chrono::duration<double>(this->options.max_wait).count();
    return this->pool.rate() * seconds * home_wait_fraction;
}

double workspace_home::backlog() const {
    double sum = 0;
    for (const pending_request& each : this->pending) {
        sum += each.count;
    }
    return sum;
}

bool workspace_home::should_wait(std::size_t waiting) const {
    double queued = this->backlog() + static_cast<double>(waiting);
    return queued + 1 <= this->expected_accrual() + this->ledger.recallable();
}

void workspace_home::serve_pending(std::size_t local_waiting, mono_time now, limiter_output& out) {
    while (!this->pending.empty()) {
        const pending_request& first = this->pending.front();
        double granted = std::min(first.count, this->pool.whole_tokens());
        if (granted < 1 && first.deadline > now) {
            break;
        }
        pending_request next = std::move(this->pending.front());
        this->pending.pop_front();
        this->reply(next.holder, next.round, granted, 0, now, out);
    }
    if (this->ledger.recallable() > 0 && this->pool.whole_tokens() < 1) {
        if (!this->pending.empty()) {
            this->recall(this->pending.front().holder, out);
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
    if (request.wanted_now <= 0 && request.wanted_prefetch <= 0) {
        return;
    }
    if (this->ledger.was_answered(from, request.round) || this->is_pending(from, request.round)) {
        return;
    }
    if (!this->home && this->borrowed.active_count() == 0) {
        out.messages.push_back(
            {from, messages::token_grant{
                       .round = request.round, .workspace = this->workspace, .is_home = false}});
        return;
    }
    this->serve_pending(0, now, out);
    double granted = std::min(request.wanted_now, this->pool.whole_tokens());
    bool waits = request.wanted_now >= 1 && granted < 1 &&
                 this->backlog() + 1 <= this->expected_accrual() + this->ledger.recallable();
    if (waits) {
        auto wait =
            std::chrono::duration_cast<mono_duration>(this->options.max_wait * home_wait_fraction);
        this->pending.push_back({.holder = from,
                                 .round = request.round,
                                 .count = request.wanted_now,
                                 .deadline = now + wait});
        this->serve_pending(0, now, out);
        return;
    }
    bool all_now = granted >= request.wanted_now;
    double prefetched =
        all_now ? this->grantable_prefetch(granted + request.wanted_prefetch) - granted : 0;
    this->reply(from, request.round, granted, std::max(0.0, prefetched), now, out);
}

double workspace_home::grantable_prefetch(double wanted) const {
    double reserve = this->pool.cap() * reserve_fraction;
    double free = this->pool.whole_tokens() - reserve;
    return this->home ? std::floor(std::clamp(free, 0.0, wanted)) : 0;
}

bool workspace_home::is_pending(const std::string& holder, std::uint64_t round) const {
    return std::any_of(
        this->pending.begin(), this->pending.end(),
        [&](const pending_request& each) { return each.round == round && each.holder == holder; });
}

void workspace_home::reply(const std::string& holder, std::uint64_t round, double needed_count,
                           double prefetch_count, mono_time now, limiter_output& out) {
    double count = std::floor(needed_count) + std::floor(prefetch_count);
    messages::token_grant grant{.round = round, .workspace = this->workspace};
    if (count >= 1) {
        this->pool.issue(count);
        grant.batch = this->ledger.add({.holder = holder,
                                        .round = round,
                                        .unsettled = count,
                                        .prefetched = std::floor(prefetch_count)},
                                       now);
        grant.tokens = count;
        grant.lifetime_ms =
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
    if (this->share.is_active()) {
        // Tokens of outstanding batches that need this share's part of the cap may still be spent.
        if (!this->pool.can_detach_share()) {
            return std::nullopt;
        }
        moved = this->pool.detach_share();
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
    if (!this->share.is_lent_to(borrower, release.loan)) {
        return;
    }
    this->share.activate();
    this->pool.add_share(std::isfinite(release.tokens) ? release.tokens : 0);
}

std::optional<std::pair<std::string, messages::loan_request::release>>
workspace_home::release_one() {
    if (this->home || this->borrowed.active_count() == 0 || !this->pool.can_detach_share()) {
        return std::nullopt;
    }
    auto dropped = this->borrowed.drop_one();
    double moved = this->pool.detach_share();
    return std::pair(dropped->first,
                     messages::loan_request::release{
                         .workspace = this->workspace, .loan = dropped->second, .tokens = moved});
}

}  // namespace trefoil::admission
