// Implements the duplicate filter. One queue of arrivals bounds the memory of all ingresses
// together, so that busy ingresses get more of it than idle ones.

#include "gate/duplicate_filter.h"

#include <algorithm>

namespace trefoil::gate {

duplicate_verdict duplicate_filter::admit(const call_id& id) {
    auto known = this->ingresses.find(id.instance);
    if (known == this->ingresses.end() && id.incarnation <= this->forgotten_incarnation) {
        return duplicate_verdict::forgotten_ingress;
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
        this->forget_oldest_sequence();
    }
    return duplicate_verdict::fresh;
}

duplicate_filter::ingress& duplicate_filter::touch(const call_id& id) {
    auto known = this->ingresses.find(id.instance);
    if (known == this->ingresses.end()) {
        if (this->ingresses.size() >= this->options.ingresses) {
            this->forget_oldest_ingress();
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

void duplicate_filter::forget_oldest_sequence() {
    call_id oldest = std::move(this->arrivals.front());
    this->arrivals.pop_front();
    auto found = this->ingresses.find(oldest.instance);
    if (found == this->ingresses.end() || found->second.incarnation != oldest.incarnation) {
        return;
    }
    found->second.seen.erase(oldest.sequence);
    found->second.floor = std::max(found->second.floor, oldest.sequence + 1);
}

void duplicate_filter::forget_oldest_ingress() {
    auto oldest = this->ingresses.find(this->recency.front());
    this->forgotten_incarnation = std::max(this->forgotten_incarnation, oldest->second.incarnation);
    this->ingresses.erase(oldest);
    this->recency.pop_front();
}

}  // namespace trefoil::gate
