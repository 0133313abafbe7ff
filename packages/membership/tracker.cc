// Implements the states of instances.

#include "membership/tracker.h"

#include <algorithm>
#include <utility>

namespace trefoil::membership {

namespace {

// Maximum age of the contact times in a view. A view with 1,400 members is rebuilt at this interval
// unless a state changes.
constexpr std::chrono::milliseconds view_lifetime{500};

bool same_states(const std::vector<member>& left, const std::vector<member>& right) {
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](const member& a, const member& b) {
            return a.record == b.record && a.state == b.state && a.incarnation == b.incarnation;
        });
}

}  // namespace

tracker::tracker(tracker_options limits)
    : options(limits),
      list(std::make_shared<const instance_list>(0, std::vector<instance_record>())),
      latest(
          std::make_shared<const view>(this->list, std::vector<member>(), std::vector<member>())) {}

void tracker::adopt(mono_time now, std::shared_ptr<const instance_list> next) {
    if (next == nullptr || next->revision() <= this->list->revision()) {
        return;
    }
    for (auto& [id, each] : this->entries) {
        each->listed = false;
    }
    this->in_list_order.clear();
    this->in_list_order.reserve(next->records().size());
    for (const instance_record& record : next->records()) {
        std::unique_ptr<entry>& stored = this->entries[record.id];
        if (stored == nullptr) {
            stored = std::make_unique<entry>();
        }
        if (!this->list->index_of(record.id).has_value()) {
            stored->known_since = now;
        }
        stored->listed = true;
        // The record shares ownership of the list, so it is not copied.
        stored->record = std::shared_ptr<const instance_record>(next, &record);
        this->in_list_order.push_back(stored.get());
    }
    // An unlisted entry must not keep the whole previous list alive.
    for (auto& [id, each] : this->entries) {
        if (!each->listed) {
            each->record = std::make_shared<const instance_record>(*each->record);
        }
    }
    this->list = std::move(next);
}

bool tracker::record_contact(mono_time at, const instance_record& record,
                             std::uint64_t incarnation) {
    std::unique_ptr<entry>& stored = this->entries[record.id];
    if (stored == nullptr) {
        stored = std::make_unique<entry>();
        stored->known_since = at;
        stored->record = std::make_shared<const instance_record>(record);
    }
    if (incarnation < stored->incarnation) {
        return false;
    }
    if (incarnation > stored->incarnation) {
        stored->incarnation = incarnation;
        stored->leaving = false;
    }
    if (!stored->listed && *stored->record != record) {
        stored->record = std::make_shared<const instance_record>(record);
    }
    stored->direct_contact = std::max(stored->direct_contact.value_or(at), at);
    return true;
}

void tracker::record_leaving(std::string_view id, std::uint64_t incarnation, bool flag) {
    auto found = this->entries.find(std::string(id));
    if (found != this->entries.end() && found->second->incarnation == incarnation) {
        found->second->leaving = flag;
    }
}

void tracker::record_reported_contacts(std::uint64_t list_revision,
                                       const std::vector<mono_time>& times) {
    if (list_revision != this->list->revision() || times.size() != this->in_list_order.size()) {
        return;
    }
    for (std::size_t i = 0; i < times.size(); ++i) {
        entry& target = *this->in_list_order[i];
        if (times[i] != mono_time::min() &&
            (!target.reported_contact.has_value() || times[i] > *target.reported_contact)) {
            target.reported_contact = times[i];
        }
    }
}

instance_state tracker::state_of(const entry& source, mono_time now) const {
    // Before the first contact, the time at which the entry was listed counts as reported contact.
    mono_time direct = source.direct_contact.value_or(mono_time::min());
    mono_time reported = source.reported_contact.value_or(mono_time::min());
    if (source.listed) {
        reported = std::max(reported, source.known_since);
    }
    bool in_contact = direct >= now - this->options.suspect_after ||
                      (source.listed && reported >= now - this->options.suspect_reported_after);
    bool gone = std::max(direct, reported) < now - this->options.gone_after;
    if (gone || (!source.listed && !in_contact)) {
        return instance_state::gone;
    }
    if (!in_contact) {
        return instance_state::suspected;
    }
    // The record of an unlisted entry may be from the last list that named it. If that list said
    // leaving, no new work is sent to the instance.
    bool leaving = source.leaving || source.record->state == listed_state::leaving;
    return leaving ? instance_state::leaving : instance_state::live;
}

std::optional<mono_time> tracker::last_contact(const entry& source) {
    if (!source.direct_contact.has_value() || !source.reported_contact.has_value()) {
        return source.direct_contact.has_value() ? source.direct_contact : source.reported_contact;
    }
    return std::max(*source.direct_contact, *source.reported_contact);
}

member tracker::make_member(const entry& source, mono_time now) const {
    return member{.record = source.record,
                  .state = this->state_of(source, now),
                  .listed = source.listed,
                  .incarnation = source.incarnation,
                  .last_contact = last_contact(source)};
}

void tracker::remove_expired(mono_time now) {
    absl::erase_if(this->entries, [&](const auto& item) {
        const entry& each = *item.second;
        mono_time last = last_contact(each).value_or(each.known_since);
        return !each.listed && now - last > this->options.forget_after;
    });
}

std::shared_ptr<const view> tracker::refresh(mono_time now) {
    this->remove_expired(now);
    std::vector<member> listed;
    listed.reserve(this->in_list_order.size());
    for (const entry* each : this->in_list_order) {
        listed.push_back(this->make_member(*each, now));
    }
    std::vector<member> unlisted;
    if (this->entries.size() > this->in_list_order.size()) {
        for (const auto& [id, each] : this->entries) {
            if (!each->listed) {
                unlisted.push_back(this->make_member(*each, now));
            }
        }
        std::sort(unlisted.begin(), unlisted.end(),
                  [](const member& a, const member& b) { return a.record->id < b.record->id; });
    }
    bool fresh = this->latest->list() == this->list && now - this->latest_at < view_lifetime;
    if (fresh && !this->states_differ(listed, unlisted)) {
        return this->latest;
    }
    this->latest = std::make_shared<const view>(this->list, std::move(listed), std::move(unlisted));
    this->latest_at = now;
    return this->latest;
}

bool tracker::states_differ(const std::vector<member>& listed,
                            const std::vector<member>& unlisted) const {
    return !same_states(this->latest->listed(), listed) ||
           !same_states(this->latest->unlisted(), unlisted);
}

}  // namespace trefoil::membership
