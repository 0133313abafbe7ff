// Settings of the dissemination core.
//
// Example:
//
//     dissemination::core_options options{.instance = "station-1", .failure_domain = "d1",
//                                         .site = "north", .address = "127.0.0.1:7001"};

#ifndef TREFOIL_DISSEMINATION_CORE_OPTIONS_H_
#define TREFOIL_DISSEMINATION_CORE_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace trefoil::dissemination {

using std::chrono::milliseconds;

struct core_options {
    std::string instance;
    std::string failure_domain;
    std::string site;
    std::string address;             // Own peer address, which is never opened.
    std::vector<std::string> seeds;  // Addresses to ask while no list is known.

    std::size_t gossip_peer_count = 4;
    std::size_t readers_per_domain = 2;
    milliseconds round_interval{1000};
    // Rounds while the confirmation is older than `fast_rounds_after` or the daemon starts.
    milliseconds fast_round_interval{250};
    milliseconds fast_rounds_after{1500};
    milliseconds rotation_interval{60000};
    milliseconds request_timeout{1000};  // After this a document is asked from another peer.

    // How long a revision that a peer announced may take to come from the platform, while that
    // answers, before it is asked from the peer; and when the platform is asked to look again. 0:
    // peers are asked at once.
    milliseconds pull_delay{0};
    milliseconds refresh_after{0};

    milliseconds watch_wait{2000};
    milliseconds read_after{3000};     // Age of the confirmation at which a daemon reads itself.
    milliseconds read_interval{2000};  // Shortest time between two reads of one document.
    milliseconds max_backoff{30000};
    milliseconds first_read_jitter{2000};

    // The platform's documents are mirrored by some daemons, and the mirror here is suspended while
    // nobody needs it. Reads of the mirror cost nothing; following the platform does.
    bool mirrored = false;
    // How often a daemon asks one of the readers of its domain, in turn, how old its confirmation
    // by the platform is. With two readers and 23 daemons in a domain a reader answers 23 short
    // digests a second.
    milliseconds reader_poll_interval{500};
    // Age of the newest confirmation by the platform that a peer vouches for at which a daemon
    // follows the platform itself. A reader's is at most the wait of a watch old, and the question
    // and the answer add `reader_poll_interval` and some 100 ms on slow machines.
    milliseconds fallback_after{1500};
    // Daemons that miss their readers at the same time begin to follow within this time.
    milliseconds fallback_jitter{500};
    // A daemon that is no reader and has had no answer from the platform for this long stops
    // trying. Longer than the adapter's time-out of a call, so that a slow platform is reached.
    milliseconds fallback_timeout{1600};
    // Mean time until it tries again, for each daemon of its domain: together the daemons of a
    // domain try twice a second, however many they are.
    milliseconds fallback_retry_interval{500};
    // Following begins with a load of everything, so that it is not ended at once.
    milliseconds min_follow_time{3000};
    // Shortest time between two announcements. The revisions of a series that are replaced within
    // it are not passed on.
    milliseconds min_announcement_interval{0};

    milliseconds max_confirmation_age{4000};
    milliseconds start_timeout{3000};  // How long a start waits for peers or for the platform.

    // Switches with which tests show that a mechanism is needed.
    bool gossip = true;
    bool confirm_by_peers = true;
    bool confirm_by_majority = true;
    bool pull_last_good = true;  // Asks peers for bodies in force when the newest is invalid.
    bool confirm_from_request =
        true;  // Counts confirmations from the request, not from the response.
};

// Sets the times that suit a mirrored platform. `followers`: how many daemons of each failure
// domain follow it and pass its documents on; 0: every daemon follows it.
void use_mirror(core_options& options, std::size_t followers);

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_CORE_OPTIONS_H_
