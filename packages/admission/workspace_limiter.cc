// Implements the limit of one workspace at one daemon.

#include "admission/workspace_limiter.h"

#include <algorithm>

namespace trefoil::admission {

namespace {

constexpr std::size_t max_waiting_calls = 1024;

}  // namespace

workspace_limiter::workspace_limiter(const limit_options& settings, const std::string& name,
                                     round_source& numbers, mono_time now, mono_time usable_from)
    : options(settings),
      workspace(name),
      rounds(numbers),
      local_tokens(settings, name, now, usable_from),
      holder(settings, name),
      latest(now) {}

void workspace_limiter::set_limit(const workspace_limit& limit, int shares, mono_time now) {
    this->advance(now);
    this->local_tokens.set_share(limit.rate / shares, limit.burst / shares);
    this->holder.set_limit(limit.rate, limit.burst, shares);
}

void workspace_limiter::set_home(const std::string& self, const std::string& home,
                                 const std::vector<std::string>& members) {
    this->home_instance = home;
    bool is_home = home == self;
    this->remote_home = is_home ? "" : home;
    std::vector<std::string> lenders;
    if (is_home) {
        lenders = members;
        std::erase(lenders, self);
    }
    this->local_tokens.set_home(is_home, lenders);
}

mono_time workspace_limiter::advance(mono_time time) {
    this->latest = std::max(this->latest, time);
    this->local_tokens.advance(this->latest);
    return this->latest;
}

bool workspace_limiter::take_token(mono_time now) {
    return this->holder.take(now) || this->local_tokens.take();
}

admit_result workspace_limiter::try_admit(std::uint64_t call, mono_time time, limiter_output& out) {
    mono_time now = this->advance(time);
    this->holder.count_call();
    if (this->local_tokens.has_pending_requests()) {
        this->local_tokens.serve_pending(this->holder.waiting_count(), now, out);
    }
    if (this->take_token(now)) {
        if (this->holder.needs_refill() && !this->remote_home.empty()) {
            this->holder.send_requests(this->remote_home, now, this->rounds, out);
        }
        return admit_result::admitted;
    }
    std::size_t waiting = this->holder.waiting_count();
    bool may_wait = this->remote_home.empty() ? this->local_tokens.should_wait(waiting)
                                              : this->holder.may_get_token(now);
    if (!may_wait || waiting >= max_waiting_calls) {
        return admit_result::refused;
    }
    this->holder.add_waiting(call, now);
    this->process_waiting(now, out);
    return admit_result::wait;
}

void workspace_limiter::process_waiting(mono_time now, limiter_output& out) {
    this->holder.refuse_expired(now, out);
    this->local_tokens.serve_pending(this->holder.waiting_count(), now, out);
    while (this->holder.waiting_count() > 0 && this->take_token(now)) {
        this->holder.admit_first(out);
    }
    this->holder.send_requests(this->remote_home, now, this->rounds, out);
}

void workspace_limiter::on_token_request(const std::string& from,
                                         const messages::token_request& request, mono_time time,
                                         limiter_output& out) {
    mono_time now = this->advance(time);
    this->local_tokens.on_token_request(from, request, now, out);
    this->process_waiting(now, out);
}

void workspace_limiter::on_token_grant(const std::string& from, const messages::token_grant& grant,
                                       mono_time time, limiter_output& out) {
    mono_time now = this->advance(time);
    if (grant.recall) {
        this->holder.on_recall(from, now, this->rounds, out);
        return;
    }
    this->holder.refuse_expired(now, out);
    this->holder.on_grant(from, grant, now, out);
    this->process_waiting(now, out);
}

std::optional<messages::loan> workspace_limiter::on_loan_request(const share_borrower& from,
                                                                 mono_time time) {
    mono_time now = this->advance(time);
    if (from.instance != this->home_instance) {
        return std::nullopt;
    }
    return this->local_tokens.lend(from, this->rounds.next(), now);
}

void workspace_limiter::on_release(const share_borrower& from,
                                   const messages::loan_request::release& release, mono_time time,
                                   limiter_output& out) {
    mono_time now = this->advance(time);
    this->local_tokens.on_release(from, release);
    this->process_waiting(now, out);
}

void workspace_limiter::on_loan(const std::string& from, std::uint64_t round,
                                mono_duration duration, const messages::loan& loan, mono_time time,
                                limiter_output& out) {
    mono_time now = this->advance(time);
    this->local_tokens.on_loan(from, round, duration, loan, now);
    this->process_waiting(now, out);
}

void workspace_limiter::tick(mono_time time, limiter_output& out) {
    mono_time now = this->advance(time);
    this->holder.update_demand(now);
    this->process_waiting(now, out);
}

}  // namespace trefoil::admission
