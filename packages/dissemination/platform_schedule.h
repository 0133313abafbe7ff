// When which document is read or watched at the platform. A reader watches all documents; another
// daemon reads a document whose confirmation is old. There is at most one request per document.
//
// Example:
//
//     for (const read_document& each : schedule.next_read(now, ...)) { ... }
//     auto call = schedule.finish(now, request);

#ifndef TREFOIL_DISSEMINATION_PLATFORM_SCHEDULE_H_
#define TREFOIL_DISSEMINATION_PLATFORM_SCHEDULE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/random.h"
#include "base/time.h"
#include "dissemination/action.h"
#include "dissemination/core_options.h"
#include "dissemination/held_documents.h"

namespace trefoil::dissemination {

// How a finished request counts for the time of the next one.
enum class read_outcome : std::uint8_t {
    newer,      // A document came.
    confirmed,  // The held revision is the newest.
    stale,      // The platform knows only an older revision.
    failed,
};

class platform_schedule {
public:
    platform_schedule(const core_options& settings, random_source& source, mono_time start);

    // A request that has been sent.
    struct sent_read {
        std::size_t document = 0;
        std::uint64_t after = 0;
        milliseconds wait{0};
        mono_time issued_at;

        friend bool operator==(const sent_read&, const sent_read&) = default;
    };

    // The request to send for a document now, if any. `confirmed_at` is the document's time of
    // confirmation, mono_time::min() when there is none.
    std::optional<read_document> next_read(mono_time now, std::size_t document,
                                           const std::string& name, std::uint64_t held_revision,
                                           bool reader, mono_time confirmed_at);

    // Returns what was asked, or nothing when the request is unknown or given up.
    std::optional<sent_read> finish(std::uint64_t request);

    // Sets the time of the next request for the document of a finished one.
    void schedule_next(mono_time now, const sent_read& finished, read_outcome outcome, bool reader);

private:
    struct read_state {
        std::uint64_t request = 0;  // 0 when no request is outstanding.
        sent_read sent;
        mono_time next_at;       // No request before this time.
        bool jittered = false;   // Whether next_at has its jitter for the present need to read.
        bool skip_wait = false;  // The next watch is a read without a wait.
        unsigned failures = 0;   // Consecutive requests that confirmed nothing.
    };

    bool watch_due(const read_state& target, mono_time now, bool reader) const;
    bool read_due(read_state& target, mono_time now, mono_time confirmed_at);
    milliseconds watch_wait(mono_time now) const;
    mono_duration jitter(milliseconds limit);
    milliseconds backoff(unsigned failures) const;

    const core_options& options;
    random_source& random;
    // Watches of all documents end at this time plus multiples of the wait. So the three documents
    // are confirmed together, and the phases of readers differ although a change ends the watches
    // of all readers at once.
    mono_time phase;
    std::uint64_t last_request = 0;
    std::array<read_state, document_count> read_states;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_PLATFORM_SCHEDULE_H_
