// Implements the origins by comparing the shares of the calling services of each two routes.

#include "routing/call_origins.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace trefoil::routing {

namespace {

// Shortest interval of the decay, which visits every route.
constexpr std::chrono::seconds decay_interval{5};
// A route's origin is determined once per this number of its calls.
constexpr std::size_t calls_per_review = 8;
// Routes with fewer calls are forgotten.
constexpr double min_total = 0.5;
// A service that makes a smaller share of a route's calls does not count as calling it, so that
// single calls of an operator do not change the origin.
constexpr double min_share = 0.05;
// Shares of the expected calls up to which a service counts as not calling the route: until the
// origin is known, and from then on.
constexpr double max_share_to_learn = 0.1;
constexpr double max_share_to_keep = 0.25;

}  // namespace

std::string_view to_string(call_origin origin) {
    switch (origin) {
        case call_origin::callers:
            return "callers";
        case call_origin::upstreams:
            return "upstreams";
        case call_origin::unknown:
            break;
    }
    return "unknown";
}

call_origin call_origin_named(std::string_view name) {
    for (call_origin each : {call_origin::callers, call_origin::upstreams}) {
        if (name == to_string(each)) {
            return each;
        }
    }
    return call_origin::unknown;
}

call_origins::update call_origins::record(const std::string& route,
                                          const std::string& caller_service, std::size_t services,
                                          mono_time now) {
    absl::MutexLock lock(&this->mutex);
    this->decay(now);
    auto [entry, added] = this->routes.try_emplace(route);
    if (added && this->references.size() < max_references) {
        this->references.push_back(route);
    }
    route_calls& calls = entry->second;
    calls.by_service[caller_service] += 1;
    calls.total += 1;
    call_origin before = calls.origin;
    if (calls.until_review == 0) {
        calls.until_review = calls_per_review;
        calls.origin = this->origin_of(calls, services);
    }
    --calls.until_review;
    return {.origin = calls.origin, .changed = calls.origin != before};
}

std::map<std::string, call_origin> call_origins::known() const {
    absl::MutexLock lock(&this->mutex);
    std::map<std::string, call_origin> origins;
    for (const auto& [route, calls] : this->routes) {
        if (calls.origin != call_origin::unknown) {
            origins.emplace(route, calls.origin);
        }
    }
    return origins;
}

// Whether each service that calls `route` calls `other`, too.
bool call_origins::calls_at_least_from_all(const route_calls& other, const route_calls& route) {
    return std::all_of(route.by_service.begin(), route.by_service.end(), [&](const auto& each) {
        const auto& [service, count] = each;
        auto found = other.by_service.find(service);
        bool calls_other = found != other.by_service.end() && found->second >= min_calls;
        return calls_other || count < min_share * route.total;
    });
}

// Whether a service that calls `other` does not call `route`.
bool call_origins::lacks_a_service_of(const route_calls& other, const route_calls& route) {
    bool keep = route.origin == call_origin::upstreams;
    double max_share = keep ? max_share_to_keep : max_share_to_learn;
    return std::any_of(other.by_service.begin(), other.by_service.end(), [&](const auto& each) {
        const auto& [service, count] = each;
        double expected = route.total * count / other.total;
        auto found = route.by_service.find(service);
        double came = found == route.by_service.end() ? 0 : found->second;
        return count >= std::max(min_calls, min_share * other.total) &&
               expected >= (keep ? 0 : min_expected_calls) && came <= max_share * expected;
    });
}

// The reference must be called by all services that call the route. Otherwise a route whose callers
// use some services only would be compared with one that the upstreams of other services call.
call_origin call_origins::origin_of(const route_calls& route, std::size_t services) const {
    bool compared = false;
    for (const std::string& name : this->references) {
        const route_calls& other = this->routes.at(name);
        if (&other == &route || !calls_at_least_from_all(other, route)) {
            continue;
        }
        compared = true;
        if (lacks_a_service_of(other, route)) {
            return call_origin::upstreams;
        }
    }
    auto callers = static_cast<std::size_t>(
        std::count_if(route.by_service.begin(), route.by_service.end(), [&](const auto& each) {
            return each.second >= std::max(min_calls, min_share * route.total / 2);
        }));
    if (services > 1 && callers >= services) {
        return call_origin::callers;
    }
    // Without a reference nothing contradicts what was learned before.
    return compared ? call_origin::unknown : route.origin;
}

void call_origins::decay(mono_time now) {
    if (!this->decayed_at.has_value()) {
        this->decayed_at = now;
    }
    std::chrono::duration<double> since = now - *this->decayed_at;
    if (since < decay_interval) {
        return;
    }
    this->decayed_at = now;
    double factor = std::exp2(-since / half_life);
    for (auto& [name, calls] : this->routes) {
        calls.total *= factor;
        for (auto& [service, count] : calls.by_service) {
            count *= factor;
        }
    }
    std::erase_if(this->routes, [](const auto& each) { return each.second.total < min_total; });
    this->choose_references();
}

void call_origins::choose_references() {
    std::vector<std::pair<double, std::string>> by_calls;
    by_calls.reserve(this->routes.size());
    for (const auto& [route, calls] : this->routes) {
        by_calls.emplace_back(-calls.total, route);
    }
    std::size_t count = std::min(by_calls.size(), max_references);
    auto end = by_calls.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(by_calls.begin(), end, by_calls.end());
    this->references.clear();
    std::transform(by_calls.begin(), end, std::back_inserter(this->references),
                   [](const auto& each) { return each.second; });
}

}  // namespace trefoil::routing
