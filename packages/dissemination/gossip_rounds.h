// When a digest is sent to which peer, and since when a reply counts.
//
// A daemon asks once a second. It asks more often while it starts or while its confirmation grows
// old, because only replies confirm: with one question a second the age of the newest confirmation
// that n daemons share grows to about ln(n) seconds.
//
// Example:
//
//     auto next = rounds.next_request(now, peers.chosen(), confirmed_at, platform_confirmed_at);
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

    struct digest_request {
        std::string peer;
        std::uint64_t round = 0;
        bool wants_ages = false;

        friend bool operator==(const digest_request&, const digest_request&) = default;
    };

    // The digest to send now, if any; peers are asked in turn. The times are those of the
    // confirmation from any source and from the platform, if any.
    std::optional<digest_request> next_request(mono_time now, const std::vector<std::string>& peers,
                                               std::optional<mono_time> confirmed_at,
                                               std::optional<mono_time> platform_confirmed_at);

    // The digest to send to one of the domain's readers now, if any, in turn. It asks for no ages.
    std::optional<digest_request> next_reader_request(mono_time now,
                                                      const std::vector<std::string>& readers,
                                                      bool fast);

    // A digest to send at once, outside the turn.
    digest_request start_round(mono_time now, const std::string& peer);

    // The time at which the digest of this round was sent to the peer; at most once per round.
    std::optional<mono_time> finish_round(const std::string& peer, std::uint64_t round);

    // Whether an unasked digest may be sent to a peer now. It may every 200 ms: otherwise two
    // daemons that each hold one newer document would answer each other's digests without a pause
    // until both documents have crossed.
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
    mono_time last_at;       // Start of the interval.
    mono_time last_ages_at;  // When an age vector was last asked for.
    double jitter = 1;       // Factor of the present interval.
    std::uint64_t last_round = 0;
    std::size_t next_peer = 0;
    mono_time last_reader_at;
    double reader_jitter = 1;  // Factor of the present interval.
    std::size_t next_reader = 0;
    std::vector<pending_request> pending_requests;  // At most those of the last seconds.
    absl::flat_hash_map<std::string, mono_time> pushed_at;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_GOSSIP_ROUNDS_H_
