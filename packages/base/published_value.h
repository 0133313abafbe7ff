// A holder of one immutable value. Writers replace the value; readers get a shared pointer to the
// current one. Each holder has its own lock, so that writers of one value never delay readers of
// another. The lock is a std::mutex for the reason given in base/sharded_map.h.
//
// Example:
//
//     trefoil::published_value<config::snapshot> snapshot;
//     snapshot.publish(std::make_shared<const config::snapshot>(...));
//     std::shared_ptr<const config::snapshot> current = snapshot.read();

#ifndef TREFOIL_BASE_PUBLISHED_VALUE_H_
#define TREFOIL_BASE_PUBLISHED_VALUE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace trefoil {

template <class Value>
class published_value {
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

    // Returns the number of publications, so that a reader can detect a change.
    std::uint64_t version() const {
        std::lock_guard lock(this->mutex);
        return this->generation;
    }

private:
    mutable std::mutex mutex;
    std::shared_ptr<const Value> value;  // Guarded by mutex.
    std::uint64_t generation = 0;        // Number of publications. Guarded by mutex.
};

}  // namespace trefoil

#endif  // TREFOIL_BASE_PUBLISHED_VALUE_H_
