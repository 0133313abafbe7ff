// Schedules reads and watches of documents at the platform. A watch is a read that waits for a
// newer document. A reader (reader_selection.h) watches all documents; any other daemon reads a
// document only when the document's confirmation (confirmation.h) is old. At most one request per
// document is outstanding.
//
// Example:
//
//     if (auto read = schedule.next_read(now, base_index, "base", 7, reader, confirmed_at)) { ... }
//     auto sent = schedule.finish(request);

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

// The result of a request, which determines the time of the next one.
enum class read_outcome : std::uint8_t {
    newer,      // The platform returned a document.
    confirmed,  // The held revision is the newest.
    stale,      // The platform has only an older revision.
    failed,
};

class platform_schedule {
public:
    platform_schedule(const core_options& settings, random_source& source, mono_time start);

    // A request that was sent.
    struct sent_read {
        std::size_t document = 0;
        std::uint64_t after = 0;
        milliseconds wait{0};
        mono_time issued_at;

        friend bool operator==(const sent_read&, const sent_read&) = default;
    };

    // Returns the request to send for a document now, if any. `confirmed_at` is the time of the
    // document's last confirmation, mono_time::min() when there is none.
    std::optional<read_document> next_read(mono_time now, std::size_t document,
                                           const std::string& name, std::uint64_t held_revision,
                                           bool reader, mono_time confirmed_at);

    // Returns the request that ended; nothing when it is unknown or has timed out.
    std::optional<sent_read> finish(std::uint64_t request);

    // Sets the time of the next request for the document of a finished request. `read_since`: the
    // platform was read after the request, so an answer before the end of its wait shows something
    // new even if the document is unchanged.
    void schedule_next(mono_time now, const sent_read& finished, read_outcome outcome, bool reader,
                       bool read_since);

private:
    struct read_state {
        std::uint64_t request = 0;  // 0 when no request is outstanding.
        sent_read sent;
        mono_time next_at;       // No request is sent before this time.
        bool jittered = false;   // Whether next_at includes the jitter for the read that is due.
        bool skip_wait = false;  // Whether the next watch is sent as a read without a wait.
        unsigned failures = 0;   // Consecutive requests without a confirmation.
    };

    bool watch_due(const read_state& target, mono_time now, bool reader) const;
    bool read_due(read_state& target, mono_time now, mono_time confirmed_at);
    milliseconds watch_wait(mono_time now) const;
    mono_duration jitter(milliseconds limit);
    milliseconds backoff(unsigned failures) const;

    const core_options& options;
    random_source& random;
    // Watches of all documents end at this time plus multiples of the wait. The three documents are
    // therefore confirmed together, and the watches of different readers stay out of phase,
    // although a change ends those of all readers at once.
    mono_time phase;
    std::uint64_t last_request = 0;
    std::array<read_state, document_count> read_states;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_PLATFORM_SCHEDULE_H_
