// A small deployment for the scripts: four machines in two zones, one service, one tenant, and a
// route of each kind.

#ifndef TREFOIL_REVIEW_STAGE_2_DEPLOYMENT_H_
#define TREFOIL_REVIEW_STAGE_2_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "stage.h"

namespace stage {

inline const std::string host = "shop.example";
inline const std::string service = "orders";
inline const std::string key = "2b9wu3fexd9dnn2ctnfz";

inline std::vector<machine> four_machines() {
    return {{"zone-a", service}, {"zone-a", service}, {"zone-b", service}, {"zone-b", service}};
}

struct configuration_options {
    int version = 1;
    std::string idle_timeout_s = "15";
    // Routes besides the two usual ones, each with a comma in front.
    std::string more_routes = {};
    bool with_orders = true;
    std::string keys = "\"2b9wu3fexd9dnn2ctnfz\"";
};

inline std::string route(const std::string& name, const std::string& prefix,
                         const std::string& kind) {
    return "\"" + name + "\":{\"Host\":\"" + host + "\",\"Prefix\":\"" + prefix + "\",\"Kind\":\"" +
           kind + "\",\"TimeoutS\":2,\"TargetLatencyS\":0.5,\"Priority\":1,\"Service\":\"" +
           service + "\",\"MaxAttempts\":2,\"Anonymous\":false}";
}

// Returns the value of op/config, with the limits of the pages' example.
inline std::string configuration(const configuration_options& options) {
    std::string routes = route("r-read", "/read/", "idempotent");
    if (options.with_orders) {
        routes += "," + route("r-order", "/order/", "non_idempotent");
    }
    return "{\"Version\":" + std::to_string(options.version) + ",\"Routes\":{" + routes +
           options.more_routes + "},\"Services\":{\"" + service +
           "\":{\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"ColdS\":3.0,\"ColdPerS\":31.0}},"
           "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,"
           "\"IdleTimeoutS\":" +
           options.idle_timeout_s + "},\"Tenants\":{\"huka270\":{\"ApiKeys\":[" + options.keys +
           "],\"Priority\":1}}}";
}

// Returns the start of a client's request, without the empty line that ends its headers.
inline std::string request_head(const std::string& method, const std::string& path,
                                const std::string& attempt, int deadline_ms = 2000) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Token " + key +
           "\r\n";
}

}  // namespace stage

#endif  // TREFOIL_REVIEW_STAGE_2_DEPLOYMENT_H_
