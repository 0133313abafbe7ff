// Interface to the platform's configuration service, which provides documents by name, to be read
// or watched. A watch is a read that waits for a newer revision.
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
#include <optional>
#include <string>

#include "base/result.h"
#include "base/time.h"

namespace trefoil::source {

struct read_request {
    std::string name;         // "base", "site/<site>" or "instances".
    std::uint64_t after = 0;  // Only a document with a greater revision is returned.
    // Maximum time to wait for such a document; 0 reads at once.
    std::chrono::milliseconds wait{0};
    // Of the document with the revision `after`: its checksum, and the last revision of the service
    // at which it is known to have been read. A service whose revisions do not identify a content
    // returns a newer content whatever its revision is.
    std::uint64_t checksum = 0;
    std::uint64_t read_revision = 0;

    friend bool operator==(const read_request&, const read_request&) = default;
};

// When a service read what it returns. All fields are empty for a service that reads on request and
// whose revisions identify contents.
struct read_origin {
    std::uint64_t revision = 0;  // Of the whole service, at that time.
    // See dissemination::platform_reading.
    bool partial = false;
    // The service had this content at this time. Empty: at the time of the request.
    std::optional<mono_time> at{};

    friend bool operator==(const read_origin&, const read_origin&) = default;
};

struct document {
    std::uint64_t revision = 0;  // Greater than the `after` of the request, if contents have one.
    std::string body;
    read_origin origin{};

    friend bool operator==(const document&, const document&) = default;
};

// There is no newer document than that of the request.
struct unchanged {
    std::uint64_t revision = 0;  // The service's newest; below `after` when the service is stale.
    // Of the content that was read. 0: the revision identifies it.
    std::uint64_t checksum = 0;
    read_origin origin{};

    friend bool operator==(const unchanged&, const unchanged&) = default;
};

// There is no document of this name.
struct absent {
    friend bool operator==(const absent&, const absent&) = default;
};

// The service could not be reached, returned an error or violated its protocol.
struct unavailable {
    std::string detail;

    friend bool operator==(const unavailable&, const unavailable&) = default;
};

using read_result = result<document, unchanged, absent, unavailable>;

// A revision of a document that the service has read but cannot return, because it cannot be
// translated. Reads continue to return the revision before it.
struct unreadable_document {
    std::string name;
    std::uint64_t revision = 0;
    std::string detail;

    friend bool operator==(const unreadable_document&, const unreadable_document&) = default;
};

// Calls to the platform since the start of the process.
struct call_counts {
    std::uint64_t started = 0;
    std::uint64_t failed = 0;

    friend bool operator==(const call_counts&, const call_counts&) = default;
};

class configuration_service {
public:
    virtual ~configuration_service() = default;

    // Reads or watches a document. Blocks for at most the wait plus the timeouts of the
    // implementation. Thread-safe; never throws.
    virtual read_result read(const read_request& request) = 0;

    // Called when a peer has a newer revision than the service has returned: the connection of a
    // watch may be broken.
    virtual void refresh() {}

    // Starts or suspends the updates of a service that keeps a copy of the documents. While
    // suspended it makes no calls, and reads return unavailable. Updates are on from the start.
    virtual void set_following(bool /*following*/) {}

    // For metrics. Thread-safe.
    virtual call_counts calls() const = 0;

    // The newest revision of a document, if it is unreadable. Thread-safe.
    virtual std::optional<unreadable_document> unreadable() const { return std::nullopt; }

    // For shutdown: ends outstanding calls; later calls return unavailable.
    virtual void stop() = 0;
};

}  // namespace trefoil::source

#endif  // TREFOIL_SOURCE_CONFIGURATION_SERVICE_H_
