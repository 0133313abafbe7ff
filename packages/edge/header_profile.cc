// Implements the selection of forwarded headers.

#include "edge/header_profile.h"

#include <algorithm>
#include <string_view>

#include "base/text.h"
#include "edge/http_types.h"

namespace trefoil::edge {

std::vector<messages::header> forwardable_request_headers(
    const header_profile& names, const std::vector<messages::header>& headers) {
    auto set_by_daemon = [&names](const messages::header& each) {
        for (std::string_view name :
             {std::string_view(names.request_id), std::string_view(names.deadline),
              std::string_view(names.context), std::string_view(names.workspace),
              std::string_view(names.caller_service), std::string_view(names.expected_upstream)}) {
            if (equal_ignoring_case(each.name, name)) {
                return true;
            }
        }
        return false;
    };
    std::vector<messages::header> kept = forwardable_headers(headers);
    std::erase_if(kept, set_by_daemon);
    return kept;
}

}  // namespace trefoil::edge
