// The platform's configuration service: documents that can be read and watched by name.
//
// Example:
//
//     source::read_result answer =
//         service.read({.name = "base", .after = 7, .wait = std::chrono::milliseconds(2000)});
//     if (auto* found = std::get_if<source::document>(&answer)) { ... }

#ifndef TREFOIL_SOURCE_CONFIGURATION_SERVICE_H_
#define TREFOIL_SOURCE_CONFIGURATION_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/result.h"

namespace trefoil::source {

struct read_request {
    std::string name;         // "base", "site/<site>" or "instances".
    std::uint64_t after = 0;  // Only a document with a greater revision is returned.
    // How long the service may wait for such a document; 0 reads at once.
    std::chrono::milliseconds wait{0};

    friend bool operator==(const read_request&, const read_request&) = default;
};

struct document {
    std::uint64_t revision = 0;  // Greater than the `after` of the request.
    std::string body;

    friend bool operator==(const document&, const document&) = default;
};

// No newer document. A revision below the `after` of the request comes from a stale service.
struct unchanged {
    std::uint64_t revision = 0;

    friend bool operator==(const unchanged&, const unchanged&) = default;
};

struct absent {
    friend bool operator==(const absent&, const absent&) = default;
};

// The service did not answer, or not in its protocol.
struct unavailable {
    std::string detail;

    friend bool operator==(const unavailable&, const unavailable&) = default;
};

using read_result = result<document, unchanged, absent, unavailable>;

// Calls to the platform since the start.
struct call_counts {
    std::uint64_t started = 0;
    std::uint64_t failed = 0;

    friend bool operator==(const call_counts&, const call_counts&) = default;
};

class configuration_service {
public:
    virtual ~configuration_service() = default;

    // Blocks for at most the wait plus the implementation's timeouts. Safe for concurrent use;
    // never throws.
    virtual read_result read(const read_request& request) = 0;

    // A peer knows a newer revision than the service has returned: what it watches with may hang.
    virtual void refresh() {}

    // Whether anybody needs documents now. A service that keeps a copy by itself makes no calls
    // while nobody does; its reads then return unavailable. It follows from the start on.
    virtual void set_following(bool /*following*/) {}

    // For metrics. Safe for concurrent use.
    virtual call_counts calls() const = 0;

    // Ends calls that wait and makes later calls return unavailable, for shutdown.
    virtual void stop() = 0;
};

}  // namespace trefoil::source

#endif  // TREFOIL_SOURCE_CONFIGURATION_SERVICE_H_
