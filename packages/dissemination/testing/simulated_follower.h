// Simulates, in simulated time, a metadata store and the client with which a daemon mirrors it:
// initial load, watches that end with an event, probes while a watch is outstanding, backoff after
// failures and pauses between events.

#ifndef TREFOIL_DISSEMINATION_TESTING_SIMULATED_FOLLOWER_H_
#define TREFOIL_DISSEMINATION_TESTING_SIMULATED_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "dissemination/action.h"
#include "dissemination/platform_answer.h"

namespace trefoil::dissemination {

// The store. `calls` counts the loads and watches of all followers.
struct simulated_store {
    struct entry {
        std::uint64_t revision = 0;
        std::string body;
        std::uint64_t checksum = 0;
    };
    std::map<std::string, entry> documents;
    std::uint64_t version = 0;  // Incremented by each publication.
    std::uint64_t calls = 0;
    std::uint64_t probes = 0;  // A probe costs a tenth of a call.
    bool down = false;
    // Whether all documents are published under one counter of revisions. A follower then gives a
    // document the store's revision of the first load that returned its body, and a document that
    // was changed and changed back may keep its revision.
    bool one_counter = false;
    // With `one_counter`: each load gives all documents the store's revision, changed or not.
    bool renames_at_each_load = false;

    std::uint64_t revision() const;
};

// How the store treats the calls of a daemon.
enum class store_access { served, refused, ignored };

// The mirror of one daemon.
class simulated_follower {
public:
    using reply = std::function<void(const platform_answer&)>;

    simulated_follower(simulated_store& followed, random_source& source, mono_time start);

    // Runs the follower; to be called every 10 ms.
    void step(mono_time now);
    void set_following(bool following);
    void read(mono_time now, const read_document& request, reply answer);

    store_access access = store_access::served;
    double link_mbps = 0;  // Bandwidth of the link to the store; 0: unlimited.

private:
    struct pending_read {
        read_document request;
        mono_time begun;
        reply answer;
    };

    bool is_served() const;
    void call(mono_time now);
    void probe(mono_time now);
    void end_call(mono_time now);
    // Copies the documents when they have passed the link.
    void start_copy(mono_time now);
    void finish_copy(mono_time now);
    void fail(mono_time now);
    void copy_documents(bool load);
    std::optional<platform_answer> answer_to(mono_time now, const pending_read& request) const;

    simulated_store& store;
    random_source& random;
    std::map<std::string, simulated_store::entry> copy;
    std::uint64_t copied_version = 0;   // The store's version at the time of the copy.
    std::uint64_t copied_revision = 0;  // The store's revision at that time.
    bool following = true;
    bool loaded = false;
    bool reached_store = false;
    unsigned failures = 0;
    mono_time watch_phase;               // Watches end at this time plus multiples of the period.
    mono_time next_call;                 // No call is made before this time.
    bool watching = false;               // Whether a watch is outstanding.
    std::optional<mono_time> copied_at;  // End of the response that is being received.
    mono_time watch_until;
    mono_time call_ends;  // When a call that is not answered fails.
    mono_time last_probe;
    mono_time known_current;  // The copy is known to have been current at this time.
    std::vector<pending_read> pending_reads;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_TESTING_SIMULATED_FOLLOWER_H_
