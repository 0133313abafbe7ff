// Implements the ingress's side of batches.

#include "admission/token_holder.h"

#include <algorithm>
#include <cmath>

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;

constexpr double longest_ahead_seconds = 0.2;
// All daemons together hold at most this part of the burst ahead of demand when the estimates fit.
constexpr double ahead_part_of_burst = 0.25;
// Below this demand a token held ahead would mostly expire unused.
constexpr double least_demand_ahead = 0.5;
constexpr double rising_smoothing = 0.3;
constexpr double falling_smoothing_plenty = 0.05;
constexpr double falling_smoothing_scarce = 0.3;
// With at least this much burst per daemon, one token held ahead at each daemon leaves enough.
constexpr double plenty_burst_per_share = 1.5;
constexpr mono_duration measure_interval = milliseconds(100);
// Part of a batch's life after which unspent tokens go back.
constexpr double return_after_part = 0.8;
constexpr double shortest_ahead_backoff_seconds = 0.05;
constexpr double longest_ahead_backoff_seconds = 0.8;
// Until the home knows that a token was spent, it does not accrue another one in its place. All
// daemons together leave at most this part of the burst unreported.
constexpr double unreported_part_of_burst = 0.125;
constexpr double shortest_settle_seconds = 0.01;
constexpr double longest_settle_seconds = 0.2;
constexpr mono_duration short_memory = milliseconds(100);
constexpr double short_wait_part = 0.5;
constexpr mono_duration longest_exhausted = milliseconds(50);
constexpr mono_duration shortest_exhausted = milliseconds(5);

}  // namespace

void token_holder::set_limit(double new_rate, double new_burst, int new_shares) {
    this->rate = new_rate;
    this->burst = new_burst;
    this->shares = new_shares;
}

bool token_holder::usable(const batch& item, mono_time now) const {
    return now < item.usable_until || this->options.faults.ignore_batch_expiry;
}

bool token_holder::take(mono_time now) {
    this->drop_expired(now);
    // A batch that is used up stays until it is settled, so the first one may be empty.
    for (batch& each : this->batches) {
        if (each.left >= 1) {
            each.left -= 1;
            each.spent += 1;
            this->held -= 1;
            return true;
        }
    }
    return false;
}

void token_holder::drop_expired(mono_time now) {
    while (!this->batches.empty() && !this->usable(this->batches.front(), now)) {
        this->held -= this->batches.front().left;
        this->batches.pop_front();
    }
}

void token_holder::add_waiting(std::uint64_t call, mono_time now) {
    this->waiting.push_back({.call = call, .deadline = now + this->options.max_wait});
}

bool token_holder::hopeful(mono_time now) const {
    if (now < this->exhausted_until) {
        return false;
    }
    if (now >= this->short_until) {
        return true;
    }
    // More calls than the fleet accrues tokens in the wait bound would mostly wait in vain.
    double seconds = std::chrono::duration<double>(this->options.max_wait).count();
    double most = std::max(1.0, this->rate * seconds * short_wait_part);
    return static_cast<double>(this->waiting.size()) < most;
}

void token_holder::refuse_late(mono_time now, limiter_output& out) {
    while (!this->waiting.empty() && this->waiting.front().deadline <= now) {
        this->refuse_waiting(1, out);
    }
}

void token_holder::refuse_waiting(double count, limiter_output& out) {
    for (; count >= 1 && !this->waiting.empty(); count -= 1) {
        out.decisions.push_back({.call = this->waiting.front().call, .admitted = false});
        this->waiting.pop_front();
    }
}

void token_holder::admit_first(limiter_output& out) {
    out.decisions.push_back({.call = this->waiting.front().call, .admitted = true});
    this->waiting.pop_front();
}

