// A store whose documents every daemon mirrors, and the follower of one daemon, in simulated time:
// loads, watches that an event ends, pauses after failures and series of events.

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

struct simulated_store {
    struct entry {
        std::uint64_t revision = 0;
        std::string body;
    };
    std::map<std::string, entry> documents;
    std::uint64_t version = 0;  // Changes with each publication.
    std::uint64_t calls = 0;
    bool down = false;
};

class simulated_follower {
public:
    using reply = std::function<void(const platform_answer&)>;

    simulated_follower(simulated_store& followed, random_source& source, mono_time start);

    // To be called every 10 ms.
    void step(mono_time now);
    void set_following(bool following);
    void read(mono_time now, const read_document& request, reply answer);

    bool refused = false;  // Whether the store turns this daemon away.

private:
    struct waiting_read {
        std::string name;
        std::uint64_t after = 0;
        mono_time until;
        reply answer;
    };

    void call(mono_time now);
    void end_call(mono_time now);
    void fail(mono_time now);
    void take_documents();
    std::optional<platform_answer> answer_to(mono_time now, const waiting_read& request) const;

    simulated_store& store;
    random_source& random;
    std::map<std::string, simulated_store::entry> copy;
    std::uint64_t seen = 0;  // The store's version that the copy is of.
    bool following = true;
    bool loaded = false;
    bool contact = false;
    unsigned failures = 0;
    mono_time phase;        // Watches end at this time plus whole periods.
    mono_time next_call;    // No call before.
    bool watching = false;  // A watch waits at the store.
    mono_time watch_until;
    std::vector<waiting_read> waiting;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_TESTING_SIMULATED_FOLLOWER_H_
