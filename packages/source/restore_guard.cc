// Implements the decision between the earlier items and those of a restored store.

#include "source/restore_guard.h"

#include <algorithm>
#include <utility>

namespace trefoil::source {

namespace {

// Longer than the age of a copy from which a store is restored, which is some seconds.
constexpr std::chrono::seconds removal_memory{60};
constexpr std::size_t max_removals = 4096;

}  // namespace

void restore_guard::record_removal(const std::string& key, mono_time now) {
    std::erase_if(this->removals,
                  [now](const auto& entry) { return entry.second + removal_memory < now; });
    if (this->removals.size() < max_removals) {
        this->removals[key] = now;
    }
}

// Holds an item that the store does not have.
void restore_guard::hold_lost(const std::string& key, mono_time now) {
    auto time = this->rules.rewrite_time(key);
    this->holds[key] = {.in_store = std::nullopt,
                        .until = time.has_value() ? now + *time : mono_time::max()};
}

// Holds an item of which the store has an outdated value. Its writer writes or removes it, or the
// store removes it because its writer is gone, which can take longer than to write a lost item.
void restore_guard::hold_against(const std::string& key, stored_item in_store, mono_time now) {
    bool ends = this->rules.rewrite_time(key).has_value();
    this->holds[key] = {.in_store = std::move(in_store),
                        .until = ends ? now + removal_memory : mono_time::max()};
}

void restore_guard::restore(const stored_items& earlier, stored_items& loaded, mono_time now) {
    this->holds.clear();
    for (const auto& [key, item] : earlier) {
        auto found = loaded.find(key);
        if (found == loaded.end()) {
            this->hold_lost(key, now);
            loaded.emplace(key, item);
        } else if (this->rules.is_earlier(key, found->second.value, item.value)) {
            this->hold_against(key, std::exchange(found->second, item), now);
        }
    }
    for (auto each = loaded.begin(); each != loaded.end();) {
        auto removed = this->removals.find(each->first);
        bool returned = removed != this->removals.end() && !earlier.contains(each->first) &&
                        now - removed->second <= removal_memory;
        if (returned) {
            this->hold_against(each->first, std::move(each->second), now);
            each = loaded.erase(each);
        } else {
            ++each;
        }
    }
}

void restore_guard::keep_held(const stored_items& earlier, stored_items& loaded) {
    for (auto each = this->holds.begin(); each != this->holds.end();) {
        const std::string& key = each->first;
        auto found = loaded.find(key);
        auto in_store = found == loaded.end() ? std::nullopt : std::optional(found->second);
        bool written = in_store.has_value() && in_store != each->second.in_store;
        if (written && this->accepts_write(earlier, key, in_store)) {
            each = this->holds.erase(each);
            continue;
        }
        each->second.in_store = std::move(in_store);
        auto kept = earlier.find(key);
        if (kept == earlier.end()) {
            loaded.erase(key);
        } else {
            loaded.insert_or_assign(key, kept->second);
        }
        ++each;
    }
}

// Whether the written value is not an earlier one than the current value.
bool restore_guard::accepts_write(const stored_items& current, const std::string& key,
                                  const std::optional<stored_item>& written) const {
    auto found = current.find(key);
    return !written.has_value() || found == current.end() ||
           !this->rules.is_earlier(key, written->value, found->second.value);
}

bool restore_guard::accepts(const stored_items& current, const std::string& key,
                            const std::optional<stored_item>& written) {
    auto held = this->holds.find(key);
    if (held == this->holds.end()) {
        return true;
    }
    if (!this->accepts_write(current, key, written)) {
        held->second.in_store = written;
        return false;
    }
    this->holds.erase(held);
    return true;
}

std::vector<released_item> restore_guard::release(mono_time now) {
    std::vector<released_item> released;
    for (auto each = this->holds.begin(); each != this->holds.end();) {
        if (each->second.until <= now) {
            released.push_back({.key = each->first, .item = std::move(each->second.in_store)});
            each = this->holds.erase(each);
        } else {
            ++each;
        }
    }
    return released;
}

bool restore_guard::holds_below(std::string_view prefix) const {
    auto first = this->holds.lower_bound(prefix);
    return first != this->holds.end() && first->first.starts_with(prefix);
}

void restore_guard::drop_timed_holds() {
    std::erase_if(this->holds,
                  [](const auto& entry) { return entry.second.until != mono_time::max(); });
}

std::optional<mono_time> restore_guard::next_release() const {
    mono_time next = mono_time::max();
    for (const auto& [key, held] : this->holds) {
        next = std::min(next, held.until);
    }
    return next == mono_time::max() ? std::nullopt : std::optional(next);
}

}  // namespace trefoil::source
