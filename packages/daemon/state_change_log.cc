// Implements the logging of state changes.

#include "daemon/state_change_log.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "base/log.h"

namespace trefoil::daemon {

namespace {

constexpr std::string_view absent = "absent";

std::string whole_ms(mono_duration time) {
    return fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string_view state_of(const membership::member* member) {
    return member != nullptr && member->listed ? membership::to_string(member->state) : absent;
}

std::string_view name_of(gate::upstream_availability availability) {
    switch (availability) {
        case gate::upstream_availability::available:
            return "available";
        case gate::upstream_availability::leaving:
            return "leaving";
        case gate::upstream_availability::taken_out:
            return "taken_out";
    }
    return "unknown";
}

member_change change_of(const membership::member& member, std::string_view from,
                        std::string_view to) {
    return {.instance = member.record->id,
            .service = member.record->service,
            .from = from,
            .to = to,
            .last_contact = member.last_contact};
}

}  // namespace

std::vector<member_change> member_changes(const membership::view& before,
                                          const membership::view& after) {
    std::vector<member_change> changes;
    for (const membership::member& each : after.listed()) {
        std::string_view from = state_of(before.find(each.record->id));
        std::string_view to = state_of(&each);
        if (from != to) {
            changes.push_back(change_of(each, from, to));
        }
    }
    for (const membership::member& each : before.listed()) {
        if (state_of(after.find(each.record->id)) == absent) {
            changes.push_back(change_of(each, state_of(&each), absent));
        }
    }
    return changes;
}

void log_member_changes(const membership::view& before, const membership::view& after,
                        mono_time now) {
    std::vector<member_change> changes = member_changes(before, after);
    std::string revision = fmt::to_string(after.list_revision());
    if (changes.size() > max_member_lines) {
        log(log_level::info, "members_changed",
            {{"count", fmt::to_string(changes.size())}, {"list_revision", revision}});
        return;
    }
    for (const member_change& each : changes) {
        bool heard = each.last_contact.has_value();
        log(log_level::info, "member_changed",
            {{"instance", each.instance},
             {"service", each.service},
             {"from", std::string(each.from)},
             {"to", std::string(each.to)},
             {"list_revision", revision},
             {"contact_age_ms", heard ? whole_ms(now - *each.last_contact) : "none"}});
    }
}

void state_change_log::update_upstream(const upstream_status& status,
                                       const upstream_calls& before) {
    if (std::exchange(this->upstream_known, true) && status == this->upstream) {
        return;
    }
    this->upstream = status;
    log(log_level::info, "upstream_changed",
        {{"upstream", status.id.empty() ? "none" : status.id},
         {"availability", std::string(name_of(status.availability))},
         {"slots", fmt::to_string(status.slots)},
         {"cold_left_ms", fmt::to_string(status.cold_left_ms)},
         {"started", fmt::to_string(before.started)},
         {"running", fmt::to_string(before.running)},
         {"queued", fmt::to_string(before.queued)}});
}

void state_change_log::update_confirmation(bool is_confirmed,
                                           const std::optional<mono_duration>& age) {
    if (std::exchange(this->confirmed, is_confirmed) == is_confirmed) {
        return;
    }
    std::string text = age.has_value() ? whole_ms(*age) : "none";
    if (is_confirmed) {
        bool again = std::exchange(this->confirmed_before, true);
        log(log_level::info, again ? "confirmation_regained" : "confirmed_first",
            {{"age_ms", text}});
    } else {
        log(log_level::warning, "confirmation_lost", {{"age_ms", text}});
    }
}

void state_change_log::update_ready(bool is_ready, const std::string& waiting_for) {
    if (std::exchange(this->ready, is_ready) == is_ready) {
        return;
    }
    if (is_ready) {
        log(log_level::info, "daemon_ready");
    } else {
        log(log_level::warning, "daemon_not_ready", {{"waiting_for", waiting_for}});
    }
}

}  // namespace trefoil::daemon
