// The upstreams that an ingress may choose from, by service. A list is built from one configuration
// snapshot and one view of the membership. It is immutable and is replaced as a whole.
//
// Example:
//
//     auto list = std::make_shared<const routing::candidate_list>(by_service);
//     for (const routing::candidate& each : list->of_service("station")) { ... }

#ifndef TREFOIL_ROUTING_CANDIDATE_LIST_H_
#define TREFOIL_ROUTING_CANDIDATE_LIST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace trefoil::routing {

enum class candidate_state : std::uint8_t {
    live,
    leaving,  // Listed as leaving: its upstream must get no new work.
    suspected,
    stopping,  // Its daemon shuts down, but takes calls until its announcement ends.
};

// One instance with the daemon and the upstream on it.
struct candidate {
    std::string instance;
    std::string address;  // "ip:port" at which its daemon accepts peer connections.
    std::string failure_domain;
    candidate_state state = candidate_state::live;
    bool taken_out = false;  // The instance or its failure domain was taken out by operators.

    // Whether new calls may be sent to it.
    bool accepts_work() const {
        bool takes_calls =
            this->state == candidate_state::live || this->state == candidate_state::stopping;
        return takes_calls && !this->taken_out;
    }

    friend bool operator==(const candidate&, const candidate&) = default;
};

// Immutable, therefore safe for concurrent use.
class candidate_list {
public:
    using services = absl::flat_hash_map<std::string, std::vector<candidate>>;

    candidate_list() = default;
    explicit candidate_list(services initial) : by_service(std::move(initial)) {}

    // All candidates of the service, including those that accept no work; empty for an unknown
    // service.
    const std::vector<candidate>& of_service(std::string_view service) const;

    const services& all() const { return this->by_service; }

    friend bool operator==(const candidate_list&, const candidate_list&) = default;

private:
    services by_service;
};

}  // namespace trefoil::routing

#endif  // TREFOIL_ROUTING_CANDIDATE_LIST_H_
