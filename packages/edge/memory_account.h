// Bounds the memory that a process holds for its callers: requests, their bodies, and responses on
// their way. Holders reserve the bytes before they keep them.
//
// Example:
//
//     edge::memory_account account({.limit_bytes = 100'000'000, .reserve_bytes = 10'000'000});
//     edge::memory_reservation held(&account);
//     if (!held.resize(body.size())) { ... refuse ... }

#ifndef TREFOIL_EDGE_MEMORY_ACCOUNT_H_
#define TREFOIL_EDGE_MEMORY_ACCOUNT_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace trefoil::edge {

struct memory_account_options {
    std::size_t limit_bytes = SIZE_MAX;
    // Part of the limit that is kept for reservations of at most small_bytes.
    std::size_t reserve_bytes = 0;
    std::size_t small_bytes = std::size_t{64} << 10U;

    friend bool operator==(const memory_account_options&, const memory_account_options&) = default;
};

struct memory_usage {
    std::size_t held_bytes = 0;
    std::size_t limit_bytes = 0;
    std::uint64_t dropped_requests = 0;    // Incomplete ones, to make room.
    std::uint64_t dropped_responses = 0;   // Of callers that did not read them.
    std::uint64_t refused_bodies = 0;      // Of calls from peers.
    std::uint64_t closed_connections = 0;  // At the limit of connections.

    friend bool operator==(const memory_usage&, const memory_usage&) = default;
};

// Safe for concurrent use. Must outlive its reservations.
class memory_account {
public:
    explicit memory_account(memory_account_options given) : options(given) {}
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    // Whether more than the limit is held, which only resize_unchecked() can cause.
    bool exceeded() const { return this->held > this->options.limit_bytes; }
    std::size_t largest_reservation() const;
    memory_usage usage() const;

    void count_dropped_request() { ++this->dropped_requests; }
    void count_dropped_response() { ++this->dropped_responses; }
    void count_refused_body() { ++this->refused_bodies; }
    void count_closed_connection() { ++this->closed_connections; }

private:
    friend class memory_reservation;

    bool grow(std::size_t bytes, std::size_t total);

    const memory_account_options options;
    std::atomic<std::size_t> held{0};
    std::atomic<std::uint64_t> dropped_requests{0};
    std::atomic<std::uint64_t> dropped_responses{0};
    std::atomic<std::uint64_t> refused_bodies{0};
    std::atomic<std::uint64_t> closed_connections{0};
};

// Bytes reserved by one holder, released by the destructor. Without an account nothing is counted.
class memory_reservation {
public:
    explicit memory_reservation(memory_account* counted) : account(counted) {}
    ~memory_reservation() { this->resize_unchecked(0); }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    // Returns false and changes nothing if there is no room for a larger size.
    bool resize(std::size_t total);
    // For bytes that are already in memory and must be kept.
    void resize_unchecked(std::size_t total);
    std::size_t size() const { return this->bytes; }

private:
    memory_account* const account;  // May be null.
    std::size_t bytes = 0;
};

// A body that several holders share without copies. Its reservation ends with the last of them.
using shared_body = std::shared_ptr<const std::string>;

shared_body make_shared_body(std::string bytes, std::shared_ptr<const memory_reservation> held);

}  // namespace trefoil::edge

#endif  // TREFOIL_EDGE_MEMORY_ACCOUNT_H_
