// Implements the duplicate filter. All ingresses share one FIFO queue of arrivals, so that busy
// ingresses use more of the bounded memory than idle ones.

#include "gate/duplicate_filter.h"

#include <algorithm>

namespace trefoil::gate {

duplicate_verdict duplicate_filter::admit(const call_id& id) {
    auto known = this->ingresses.find(id.instance);
    if (known == this->ingresses.end() && id.incarnation <= this->evicted_incarnation) {
        return duplicate_verdict::evicted_ingress;
    }
    if (known != this->ingresses.end()) {
        const ingress& from = known->second;
        if (id.incarnation < from.incarnation) {
            return duplicate_verdict::older_incarnation;
        }
        if (id.incarnation == from.incarnation) {
            if (from.seen.contains(id.sequence)) {
                return duplicate_verdict::seen;
            }
            if (id.sequence < from.floor) {
                return duplicate_verdict::below_floor;
            }
        }
    }
    this->touch(id).seen.insert(id.sequence);
    this->arrivals.push_back(id);
    if (this->arrivals.size() > this->options.sequences) {
        this->evict_oldest_sequence();
    }
    return duplicate_verdict::fresh;
}

duplicate_filter::ingress& duplicate_filter::touch(const call_id& id) {
    auto known = this->ingresses.find(id.instance);
    if (known == this->ingresses.end()) {
        if (this->ingresses.size() >= this->options.ingresses) {
            this->evict_oldest_ingress();
        }
        this->recency.push_back(id.instance);
        ingress created;
        created.incarnation = id.incarnation;
        created.recency = std::prev(this->recency.end());
        return this->ingresses.emplace(id.instance, std::move(created)).first->second;
    }
    ingress& from = known->second;
    this->recency.splice(this->recency.end(), this->recency, from.recency);
    if (id.incarnation > from.incarnation) {
        from.incarnation = id.incarnation;
        from.floor = 0;
        from.seen.clear();
    }
    return from;
}

void duplicate_filter::evict_oldest_sequence() {
    call_id oldest = std::move(this->arrivals.front());
    this->arrivals.pop_front();
    auto found = this->ingresses.find(oldest.instance);
    if (found == this->ingresses.end() || found->second.incarnation != oldest.incarnation) {
        return;
    }
    found->second.seen.erase(oldest.sequence);
    found->second.floor = std::max(found->second.floor, oldest.sequence + 1);
}

void duplicate_filter::evict_oldest_ingress() {
    auto oldest = this->ingresses.find(this->recency.front());
    this->evicted_incarnation = std::max(this->evicted_incarnation, oldest->second.incarnation);
    this->ingresses.erase(oldest);
    this->recency.pop_front();
}

}  // namespace trefoil::gate
