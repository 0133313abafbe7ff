// An instance as described by the platform's instance list.
//
// Example:
//
//     membership::instance_record record{.id = "station-1", .address = "127.0.0.1:7001"};

#ifndef TREFOIL_MEMBERSHIP_INSTANCE_RECORD_H_
#define TREFOIL_MEMBERSHIP_INSTANCE_RECORD_H_

#include <cstdint>
#include <string>

namespace trefoil::membership {

// State of an instance according to the platform, which may lag behind its actual state.
enum class listed_state : std::uint8_t { live, leaving };

struct instance_record {
    std::string id;
    std::string address;  // "ip:port" at which the daemon accepts peer connections.
    std::string failure_domain;
    std::string site;
    std::string service;  // The service of the upstream beside the daemon.
    listed_state state = listed_state::live;
    // Identifies the current start of the upstream; empty when the platform does not distinguish
    // starts.
    std::string upstream;
    std::uint32_t slots = 0;  // Concurrent requests that the upstream accepts; 0 when not stated.
    // Remaining cold-start time of the upstream when the entry was written, in milliseconds.
    std::uint32_t cold_left_ms = 0;

    friend bool operator==(const instance_record&, const instance_record&) = default;
};

}  // namespace trefoil::membership

#endif  // TREFOIL_MEMBERSHIP_INSTANCE_RECORD_H_
