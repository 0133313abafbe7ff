// Implements the concurrent limiter: finds the shard of a workspace, and combines the loan requests
// of all workspaces into one message per lender.

#include "admission/rate_limiter.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace trefoil::admission {

namespace {

mono_time share_start(const limit_options& options, mono_time now) {
    return options.faults.start_active ? now : now + options.loan_duration;
}

}  // namespace

rate_limiter::rate_limiter(const limit_options& settings, mono_time now)
    : options(settings), usable_from(share_start(settings, now)), rounds(settings.incarnation) {}

rate_limiter::shard& rate_limiter::shard_of(std::string_view workspace) {
    return this->shards[checksum64(workspace) % shard_count];
}

template <class Action>
void rate_limiter::with_workspace(std::string_view workspace, Action action) {
    shard& owner = this->shard_of(workspace);
    absl::MutexLock lock(&owner.mutex);
    auto found = owner.entries.find(workspace);
    if (found != owner.entries.end()) {
        action(found->second);
    }
}

admit_result rate_limiter::try_admit(std::string_view workspace, std::uint64_t call, mono_time now,
                                     limiter_output& out) {
    admit_result result = admit_result::refused;
    this->with_workspace(workspace, [&](entry& item) {
        if (!item.removed) {
            result = item.limiter->try_admit(call, now, out);
        }
    });
    return result;
}

void rate_limiter::on_message(const std::string& from, const messages::peer_message& message,
                              mono_time now, limiter_output& out) {
    if (auto* request = std::get_if<messages::loan_request>(&message)) {
        this->handle(from, *request, now, out);
    } else if (auto* loans = std::get_if<messages::loan_grant>(&message)) {
        this->handle(from, *loans, now, out);
    } else if (auto* wanted = std::get_if<messages::token_request>(&message)) {
        this->handle(from, *wanted, now, out);
    } else if (auto* tokens = std::get_if<messages::token_grant>(&message)) {
        this->handle(from, *tokens, now, out);
    }
}

void rate_limiter::handle(const std::string& from, const messages::loan_request& request,
                          mono_time now, limiter_output& out) {
    bool ignore_restart = this->options.faults.ignore_borrower_restart;
    share_borrower borrower{.instance = from,
                            .incarnation = ignore_restart ? 0 : request.incarnation};
    for (const auto& release : request.releases) {
        this->with_workspace(release.workspace, [&](entry& item) {
            item.limiter->on_release(borrower, release, now, out);
        });
    }
    messages::loan_grant grant;
    grant.round = request.round;
    for (const std::string& workspace : request.workspaces) {
        this->with_workspace(workspace, [&](entry& item) {
            auto loan = item.limiter->on_loan_request(borrower, now);
            if (loan.has_value()) {
                grant.loans.push_back(std::move(*loan));
            }
        });
    }
    if (grant.loans.empty()) {
        return;
    }
    auto duration =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->options.loan_duration);
    grant.duration_ms = duration.count();
    out.messages.push_back({from, std::move(grant)});
}

void rate_limiter::handle(const std::string& from, const messages::loan_grant& grant, mono_time now,
                          limiter_output& out) {
    auto longest =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->options.loan_duration);
    auto duration =
        std::chrono::milliseconds(std::clamp<std::int64_t>(grant.duration_ms, 0, longest.count()));
    for (const messages::loan& loan : grant.loans) {
        this->with_workspace(loan.workspace, [&](entry& item) {
            item.limiter->on_loan(from, grant.round, duration, loan, now, out);
        });
    }
}

void rate_limiter::handle(const std::string& from, const messages::token_request& request,
                          mono_time now, limiter_output& out) {
    this->with_workspace(request.workspace, [&](entry& item) {
        item.limiter->on_token_request(from, request, now, out);
    });
}

void rate_limiter::handle(const std::string& from, const messages::token_grant& grant,
                          mono_time now, limiter_output& out) {
    this->with_workspace(grant.workspace,
                         [&](entry& item) { item.limiter->on_token_grant(from, grant, now, out); });
}

void rate_limiter::tick(mono_time now, limiter_output& out) {
    this->apply_pending_shares(now);
    loan_requests requests;
    for (shard& each : this->shards) {
        absl::MutexLock lock(&each.mutex);
        for (auto& [workspace, item] : each.entries) {
            item.limiter->tick(now, out);
        }
        this->collect_loan_requests(each, now, requests);
        std::erase_if(each.entries, [&](const auto& item) {
            // A removed workspace is kept until no loan of it can be in use, because a workspace
            // that is new to this process starts with a usable share.
            return item.second.removed &&
                   now >= item.second.removed_at + 2 * this->options.loan_duration;
        });
    }
    for (auto& [lender, request] : requests) {
        out.messages.push_back({lender, std::move(request)});
    }
}

