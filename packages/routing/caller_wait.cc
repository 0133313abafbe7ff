// Implements the estimate by comparing each limit with the largest recent one.

#include "routing/caller_wait.h"

#include <algorithm>

namespace trefoil::routing {

std::chrono::milliseconds caller_wait::record(const std::string& route,
                                              std::chrono::milliseconds limit) {
    std::chrono::milliseconds waited{0};
    this->routes.update(route, [&](limits& known) { waited = update(known, limit); });
    return waited;
}

std::chrono::milliseconds caller_wait::update(limits& known, std::chrono::milliseconds limit) {
    if (limit * (1 - full_tolerance) > known.full) {
        known.full = limit;
        known.requests = 0;
        known.with_full = 0;
    }
    known.largest_lately = std::max(known.largest_lately, limit);
    if (--known.until_review == 0) {
        known.until_review = requests_per_review;
        if (known.largest_lately < known.full * (1 - full_tolerance)) {
            known.full = known.largest_lately;
            known.requests = 0;
            known.with_full = 0;
        }
        known.largest_lately = std::chrono::milliseconds(0);
        known.requests /= 2;
        known.with_full /= 2;
    }
    bool full = limit >= known.full * (1 - full_tolerance);
    known.requests += 1;
    known.with_full += full ? 1 : 0;
    bool sure = known.requests >= static_cast<double>(min_requests) &&
                known.with_full >= min_full_share * known.requests;
    return sure && !full ? known.full - limit : std::chrono::milliseconds(0);
}

}  // namespace trefoil::routing