bool token_holder::on_grant(const std::string& from, const messages::token_grant& grant,
                            mono_time now, limiter_output& out) {
    auto found = std::find_if(this->open.begin(), this->open.end(), [&](const open_request& each) {
        return each.round == grant.round && each.home == from;
    });
    if (found == this->open.end()) {
        return false;
    }
    open_request request = *found;
    // A copy of this answer must not add the batch again.
    this->open.erase(found);
    double granted = std::isfinite(grant.tokens) ? std::max(0.0, std::floor(grant.tokens)) : 0;
    mono_duration life = std::min<mono_duration>(
        milliseconds(std::max<std::int64_t>(0, std::min<std::int64_t>(grant.life_ms, 60000))),
        this->options.batch_lifetime);
    mono_time usable_until = request.asked + safe_part(this->options, life);
    bool in_time = now < usable_until || this->options.faults.ignore_batch_expiry;
    if (granted >= 1 && grant.batch != 0 && in_time) {
        auto return_after = std::chrono::duration_cast<mono_duration>(life * return_after_part);
        batch item{.id = grant.batch,
                   .home = from,
                   .left = granted,
                   .return_at = request.asked + return_after,
                   .usable_until = usable_until};
        auto position = std::upper_bound(
            this->batches.begin(), this->batches.end(), item,
            [](const batch& a, const batch& b) { return a.usable_until < b.usable_until; });
        this->batches.insert(position, std::move(item));
        this->held += granted;
    }
    if (granted < request.now_count + request.ahead_count) {
        this->ahead_not_before = now + this->ahead_backoff();
    }
    if (granted < request.now_count) {
        this->short_until = now + short_memory;
    }
    if (granted < 1 && request.now_count >= 1 && !request.overdue) {
        this->refuse_waiting(request.now_count, out);
        auto one_token = std::chrono::duration_cast<mono_duration>(
            std::chrono::duration<double>(1 / std::max(this->rate, 1.0)));
        this->exhausted_until = now + std::clamp(one_token, shortest_exhausted, longest_exhausted);
    }
    return true;
}

void token_holder::return_unspent(batch& item) {
    this->held -= item.left;
    item.left = 0;
}

void token_holder::on_recall(const std::string& from, mono_time now, round_source& rounds,
                             limiter_output& out) {
    messages::token_request report;
    report.workspace = this->workspace;
    for (batch& each : this->batches) {
        if (each.home == from && now < each.usable_until) {
            double returned = each.left;
            this->return_unspent(each);
            each.reported = each.spent;
            report.settlements.push_back(
                {.batch = each.id, .spent = each.spent, .returned = returned});
        }
    }
    if (report.settlements.empty()) {
        return;
    }
    this->ahead_not_before = now + this->ahead_backoff();
    report.round = rounds.next();
    out.messages.push_back({from, std::move(report)});
    std::erase_if(this->batches, [](const batch& each) { return each.left < 1; });
}

// Demand that falls slowly keeps a token at daemons with rare calls. It goes back unused more
// often, but fewer calls wait for the home.
double token_holder::falling_smoothing() const {
    bool plenty = this->burst >= plenty_burst_per_share * this->shares;
    return plenty ? falling_smoothing_plenty : falling_smoothing_scarce;
}

void token_holder::measure(mono_time now) {
    mono_duration passed = now - this->measured;
    if (passed < measure_interval) {
        return;
    }
    double seconds = std::chrono::duration<double>(passed).count();
    double recent = static_cast<double>(this->calls) / seconds;
    double smoothing = recent > this->demand ? rising_smoothing : this->falling_smoothing();
    this->demand += smoothing * (recent - this->demand);
    this->calls = 0;
    this->measured = now;
    double horizon = longest_ahead_seconds;
    if (this->rate > 0) {
        horizon = std::min(horizon, ahead_part_of_burst * this->burst / this->rate);
    }
    double wanted = std::min(this->demand, this->rate) * horizon;
    bool active = this->demand >= least_demand_ahead;
    this->target = active ? std::max(1.0, std::ceil(wanted)) : 0;
    this->low_water = std::max(std::min(this->target, 1.0), this->target / 2);
}

void token_holder::drop_old(mono_time now) {
    this->drop_expired(now);
    for (open_request& each : this->open) {
        if (!each.overdue && now - each.asked >= this->options.max_wait) {
            each.overdue = true;
            this->exhausted_until = now + longest_exhausted;
        }
    }
    std::erase_if(this->open, [&](const open_request& each) {
        return now - each.asked >= this->options.batch_lifetime;
    });
}

