// Implements the lookup of candidates by service.

#include "routing/candidate_list.h"

namespace trefoil::routing {

const std::vector<candidate>& candidate_list::of_service(std::string_view service) const {
    static const std::vector<candidate> none;
    auto found = this->by_service.find(std::string(service));
    return found == this->by_service.end() ? none : found->second;
}

}  // namespace trefoil::routing
