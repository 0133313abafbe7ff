// One typed slot of the blackboard. Controllers publish immutable values and read the latest one.
// Each slot has its own lock, so that writers of one slot never delay readers of another. It is a
// std::mutex for the reason that base/sharded_map.h names.
//
// Example:
//
//     trefoil::board_slot<config::snapshot> snapshot;
//     snapshot.publish(std::make_shared<const config::snapshot>(...));
//     std::shared_ptr<const config::snapshot> current = snapshot.read();

#ifndef TREFOIL_BASE_BOARD_SLOT_H_
#define TREFOIL_BASE_BOARD_SLOT_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace trefoil {

template <class Value>
class board_slot {
public:
    // Returns the latest value, or null before the first publication.
    std::shared_ptr<const Value> read() const {
        std::lock_guard lock(this->mutex);
        return this->value;
    }

    void publish(std::shared_ptr<const Value> next) {
        std::lock_guard lock(this->mutex);
        this->value = std::move(next);
        ++this->generation;
    }

    // Counts publications, so that a controller can see whether anything changed.
    std::uint64_t version() const {
        std::lock_guard lock(this->mutex);
        return this->generation;
    }

private:
    mutable std::mutex mutex;
    std::shared_ptr<const Value> value;  // Guarded by mutex.
    std::uint64_t generation = 0;        // Guarded by mutex; only grows.
};

}  // namespace trefoil

#endif  // TREFOIL_BASE_BOARD_SLOT_H_