double token_holder::wanted_now(mono_time now) const {
    double asked = 0;
    for (const open_request& each : this->open) {
        asked += each.overdue ? 0 : each.now_count;
    }
    if (now < this->exhausted_until) {
        return 0;
    }
    // While requests are open, the next one waits until it would double them, so that calls that
    // arrive together do not send a message each.
    double unmet = static_cast<double>(this->waiting.size()) - asked;
    return unmet >= std::max(1.0, asked) ? unmet : 0;
}

double token_holder::wanted_ahead(mono_time now) const {
    if (now < this->ahead_not_before || this->held >= this->low_water) {
        return 0;
    }
    for (const open_request& each : this->open) {
        if (each.ahead_count >= 1 && !each.overdue) {
            return 0;
        }
    }
    return std::max(0.0, std::floor(this->target - this->held));
}

bool token_holder::settlement_due(const std::string& home, mono_time now) const {
    return std::any_of(this->batches.begin(), this->batches.end(), [&](const batch& each) {
        return each.home == home &&
               (each.spent > each.reported || (each.left >= 1 && now >= each.return_at));
    });
}

std::vector<messages::token_request::settlement> token_holder::settle(const std::string& home,
                                                                      mono_time now) {
    std::vector<messages::token_request::settlement> reports;
    for (batch& each : this->batches) {
        bool old = each.left >= 1 && now >= each.return_at;
        if (each.home != home || (!old && each.spent <= each.reported)) {
            continue;
        }
        double returned = old ? each.left : 0;
        if (old) {
            this->return_unspent(each);
        }
        each.reported = each.spent;
        reports.push_back({.batch = each.id, .spent = each.spent, .returned = returned});
    }
    std::erase_if(this->batches,
                  [](const batch& each) { return each.left < 1 && each.spent <= each.reported; });
    return reports;
}

void token_holder::settle_others(const std::string& home, mono_time now, round_source& rounds,
                                 limiter_output& out) {
    std::vector<std::string> others;
    for (const batch& each : this->batches) {
        if (each.home != home &&
            std::find(others.begin(), others.end(), each.home) == others.end()) {
            others.push_back(each.home);
        }
    }
    for (const std::string& other : others) {
        if (this->settlement_due(other, now)) {
            out.messages.push_back(
                {other, messages::token_request{.round = rounds.next(),
                                                .workspace = this->workspace,
                                                .settlements = this->settle(other, now)}});
        }
    }
}

// A home without tokens to spare is asked again after half the time between two calls.
mono_duration token_holder::ahead_backoff() const {
    double seconds = this->demand > 0 ? 0.5 / this->demand : longest_ahead_backoff_seconds;
    return std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(
        std::clamp(seconds, shortest_ahead_backoff_seconds, longest_ahead_backoff_seconds)));
}

mono_duration token_holder::settle_interval() const {
    double seconds = longest_settle_seconds;
    if (this->rate > 0) {
        seconds = std::min(seconds, unreported_part_of_burst * this->burst / this->rate);
    }
    return std::chrono::duration_cast<mono_duration>(
        std::chrono::duration<double>(std::max(seconds, shortest_settle_seconds)));
}

void token_holder::request(const std::string& home, mono_time now, round_source& rounds,
                           limiter_output& out) {
    this->drop_old(now);
    if (now >= this->settle_not_before) {
        this->settle_others(home, now, rounds, out);
    }
    if (home.empty()) {
        return;
    }
    bool settle_now = now >= this->settle_not_before && this->settlement_due(home, now);
    std::vector<messages::token_request::settlement> reports;
    if (settle_now) {
        reports = this->settle(home, now);
    }
    double need_now = this->wanted_now(now);
    double need_ahead = this->wanted_ahead(now);
    if (need_now < 1 && need_ahead < 1 && !settle_now) {
        return;
    }
    if (!settle_now) {
        reports = this->settle(home, now);
    }
    messages::token_request message{.round = rounds.next(),
                                    .workspace = this->workspace,
                                    .wanted_now = need_now,
                                    .wanted_ahead = need_ahead,
                                    .settlements = std::move(reports)};
    if (need_now >= 1 || need_ahead >= 1) {
        this->open.push_back({.round = message.round,
                              .home = home,
                              .asked = now,
                              .now_count = need_now,
                              .ahead_count = need_ahead});
    }
    this->settle_not_before = now + this->settle_interval();
    out.messages.push_back({home, std::move(message)});
}

}  // namespace trefoil::admission
