// Schedules digest requests to peers and matches the replies. A round is one digest request and its
// reply.
//
// Terms: a daemon's documents are confirmed when they are known to be the newest; the confirmation
// is the last time at which they were (confirmation.h). An age vector states, per instance of the
// list, how long ago that instance was known to hold nothing newer (messages::digest).
//
// A daemon sends one request a second, and more while it starts or while its confirmation is old,
// because only replies confirm: with one request a second, the newest confirmation that n daemons
// share is up to about ln(n) seconds old.
//
// Example:
//
//     auto next = rounds.next_request(now, peers.partners(now), confirmed_at, platform_at);
//     auto requested_at = rounds.finish_round("station-2", digest.round);

#ifndef TREFOIL_DISSEMINATION_GOSSIP_ROUNDS_H_
#define TREFOIL_DISSEMINATION_GOSSIP_ROUNDS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/random.h"
#include "base/time.h"
#include "dissemination/core_options.h"

namespace trefoil::dissemination {

class gossip_rounds {
public:
    gossip_rounds(const core_options& settings, random_source& source, mono_time start);

    // A digest to send to a peer that asks for a reply.
    struct digest_request {
        std::string peer;
        std::uint64_t round = 0;
        bool wants_ages = false;  // Whether the reply shall carry the age vectors.

        friend bool operator==(const digest_request&, const digest_request&) = default;
    };

    // Returns the request to send now, if any; peers are asked in turn. `confirmed_at` is the time
    // of the last confirmation from any source, `platform_confirmed_at` of the last one by the
    // platform.
    std::optional<digest_request> next_request(mono_time now, const std::vector<std::string>& peers,
                                               std::optional<mono_time> confirmed_at,
                                               std::optional<mono_time> platform_confirmed_at);

    // Returns the request to send to a reader of the failure domain now, if any; readers are asked
    // in turn. It requests no ages. `fast` halves the interval.
    std::optional<digest_request> next_reader_request(mono_time now,
                                                      const std::vector<std::string>& readers,
                                                      bool fast);

    // Starts a round with this peer at once, outside the schedule.
    digest_request start_round(mono_time now, const std::string& peer);

    // Returns the time at which the request of this round was sent to the peer and ends the round;
    // nothing for an unknown round.
    std::optional<mono_time> finish_round(const std::string& peer, std::uint64_t round);

    // Returns whether a digest may be sent to a peer without a request now, at most every 200 ms,
    // and if so records it as sent. Without the limit, two daemons that each hold one newer
    // document would answer each other's digests continuously until both documents have arrived.
    bool may_push_digest(mono_time now, const std::string& peer);

    void on_disconnected(const std::string& peer);

private:
    struct pending_request {
        std::string peer;
        std::uint64_t round = 0;
        mono_time requested_at;
    };

    const core_options& options;
    random_source& random;
    mono_time last_at;       // Start of the current interval.
    mono_time last_ages_at;  // When an age vector was last requested.
    double jitter = 1;       // Factor of the current interval.
    std::uint64_t last_round = 0;
    std::size_t next_peer = 0;
    mono_time last_reader_at;
    double reader_jitter = 1;  // Factor of the current interval.
    std::size_t next_reader = 0;
    std::vector<pending_request> pending_requests;  // Rounds of the last seconds without a reply.
    absl::flat_hash_map<std::string, mono_time> pushed_at;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_GOSSIP_ROUNDS_H_
