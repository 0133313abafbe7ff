// Implements the confirmation times and the encoding of age vectors.

#include "dissemination/confirmation.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace trefoil::dissemination {

namespace {

constexpr std::chrono::milliseconds age_unit{100};
constexpr std::uint8_t age_unknown = 255;

std::uint8_t encode_age(mono_time now, mono_time at) {
    if (at == unknown_time) {
        return age_unknown;
    }
    // Rounded up, so that an age does not shrink when it is passed on through several daemons.
    auto units = (now - at + age_unit - mono_duration(1)) / age_unit;
    return static_cast<std::uint8_t>(
        std::clamp<std::int64_t>(units, 0, static_cast<std::int64_t>(age_unknown)));
}

}  // namespace

confirmation::confirmation(std::string self_id, std::string self_site)
    : self(std::move(self_id)),
      site(std::move(self_site)),
      list(std::make_shared<const membership::instance_list>(
          0, std::vector<membership::instance_record>())) {
    this->confirmed.fill(unknown_time);
    this->exact_confirmed.fill(unknown_time);
}

void confirmation::set_list(std::shared_ptr<const membership::instance_list> next) {
    if (next == this->list) {
        return;
    }
    const auto& records = next->records();
    std::vector<mono_time> next_nothing_newer_at(records.size(), unknown_time);
    std::vector<mono_time> next_contact_at(records.size(), unknown_time);
    this->in_own_site.assign(records.size(), 0);
    for (std::size_t i = 0; i < records.size(); ++i) {
        this->in_own_site[i] = records[i].site == this->site ? 1 : 0;
        auto before = this->list->index_of(records[i].id);
        if (before.has_value()) {
            next_nothing_newer_at[i] = this->nothing_newer_at[*before];
            next_contact_at[i] = this->contact_at[*before];
        }
    }
    this->nothing_newer_at = std::move(next_nothing_newer_at);
    this->contact_at = std::move(next_contact_at);
    this->list = std::move(next);
    this->self_index = this->list->index_of(this->self);
    this->majority_outdated = true;
}

void confirmation::confirm(std::size_t document, mono_time at) {
    this->confirmed[document] = std::max(this->confirmed[document], at);
    this->exact_confirmed[document] = std::max(this->exact_confirmed[document], at);
}

void confirmation::record_new_content(std::size_t document) {
    this->exact_confirmed[document] = unknown_time;
}

void confirmation::record_nothing_newer(const std::string& peer, bool same_site,
                                        mono_time requested_at,
                                        const std::vector<std::uint8_t>& ages) {
    auto index = this->list->index_of(peer);
    if (index.has_value()) {
        this->nothing_newer_at[*index] = std::max(this->nothing_newer_at[*index], requested_at);
    }
    this->majority_outdated = true;
    if (ages.size() != this->nothing_newer_at.size()) {
        return;
    }
    for (std::size_t i = 0; i < ages.size(); ++i) {
        bool usable = ages[i] != age_unknown && (same_site || this->in_own_site[i] == 0);
        if (usable) {
            this->nothing_newer_at[i] =
                std::max(this->nothing_newer_at[i], requested_at - ages[i] * age_unit);
        }
    }
}

void confirmation::record_peer_contact(const std::string& peer, mono_time at,
                                       const std::vector<std::uint8_t>& ages) {
    auto index = this->list->index_of(peer);
    if (index.has_value()) {
        this->contact_at[*index] = std::max(this->contact_at[*index], at);
    }
    if (ages.size() != this->contact_at.size()) {
        return;
    }
    for (std::size_t i = 0; i < ages.size(); ++i) {
        if (ages[i] != age_unknown) {
            this->contact_at[i] = std::max(this->contact_at[i], at - ages[i] * age_unit);
        }
    }
}

mono_time confirmation::majority_of(mono_time now, bool own_site_only) {
    this->selection.clear();
    for (std::size_t i = 0; i < this->nothing_newer_at.size(); ++i) {
        if (!own_site_only || this->in_own_site[i] != 0) {
            this->selection.push_back(this->self_index == i ? now : this->nothing_newer_at[i]);
        }
    }
    if (this->selection.empty()) {
        return unknown_time;
    }
    // The k-th newest time, where k is the smallest majority.
    auto kth = this->selection.begin() + static_cast<std::ptrdiff_t>(this->selection.size() / 2);
    std::nth_element(this->selection.begin(), kth, this->selection.end(), std::greater<>());
    return *kth;
}

void confirmation::apply_majority(mono_time now) {
    // With a single listed instance, this daemon is the majority at any time.
    if (!this->majority_outdated && this->nothing_newer_at.size() != 1) {
        return;
    }
    this->majority_outdated = false;
    this->majority_time = this->majority_of(now, false);
    auto raise = [](mono_time& time, mono_time to) { time = std::max(time, to); };
    raise(this->confirmed[base_index], this->majority_time);
    raise(this->confirmed[list_index], this->majority_time);
    raise(this->confirmed[overlay_index], this->majority_of(now, true));
}

std::optional<mono_time> confirmation::confirmed_at() const {
    mono_time at = *std::min_element(this->confirmed.begin(), this->confirmed.end());
    return at == unknown_time ? std::nullopt : std::optional<mono_time>(at);
}

std::optional<mono_time> confirmation::platform_confirmed_at() const {
    mono_time at = *std::min_element(this->exact_confirmed.begin(), this->exact_confirmed.end());
    return at == unknown_time ? std::nullopt : std::optional<mono_time>(at);
}

std::vector<std::uint8_t> confirmation::encode_ages(const std::vector<mono_time>& times,
                                                    mono_time now) const {
    std::vector<std::uint8_t> result(times.size());
    for (std::size_t i = 0; i < result.size(); ++i) {
        result[i] = encode_age(now, this->self_index == i ? now : times[i]);
    }
    return result;
}

std::vector<std::uint8_t> confirmation::ages(mono_time now) const {
    return this->encode_ages(this->nothing_newer_at, now);
}

std::vector<std::uint8_t> confirmation::contact_ages(mono_time now) const {
    return this->encode_ages(this->contact_at, now);
}

}  // namespace trefoil::dissemination
