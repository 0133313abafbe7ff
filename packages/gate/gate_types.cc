// Names of the refusal reasons, as in the refusal table of the design page.

#include "gate/gate_types.h"

namespace trefoil::gate {

std::string_view reason_name(refusal_reason reason) {
    switch (reason) {
        case refusal_reason::overloaded:
            return "overloaded";
        case refusal_reason::stopping:
            return "stopping";
        case refusal_reason::no_upstream:
            return "no_upstream";
        case refusal_reason::deadline_exceeded:
            return "deadline_exceeded";
        case refusal_reason::duplicate:
            return "duplicate";
        case refusal_reason::retry_budget:
            return "retry_budget";
    }
    return "overloaded";
}

}  // namespace trefoil::gate
