// Keeps what is in force when a platform's store returns from an older copy of itself.
//
// Such a store has lost the latest writes that it had acknowledged, until their writers write them
// again. In the meantime its items may be older than those a daemon has already acted on. The guard
// holds each differing item at its earlier value until its writer writes it again or the time for
// that has passed. An item whose values have an order, such as a configuration with a version,
// never returns to a lower value.
//
// Example:
//
//     source::restore_guard guard(rules);
//     guard.record_removal("servers/i-1", now);
//     guard.restore(earlier_items, loaded_items, now);   // Changes loaded_items.
//     if (guard.accepts(items, key, value)) { ... apply the change ... }
//     for (const source::released_item& each : guard.release(now)) { ... }

#ifndef TREFOIL_SOURCE_RESTORE_GUARD_H_
#define TREFOIL_SOURCE_RESTORE_GUARD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace trefoil::source {

struct stored_item {
    std::string value;
    std::uint64_t revision = 0;  // Of the last write.

    friend bool operator==(const stored_item&, const stored_item&) = default;
};

using stored_items = std::map<std::string, stored_item, std::less<>>;

// What is known of the items of a store.
class item_rules {
public:
    virtual ~item_rules() = default;

    // Whether `value` is an earlier value of the item than `other`. False when the values have no
    // order.
    virtual bool is_earlier(std::string_view key, std::string_view value,
                            std::string_view other) const = 0;

    // Time within which the writer of an item that the store has lost writes it again after the
    // store's return. Nothing when an earlier value is never used.
    virtual std::optional<std::chrono::milliseconds> rewrite_time(std::string_view key) const = 0;
};

// An item for which the store's value counts from now on. The value is absent if the store has no
// such item.
struct released_item {
    std::string key;
    std::optional<stored_item> item;

    friend bool operator==(const released_item&, const released_item&) = default;
};

// Not safe for concurrent use.
class restore_guard {
public:
    // `given` must outlive the guard.
    explicit restore_guard(const item_rules& given) : rules(given) {}

    // The store has removed an item. Removals are remembered for a short time.
    void record_removal(const std::string& key, mono_time now);

    // The store was restored and `loaded` is its content. Replaces each item that differs from
    // `earlier` by the earlier one and holds it.
    void restore(const stored_items& earlier, stored_items& loaded, mono_time now);

    // The store's content was loaded again without a restore. Items that are held and were not
    // written since keep their earlier values.
    void keep_held(const stored_items& earlier, stored_items& loaded);

    // Whether a write of the restored store replaces the current item, if there is one. Ends the
    // hold of the item; a write of an earlier value only changes what the store says.
    bool accepts(const stored_items& current, const std::string& key,
                 const std::optional<stored_item>& written);

    // Returns the items whose time to be written again has passed.
    std::vector<released_item> release(mono_time now);

    // Time of the next release(); nothing when none is due.
    std::optional<mono_time> next_release() const;

    std::size_t held() const { return this->holds.size(); }
    // Whether an item whose key starts with `prefix` is held.
    bool holds_below(std::string_view prefix) const;

    // Drops the holds that end at some time. To be called when the store is no longer followed:
    // what they hold is outdated when it is followed again.
    void drop_timed_holds();

private:
    struct hold {
        std::optional<stored_item> in_store;  // Absent: the store has no such item.
        mono_time until;                      // mono_time::max(): held until it is written again.
    };

    bool accepts_write(const stored_items& current, const std::string& key,
                       const std::optional<stored_item>& written) const;
    void hold_lost(const std::string& key, mono_time now);
    void hold_against(const std::string& key, stored_item in_store, mono_time now);

    const item_rules& rules;
    std::map<std::string, hold, std::less<>> holds;
    std::map<std::string, mono_time, std::less<>> removals;  // When the item was removed.
};

}  // namespace trefoil::source

#endif  // TREFOIL_SOURCE_RESTORE_GUARD_H_
