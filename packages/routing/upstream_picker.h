// Chooses the upstream for a call: the one with the shortest expected time to a reply, with a
// preference for the caller's own failure domain.
//
// Example:
//
//     routing::upstream_picker picker({.failure_domain = "d1"});
//     auto choice = picker.pick(list->of_service("station"), tried, loads, now, random);
//     if (const auto* picked = std::get_if<routing::picked_upstream>(&choice)) { ... }

#ifndef TREFOIL_ROUTING_UPSTREAM_PICKER_H_
#define TREFOIL_ROUTING_UPSTREAM_PICKER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "routing/candidate_list.h"
#include "routing/load_table.h"

namespace trefoil::routing {

struct upstream_picker_options {
    std::string failure_domain;  // Of the caller.
    // Half-life of a reported load. It decays because the calls that were counted end.
    std::chrono::milliseconds report_half_life{500};
    // Time for which an instance is not chosen after a connection failure.
    std::chrono::milliseconds connection_failure_backoff{1000};
    // An instance that sent no reply for this time with calls in flight counts as full. Heartbeats
    // detect a silent connection only after 2 s, and until then the instance would get calls up to
    // its limit from every ingress.
    std::chrono::milliseconds full_after_silence{100};
    // A local candidate with at least this score would queue the call, so other failure domains are
    // considered as well.
    double full_score = 1.0;
    // Penalty of a call to another failure domain, as a share of its latency objective: per call
    // and per KiB of payload. Links between failure domains cost more than those within one.
    double cross_domain_penalty = 0.12;
    double cross_domain_penalty_per_kib = 0.25;
    // With more candidates than this, only a few random ones are compared. In a large service an
    // ingress rarely calls the same instance twice, so its load data is old: all ingresses would
    // prefer the same instances and overload them.
    std::size_t max_compared_all = 12;
    // Number of candidates that are compared then, in the own failure domain and in the others.
    std::size_t compared_local = 3;
    std::size_t compared_remote = 2;
    // Time to open a connection, some round trips between busy machines.
    std::chrono::milliseconds connect_time{100};
    // Half-life of a reported share of failures, so that an instance that has recovered gets calls
    // again within seconds.
    std::chrono::milliseconds failing_half_life{2000};
    // Relative random noise that is added to expected times, so that ingresses with the same load
    // data choose different instances of about the same speed.
    double time_noise = 0.1;
    // Added to the expected time of an instance whose daemon shuts down: the objective of the call,
    // at least this. It gets calls that the others cannot serve in time, and calls of a service
    // that has no other instance.
    std::chrono::milliseconds min_stopping_penalty{500};
    // When no reply has arrived for this many mean service times, the time without a reply is added
    // to the expected time.
    double silent_service_times = 2.0;
};

// Properties of the call for which an upstream is chosen.
struct pick_context {
    std::string route;
    std::chrono::milliseconds objective{0};  // 0: none.
    double payload_kib = 0;                  // Of the request and the response.
};

struct picked_upstream {
    candidate chosen;
    double score = 0;  // See upstream_picker::score().

    friend bool operator==(const picked_upstream&, const picked_upstream&) = default;
};

// No candidate of the service can be chosen.
struct no_upstream_available {
    friend bool operator==(const no_upstream_available&, const no_upstream_available&) = default;
};

// Some candidates accept work, but all of them were tried already.
struct every_upstream_tried {
    friend bool operator==(const every_upstream_tried&, const every_upstream_tried&) = default;
};

using pick_result = std::variant<picked_upstream, no_upstream_available, every_upstream_tried>;

// Immutable and therefore safe for concurrent use, with a random source per thread.
//
// With a pick_context, the candidate with the shortest expected time is chosen: the transit time,
// the wait for a slot and the service time of the route at that upstream. A call that fails misses
// its objective, so the share of failures adds that share of the objective. In a large service only
// some random candidates are compared, preferably those with an open connection, and stopping ones
// only if there is no other. Without a context,
// the less loaded of two random candidates is chosen, "the power of two choices" (M. Mitzenmacher,
// 2001).
class upstream_picker {
public:
    explicit upstream_picker(upstream_picker_options initial) : options(std::move(initial)) {}

    // `tried`: instances that the call was already sent to. Chooses by load alone.
    pick_result pick(const std::vector<candidate>& candidates,
                     const std::vector<std::string>& tried, const load_table& loads, mono_time now,
                     random_source& random) const;

    pick_result pick(const std::vector<candidate>& candidates,
                     const std::vector<std::string>& tried, const load_table& loads,
                     const pick_context& context, mono_time now, random_source& random) const;

    // As above, but only among the candidates at these positions, and of at most compared_local of
    // them if they are many. Skips stopping and avoided ones; no_upstream_available if no other is
    // left. The time does not grow with the number of positions, unless most cannot be chosen.
    pick_result pick_among(const std::vector<candidate>& candidates,
                           const std::vector<std::uint32_t>& positions,
                           const std::vector<std::string>& tried, const load_table& loads,
                           const pick_context& context, mono_time now, random_source& random) const;

    // Whether all candidates of a service with this number of them are compared, instead of a few
    // random ones.
    bool compares_all(std::size_t candidates) const {
        return candidates <= this->options.max_compared_all;
    }

    // Expected time from now to the reply of a call at the candidate, including the penalties for
    // another failure domain and for failures.
    mono_duration expected_time(const candidate& target, const load_table& loads,
                                const pick_context& context, mono_time now) const;

    // Load of an instance as a share of its limit, plus a penalty while it sends no replies.
    double score(const instance_load& load, mono_time now) const;

private:
    struct scored {
        const candidate* chosen = nullptr;
        double score = 0;
    };

    struct usable_candidates {
        std::vector<const candidate*> fresh;
        std::vector<const candidate*> avoided;   // In the backoff after a refusal.
        std::vector<const candidate*> stopping;  // Their daemons shut down.
        bool any_tried = false;
    };
    usable_candidates usable(const std::vector<candidate>& candidates,
                             const std::vector<std::string>& tried, const load_table& loads,
                             mono_time now, random_source& random) const;
    // Whether the candidate is live, not tried, and has neither failed nor refused recently.
    bool is_fresh(const candidate& each, const std::vector<std::string>& tried,
                  const instance_load& load, mono_time now) const;
    // Decrements `wanted`; returns false if it is 0 already.
    static bool take_one(std::size_t& wanted);
    const candidate* fastest(const std::vector<const candidate*>& from, const load_table& loads,
                             const pick_context& context, mono_time now,
                             random_source& random) const;
    double failing_share(const instance_load& load, mono_time now) const;
    double silence_penalty(const instance_load& load, mono_time now) const;
    bool recently_failed(const instance_load& load, mono_time now) const;
    scored better_of_two(const std::vector<scored>& from, random_source& random) const;

    upstream_picker_options options;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_UPSTREAM_PICKER_H_
