// Simulates, in simulated time, a metadata store and the client with which a daemon mirrors it:
// initial load, watches that end with an event, backoff after failures and pauses between events.

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
    };
    std::map<std::string, entry> documents;
    std::uint64_t version = 0;  // Incremented by each publication.
    std::uint64_t calls = 0;
    bool down = false;
};

// The mirror of one daemon.
class simulated_follower {
public:
    using reply = std::function<void(const platform_answer&)>;

    simulated_follower(simulated_store& followed, random_source& source, mono_time start);

    // Runs the follower; to be called every 10 ms.
    void step(mono_time now);
    void set_following(bool following);
    void read(mono_time now, const read_document& request, reply answer);

    bool refused = false;  // Whether the store refuses this daemon's calls.
    double link_mbps = 0;  // Bandwidth of the link to the store; 0: unlimited.

private:
    struct pending_read {
        std::string name;
        std::uint64_t after = 0;
        mono_time until;
        reply answer;
    };

    void call(mono_time now);
    void end_call(mono_time now);
    // Copies the documents when they have passed the link.
    void start_copy(mono_time now);
    void finish_copy(mono_time now);
    void fail(mono_time now);
    void copy_documents();
    std::optional<platform_answer> answer_to(mono_time now, const pending_read& request) const;

    simulated_store& store;
    random_source& random;
    std::map<std::string, simulated_store::entry> copy;
    std::uint64_t copied_version = 0;  // The store's version at the time of the copy.
    bool following = true;
    bool loaded = false;
    bool reached_store = false;
    unsigned failures = 0;
    mono_time watch_phase;               // Watches end at this time plus multiples of the period.
    mono_time next_call;                 // No call is made before this time.
    bool watching = false;               // Whether a watch is outstanding.
    std::optional<mono_time> copied_at;  // End of the response that is being received.
    mono_time watch_until;
    std::vector<pending_read> pending_reads;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_TESTING_SIMULATED_FOLLOWER_H_
