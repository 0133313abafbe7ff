// Implements the record of refused late calls.

#include "routing/late_refusals.h"

#include "routing/instance_route.h"

namespace trefoil::routing {

void late_refusals::add(const std::string& instance, const std::string& route, mono_time now) {
    this->latest.update(instance_route(instance, route), [now](mono_time& slot) { slot = now; });
}

bool late_refusals::recently_refused(const std::string& instance, const std::string& route,
                                     mono_time now) const {
    auto refused = this->latest.find(instance_route(instance, route));
    return refused.has_value() && now - *refused < retention;
}

void late_refusals::expire(mono_time now) {
    this->latest.erase_if([now](const std::string& /*key*/, mono_time refused) {
        return now - refused >= retention;
    });
}

}  // namespace trefoil::routing
