// Implements the tokens of one workspace at an ingress.

#include "admission/token_holder.h"

#include <algorithm>
#include <cmath>

namespace trefoil::admission {

namespace {

using std::chrono::milliseconds;

constexpr double max_prefetch_seconds = 0.2;
// All daemons together prefetch at most this fraction of the burst, if the demand estimates are
// right.
constexpr double max_prefetch_fraction_of_burst = 0.25;
// Calls per second below which most prefetched tokens would expire unused.
constexpr double min_prefetch_demand = 0.5;
// Weights of the latest measurement in the smoothed demand.
constexpr double rising_smoothing = 0.3;
constexpr double falling_smoothing_ample_burst = 0.05;
constexpr double falling_smoothing_tight_burst = 0.3;
// With at least this much burst per daemon, one prefetched token at each daemon leaves enough
// tokens.
constexpr double ample_burst_per_share = 1.5;
constexpr mono_duration measure_interval = milliseconds(100);
// Fraction of a batch's lifetime after which unspent tokens are returned.
constexpr double return_after_fraction = 0.8;
constexpr double min_prefetch_backoff_seconds = 0.05;
constexpr double max_prefetch_backoff_seconds = 0.8;
// The home accrues no new token in place of a spent one before the settlement arrives. All daemons
// together leave at most this fraction of the burst unreported.
constexpr double max_unreported_fraction_of_burst = 0.125;
constexpr double min_settle_interval_seconds = 0.01;
constexpr double max_settle_interval_seconds = 0.2;
constexpr mono_duration shortage_hold_time = milliseconds(100);
constexpr double shortage_wait_fraction = 0.5;
constexpr mono_duration max_exhausted_time = milliseconds(50);
constexpr mono_duration min_exhausted_time = milliseconds(5);

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
    // An empty batch stays until it is settled, so the first one may have no tokens.
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

bool token_holder::may_get_token(mono_time now) const {
    if (now < this->exhausted_until) {
        return false;
    }
    if (now >= this->shortage_until) {
        return true;
    }
    // Most calls beyond a fraction of the tokens that the fleet accrues within `max_wait` would
    // wait in vain.
    double seconds = std::chrono::duration<double>(this->options.max_wait).count();
    double max_waiting = std::max(1.0, this->rate * seconds * shortage_wait_fraction);
    return static_cast<double>(this->waiting.size()) < max_waiting;
}

void token_holder::refuse_expired(mono_time now, limiter_output& out) {
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
    auto found = std::find_if(
        this->open_requests.begin(), this->open_requests.end(),
        [&](const open_request& each) { return each.round == grant.round && each.home == from; });
    if (found == this->open_requests.end()) {
        return false;
    }
    open_request request = *found;
    // Removed first, so that a duplicate of the answer does not add the batch again.
    this->open_requests.erase(found);
    double granted = std::isfinite(grant.tokens) ? std::max(0.0, std::floor(grant.tokens)) : 0;
    mono_duration lifetime = std::min<mono_duration>(
        milliseconds(std::max<std::int64_t>(0, std::min<std::int64_t>(grant.lifetime_ms, 60000))),
        this->options.batch_lifetime);
    mono_time usable_until = request.requested_at + drift_safe_duration(this->options, lifetime);
    bool in_time = now < usable_until || this->options.faults.ignore_batch_expiry;
    if (granted >= 1 && grant.batch != 0 && in_time) {
        auto return_after =
            std::chrono::duration_cast<mono_duration>(lifetime * return_after_fraction);
        batch item{.id = grant.batch,
                   .home = from,
                   .left = granted,
                   .return_at = request.requested_at + return_after,
                   .usable_until = usable_until};
        auto position = std::upper_bound(
            this->batches.begin(), this->batches.end(), item,
            [](const batch& a, const batch& b) { return a.usable_until < b.usable_until; });
        this->batches.insert(position, std::move(item));
        this->held += granted;
    }
    if (granted < request.needed_count + request.prefetch_count) {
        this->prefetch_not_before = now + this->prefetch_backoff();
    }
    if (granted < request.needed_count) {
        this->shortage_until = now + shortage_hold_time;
    }
    if (granted < 1 && request.needed_count >= 1 && !request.overdue) {
        this->refuse_waiting(request.needed_count, out);
        auto one_token = std::chrono::duration_cast<mono_duration>(
            std::chrono::duration<double>(1 / std::max(this->rate, 1.0)));
        this->exhausted_until = now + std::clamp(one_token, min_exhausted_time, max_exhausted_time);
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
    this->prefetch_not_before = now + this->prefetch_backoff();
    report.round = rounds.next();
    out.messages.push_back({from, std::move(report)});
    std::erase_if(this->batches, [](const batch& each) { return each.left < 1; });
}

// A slowly falling estimate keeps a token at daemons with rare calls. The token is returned unused
// more often, but fewer calls wait for the home.
double token_holder::falling_smoothing() const {
    bool ample_burst = this->burst >= ample_burst_per_share * this->shares;
    return ample_burst ? falling_smoothing_ample_burst : falling_smoothing_tight_burst;
}

void token_holder::update_demand(mono_time now) {
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
    double horizon = max_prefetch_seconds;
    if (this->rate > 0) {
        horizon = std::min(horizon, max_prefetch_fraction_of_burst * this->burst / this->rate);
    }
    double wanted = std::min(this->demand, this->rate) * horizon;
    bool active = this->demand >= min_prefetch_demand;
    this->target = active ? std::max(1.0, std::ceil(wanted)) : 0;
    this->low_water = std::max(std::min(this->target, 1.0), this->target / 2);
}

void token_holder::drop_stale(mono_time now) {
    this->drop_expired(now);
    for (open_request& each : this->open_requests) {
        if (!each.overdue && now - each.requested_at >= this->options.max_wait) {
            each.overdue = true;
            this->exhausted_until = now + max_exhausted_time;
        }
    }
    std::erase_if(this->open_requests, [&](const open_request& each) {
        return now - each.requested_at >= this->options.batch_lifetime;
    });
}

double token_holder::needed_tokens(mono_time now) const {
    double requested = 0;
    for (const open_request& each : this->open_requests) {
        requested += each.overdue ? 0 : each.needed_count;
    }
    if (now < this->exhausted_until) {
        return 0;
    }
    // While requests are open, another one is sent only if it at least doubles the number of
    // requested tokens, so that calls that arrive together do not send one message each.
    double unmet = static_cast<double>(this->waiting.size()) - requested;
    return unmet >= std::max(1.0, requested) ? unmet : 0;
}

double token_holder::prefetch_tokens(mono_time now) const {
    if (now < this->prefetch_not_before || this->held >= this->low_water) {
        return 0;
    }
    for (const open_request& each : this->open_requests) {
        if (each.prefetch_count >= 1 && !each.overdue) {
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
        bool return_due = each.left >= 1 && now >= each.return_at;
        if (each.home != home || (!return_due && each.spent <= each.reported)) {
            continue;
        }
        double returned = return_due ? each.left : 0;
        if (return_due) {
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

// After the home granted too few tokens, the next prefetch waits for half the mean time between two
// calls.
mono_duration token_holder::prefetch_backoff() const {
    double seconds = this->demand > 0 ? 0.5 / this->demand : max_prefetch_backoff_seconds;
    return std::chrono::duration_cast<mono_duration>(std::chrono::duration<double>(
        std::clamp(seconds, min_prefetch_backoff_seconds, max_prefetch_backoff_seconds)));
}

mono_duration token_holder::settle_interval() const {
    double seconds = max_settle_interval_seconds;
    if (this->rate > 0) {
        seconds = std::min(seconds, max_unreported_fraction_of_burst * this->burst / this->rate);
    }
    return std::chrono::duration_cast<mono_duration>(
        std::chrono::duration<double>(std::max(seconds, min_settle_interval_seconds)));
}

void token_holder::send_requests(const std::string& home, mono_time now, round_source& rounds,
                                 limiter_output& out) {
    this->drop_stale(now);
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
    double needed = this->needed_tokens(now);
    double prefetch = this->prefetch_tokens(now);
    if (needed < 1 && prefetch < 1 && !settle_now) {
        return;
    }
    if (!settle_now) {
        reports = this->settle(home, now);
    }
    messages::token_request message{.round = rounds.next(),
                                    .workspace = this->workspace,
                                    .wanted_now = needed,
                                    .wanted_prefetch = prefetch,
                                    .settlements = std::move(reports)};
    if (needed >= 1 || prefetch >= 1) {
        this->open_requests.push_back({.round = message.round,
                                       .home = home,
                                       .requested_at = now,
                                       .needed_count = needed,
                                       .prefetch_count = prefetch});
    }
    this->settle_not_before = now + this->settle_interval();
    out.messages.push_back({home, std::move(message)});
}

}  // namespace trefoil::admission
