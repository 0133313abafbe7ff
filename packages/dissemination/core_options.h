// Settings of the dissemination core. The confirmation of a daemon is the last time at which its
// documents were known to be the newest. Readers are the daemons of a failure domain that watch the
// platform and pass its documents on to the others of the domain.
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
    std::string address;  // Own peer address; never connected to.
    // Peer addresses to connect to while no instance list is known.
    std::vector<std::string> seeds;

    // Maximum size of a document, uncompressed. Larger ones are not received from peers.
    std::size_t max_document_bytes = std::size_t{1} << 20U;
    // A larger document is received from a peer in several parts. A part delays the calls behind it
    // on the connection by 0.1 s at 10 Mbit/s.
    std::size_t max_part_bytes = std::size_t{128} << 10U;
    // Size of the first part, which tells the size of the document. All daemons of a failure domain
    // request it from its readers.
    std::size_t first_part_bytes = std::size_t{8} << 10U;
    std::size_t gossip_peer_count = 4;
    std::size_t readers_per_domain = 2;
    // In a failure domain with fewer listed instances than this, all are readers.
    std::size_t all_read_below = 0;
    milliseconds round_interval{1000};
    // Interval of the rounds while the daemon starts or while its confirmation is older than
    // `fast_rounds_after`.
    milliseconds fast_round_interval{250};
    milliseconds fast_rounds_after{1500};
    milliseconds rotation_interval{60000};  // Interval at which one gossip peer is replaced.
    // Time without an answer after which a document is requested from another peer.
    milliseconds request_timeout{1000};

    // How long a daemon waits for the platform to deliver a revision that a peer announced before
    // it requests the document from the peer. Applies while the platform answers; 0 requests it at
    // once.
    milliseconds pull_delay{0};
    // Age of an announcement that the platform has not confirmed at which the platform client is
    // asked to look again; 0 never asks.
    milliseconds refresh_after{0};

    milliseconds watch_wait{2000};  // Longest wait of a watch at the platform.
    // Age of the confirmation at which a daemon that is no reader reads from the platform.
    milliseconds read_after{3000};
    milliseconds read_interval{2000};  // Minimum time between two reads of one document.
    milliseconds max_backoff{30000};   // Limit of the exponential backoff of reads.
    milliseconds first_read_jitter{2000};

    // Whether daemons keep a local mirror of the platform's documents. Reads of the mirror are
    // free; keeping it up to date costs calls to the platform and can be suspended. A daemon
    // follows the platform while it keeps its mirror up to date.
    bool mirrored = false;
    // Interval at which a daemon asks the readers of its domain, in turn, for the age of their
    // confirmation by the platform. With two readers and 23 daemons in a domain, a reader answers
    // 23 short digests a second.
    milliseconds reader_poll_interval{500};
    // Age of the newest platform confirmation reported by a peer at which a daemon follows the
    // platform itself. The confirmation of a reader is at most as old as the wait of a watch; the
    // digest request and its reply add `reader_poll_interval` and about 100 ms on slow machines.
    milliseconds fallback_after{1500};
    // Daemons that lose their readers at the same time start to follow at random times within this
    // interval.
    milliseconds fallback_jitter{300};
    // A daemon that is no reader stops following when the platform has not answered for this long.
    // Must exceed the call timeout of the platform client, so that a slow platform can be reached.
    milliseconds fallback_timeout{1600};
    // Mean time until the next attempt, multiplied by the number of daemons in the failure domain:
    // together they try twice a second, whatever the size of the domain.
    milliseconds fallback_retry_interval{500};
    // When a document is larger than `max_part_bytes`, a daemon follows the platform for this long
    // before it requests the other parts from the peer.
    milliseconds large_document_delay{2500};
    // Minimum time between two such attempts if the platform does not answer.
    milliseconds large_document_pause{10'000};
    // Minimum duration of following the platform, because it starts with a load of all documents.
    milliseconds min_follow_time{3000};
    // Minimum time between two announcements. Revisions that are replaced within this time are not
    // announced.
    milliseconds min_announcement_interval{0};

    milliseconds max_confirmation_age{4000};  // An older confirmation no longer counts.
    milliseconds start_timeout{3000};         // How long a start waits for peers or the platform.

    // Tests turn these off to show that each mechanism is needed.
    bool gossip = true;
    bool confirm_by_peers = true;
    bool confirm_by_majority = true;
    // Requests documents in compressed form.
    bool compressed_transfers = true;
    // When the newest revision is invalid here, pulls the revision that peers have in force.
    bool pull_last_good = true;
    // Dates a confirmation from the request and not from the response, which may be read late after
    // a pause of the process.
    bool confirm_from_request = true;
};

// Sets the intervals for a mirrored platform. `followers` daemons of each failure domain with at
// least `min_domain` listed instances follow it and pass its documents on; with 0 followers, and in
// smaller failure domains, every daemon follows it.
void use_mirror(core_options& options, std::size_t followers, std::size_t min_domain = 0);

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_CORE_OPTIONS_H_
