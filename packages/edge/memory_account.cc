// Implements the account with one atomic counter.

#include "edge/memory_account.h"

#include <utility>

namespace trefoil::edge {

std::size_t memory_account::largest_reservation() const {
    return this->options.limit_bytes - this->options.reserve_bytes;
}

memory_usage memory_account::usage() const {
    return {.held_bytes = this->held,
            .limit_bytes = this->options.limit_bytes,
            .dropped_requests = this->dropped_requests,
            .dropped_responses = this->dropped_responses,
            .refused_bodies = this->refused_bodies,
            .closed_connections = this->closed_connections};
}

// `total` is the size of the whole reservation after it has grown by `bytes`.
bool memory_account::grow(std::size_t bytes, std::size_t total) {
    std::size_t allowed = total <= this->options.small_bytes ? this->options.limit_bytes
                                                             : this->largest_reservation();
    std::size_t before = this->held;
    do {
        if (before > allowed || bytes > allowed - before) {
            return false;
        }
    } while (!this->held.compare_exchange_weak(before, before + bytes));
    return true;
}

bool memory_reservation::resize(std::size_t total) {
    if (this->account != nullptr && total > this->bytes) {
        if (!this->account->grow(total - this->bytes, total)) {
            return false;
        }
        this->bytes = total;
        return true;
    }
    this->resize_unchecked(total);
    return true;
}

void memory_reservation::resize_unchecked(std::size_t total) {
    if (this->account != nullptr) {
        this->account->held += total - this->bytes;  // Wraps around where `total` is smaller.
    }
    this->bytes = total;
}

shared_body make_shared_body(std::string bytes, std::shared_ptr<const memory_reservation> held) {
    struct accounted_bytes {
        std::string bytes;
        std::shared_ptr<const memory_reservation> held;
    };
    auto whole = std::make_shared<const accounted_bytes>(
        accounted_bytes{.bytes = std::move(bytes), .held = std::move(held)});
    return {whole, &whole->bytes};
}

}  // namespace trefoil::edge