void rate_limiter::collect_loan_requests(shard& each, mono_time now, loan_requests& requests) {
    auto request_to = [&](const std::string& lender) -> messages::loan_request& {
        auto [found, added] = requests.try_emplace(lender);
        if (added) {
            found->second.round = this->rounds.next();
            found->second.incarnation = this->options.incarnation;
        }
        return found->second;
    };
    for (auto& [workspace, item] : each.entries) {
        workspace_home& home = item.limiter->home();
        while (auto release = home.release_one()) {
            request_to(release->first).releases.push_back(std::move(release->second));
        }
        if (!home.is_home() || item.removed || home.loans().next_due() > now) {
            continue;
        }
        for (const std::string& lender : home.loans().lender_names()) {
            if (home.loans().is_due(lender, now)) {
                messages::loan_request& request = request_to(lender);
                request.workspaces.push_back(workspace);
                home.loans().record_request(lender, request.round, now);
            }
        }
    }
}

void rate_limiter::set_members(const std::string& self, const std::vector<std::string>& live) {
    absl::MutexLock settings_lock(&this->settings_mutex);
    this->members = {.self = self, .live = live};
    for (shard& each : this->shards) {
        absl::MutexLock lock(&each.mutex);
        for (auto& [workspace, item] : each.entries) {
            this->assign_home(*item.limiter, workspace, this->members);
        }
    }
}

void rate_limiter::assign_home(workspace_limiter& limiter, const std::string& workspace,
                               const member_view& view) {
    auto home = rendezvous_highest("workspace/" + workspace, view.live);
    limiter.set_home(view.self, home.value_or(""), view.live);
}

void rate_limiter::set_limits(const std::vector<workspace_limit>& limits, int max_instances,
                              mono_time now) {
    absl::MutexLock settings_lock(&this->settings_mutex);
    int shares = this->change_shares(std::max(1, max_instances), now);
    for (const workspace_limit& limit : limits) {
        this->apply_limit(limit, shares, now);
    }
    this->remove_unlisted(limits, shares, now);
}

int rate_limiter::change_shares(int max_instances, mono_time now) {
    this->pending.reset();
    if (this->shares_in_force == 0 || max_instances >= this->shares_in_force) {
        this->shares_in_force = max_instances;
    } else {
        this->pending = {.shares = max_instances, .due = now + 2 * this->options.loan_duration};
    }
    return this->shares_in_force;
}

void rate_limiter::apply_limit(const workspace_limit& limit, int shares, mono_time now) {
    shard& owner = this->shard_of(limit.workspace);
    absl::MutexLock lock(&owner.mutex);
    entry& item = owner.entries[limit.workspace];
    if (item.limiter == nullptr) {
        item.limiter = std::make_unique<workspace_limiter>(this->options, limit.workspace,
                                                           this->rounds, now, this->usable_from);
        this->assign_home(*item.limiter, limit.workspace, this->members);
    }
    item.limit = limit;
    item.removed = false;
    item.limiter->set_limit(limit, shares, now);
}

void rate_limiter::remove_unlisted(const std::vector<workspace_limit>& limits, int shares,
                                   mono_time now) {
    std::vector<std::string_view> names;
    names.reserve(limits.size());
    for (const workspace_limit& limit : limits) {
        names.push_back(limit.workspace);
    }
    std::sort(names.begin(), names.end());
    for (shard& each : this->shards) {
        absl::MutexLock lock(&each.mutex);
        for (auto& [workspace, item] : each.entries) {
            bool listed = std::binary_search(names.begin(), names.end(), workspace);
            if (listed || item.removed) {
                continue;
            }
            item.removed = true;
            item.removed_at = now;
            item.limit = {.workspace = workspace};
            item.limiter->set_limit(item.limit, shares, now);
        }
    }
}

void rate_limiter::apply_pending_shares(mono_time now) {
    absl::MutexLock settings_lock(&this->settings_mutex);
    if (!this->pending.has_value() || this->pending->due > now) {
        return;
    }
    this->shares_in_force = this->pending->shares;
    this->pending.reset();
    for (shard& each : this->shards) {
        absl::MutexLock lock(&each.mutex);
        for (auto& [workspace, item] : each.entries) {
            item.limiter->set_limit(item.limit, this->shares_in_force, now);
        }
    }
}

std::optional<rate_limiter::pool_state> rate_limiter::inspect(std::string_view workspace) {
    std::optional<pool_state> state;
    this->with_workspace(workspace, [&](entry& item) {
        const token_pool& pool = item.limiter->home().tokens();
        state = pool_state{.shares = pool.share_count(),
                           .tokens = pool.whole_tokens(),
                           .outstanding = pool.outstanding(),
                           .is_home = item.limiter->home().is_home()};
    });
    return state;
}

}  // namespace trefoil::admission
