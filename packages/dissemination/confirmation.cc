// Implements the times of confirmation and the age vector.

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
    // Rounded up, so that an age never shrinks on its way through several daemons.
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
    this->exact.fill(unknown_time);
}

void confirmation::set_list(std::shared_ptr<const membership::instance_list> next) {
    if (next == this->list) {
        return;
    }
    const auto& records = next->records();
    std::vector<mono_time> heard_next(records.size(), unknown_time);
    std::vector<mono_time> alive_next(records.size(), unknown_time);
    this->in_own_site.assign(records.size(), 0);
    for (std::size_t i = 0; i < records.size(); ++i) {
        this->in_own_site[i] = records[i].site == this->site ? 1 : 0;
        auto before = this->list->index_of(records[i].id);
        if (before.has_value()) {
            heard_next[i] = this->heard_at[*before];
            alive_next[i] = this->alive_at[*before];
        }
    }
    this->heard_at = std::move(heard_next);
    this->alive_at = std::move(alive_next);
    this->list = std::move(next);
    this->self_index = this->list->index_of(this->self);
    this->heard_changed = true;
}

void confirmation::confirm(std::size_t document, mono_time at) {
    this->confirmed[document] = std::max(this->confirmed[document], at);
    this->exact[document] = std::max(this->exact[document], at);
}

void confirmation::replaced(std::size_t document) {
    this->exact[document] = unknown_time;
}

void confirmation::heard(const std::string& peer, bool same_site, mono_time asked_at,
                         const std::vector<std::uint8_t>& ages) {
    auto index = this->list->index_of(peer);
    if (index.has_value()) {
        this->heard_at[*index] = std::max(this->heard_at[*index], asked_at);
    }
    this->heard_changed = true;
    if (ages.size() != this->heard_at.size()) {
        return;
    }
    for (std::size_t i = 0; i < ages.size(); ++i) {
        bool usable = ages[i] != age_unknown && (same_site || this->in_own_site[i] == 0);
        if (usable) {
            this->heard_at[i] = std::max(this->heard_at[i], asked_at - ages[i] * age_unit);
        }
    }
}

void confirmation::alive(const std::string& peer, mono_time at,
                         const std::vector<std::uint8_t>& ages) {
    auto index = this->list->index_of(peer);
    if (index.has_value()) {
        this->alive_at[*index] = std::max(this->alive_at[*index], at);
    }
    if (ages.size() != this->alive_at.size()) {
        return;
    }
    for (std::size_t i = 0; i < ages.size(); ++i) {
        if (ages[i] != age_unknown) {
            this->alive_at[i] = std::max(this->alive_at[i], at - ages[i] * age_unit);
        }
    }
}

mono_time confirmation::majority_of(mono_time now, bool own_site_only) {
    this->selection.clear();
    for (std::size_t i = 0; i < this->heard_at.size(); ++i) {
        if (!own_site_only || this->in_own_site[i] != 0) {
            this->selection.push_back(this->self_index == i ? now : this->heard_at[i]);
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
    // A list of one has its majority here at any time.
    if (!this->heard_changed && this->heard_at.size() != 1) {
        return;
    }
    this->heard_changed = false;
    this->list_majority = this->majority_of(now, false);
    auto raise = [](mono_time& time, mono_time to) { time = std::max(time, to); };
    raise(this->confirmed[base_index], this->list_majority);
    raise(this->confirmed[list_index], this->list_majority);
    raise(this->confirmed[overlay_index], this->majority_of(now, true));
}

std::optional<mono_time> confirmation::confirmed_at() const {
    mono_time at = *std::min_element(this->confirmed.begin(), this->confirmed.end());
    return at == unknown_time ? std::nullopt : std::optional<mono_time>(at);
}

std::optional<mono_time> confirmation::platform_confirmed_at() const {
    mono_time at = *std::min_element(this->exact.begin(), this->exact.end());
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
    return this->encode_ages(this->heard_at, now);
}

std::vector<std::uint8_t> confirmation::contact_ages(mono_time now) const {
    return this->encode_ages(this->alive_at, now);
}

}  // namespace trefoil::dissemination
