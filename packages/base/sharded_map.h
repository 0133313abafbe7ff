// A hash map split into shards with one lock each, for state that several threads access. The locks
// are std::mutex and not absl::Mutex, because Debian's build of Abseil looks up each acquisition in
// a global graph of all locks (deadlock detection), which costs processor time.
//
// Example:
//
//     trefoil::sharded_map<std::string, int> in_flight;
//     in_flight.update("station-1", [](int& count) { ++count; });

#ifndef TREFOIL_BASE_SHARDED_MAP_H_
#define TREFOIL_BASE_SHARDED_MAP_H_

#include <array>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/hash/hash.h"

namespace trefoil {

template <class Key, class Value, std::size_t ShardCount = 16>
class sharded_map {
public:
    // Calls `change` with the value of `key` under the shard's lock and returns its result. Inserts
    // a default-constructed value first when the key is absent. `change` must not call this map.
    template <class Change>
    auto update(const Key& key, Change change) {
        shard& owner = this->shard_of(key);
        std::lock_guard lock(owner.mutex);
        return change(owner.values[key]);
    }

    // Returns a copy of the value of `key`, or nullopt when the key is absent.
    std::optional<Value> find(const Key& key) const {
        const shard& owner = this->shard_of(key);
        std::lock_guard lock(owner.mutex);
        auto found = owner.values.find(key);
        if (found == owner.values.end()) {
            return std::nullopt;
        }
        return found->second;
    }

    // Removes `key` and returns its value, or nullopt when the key is absent.
    std::optional<Value> take(const Key& key) {
        shard& owner = this->shard_of(key);
        std::lock_guard lock(owner.mutex);
        auto found = owner.values.find(key);
        if (found == owner.values.end()) {
            return std::nullopt;
        }
        std::optional<Value> value(std::move(found->second));
        owner.values.erase(found);
        return value;
    }

    // Calls `visit(key, value)` for every entry, locking one shard at a time, so the entries are
    // not a consistent snapshot of the whole map. `visit` must not call this map.
    template <class Visit>
    void for_each(Visit visit) {
        for (shard& each : this->shards) {
            std::lock_guard lock(each.mutex);
            for (auto& [key, value] : each.values) {
                visit(key, value);
            }
        }
    }

    template <class Visit>
    void for_each(Visit visit) const {
        for (const shard& each : this->shards) {
            std::lock_guard lock(each.mutex);
            for (const auto& [key, value] : each.values) {
                visit(key, value);
            }
        }
    }

    // Removes the entries for which `condition(key, value)` returns true.
    template <class Condition>
    void erase_if(Condition condition) {
        for (shard& each : this->shards) {
            std::lock_guard lock(each.mutex);
            absl::erase_if(each.values,
                           [&](auto& entry) { return condition(entry.first, entry.second); });
        }
    }

    std::size_t size() const {
        std::size_t total = 0;
        for (const shard& each : this->shards) {
            std::lock_guard lock(each.mutex);
            total += each.values.size();
        }
        return total;
    }

private:
    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<Key, Value> values;  // Guarded by mutex.
    };

    shard& shard_of(const Key& key) { return this->shards[absl::Hash<Key>{}(key) % ShardCount]; }
    const shard& shard_of(const Key& key) const {
        return this->shards[absl::Hash<Key>{}(key) % ShardCount];
    }

    std::array<shard, ShardCount> shards;
};

}  // namespace trefoil

#endif  // TREFOIL_BASE_SHARDED_MAP_H_
