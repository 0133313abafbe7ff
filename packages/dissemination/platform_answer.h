// The results of a read_document action.
//
// Example:
//
//     core.on_platform_answer(now, request, dissemination::platform_unchanged{.revision = 7});

#ifndef TREFOIL_DISSEMINATION_PLATFORM_ANSWER_H_
#define TREFOIL_DISSEMINATION_PLATFORM_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/time.h"

namespace trefoil::dissemination {

// When the platform was read. All fields are empty if it was read on request and its revisions
// identify contents.
struct read_origin {
    std::uint64_t revision = 0;  // Of the whole platform, at that time.
    bool partial = false;        // See platform_reading.
    // The platform had this content at this time. Empty: at the time of the request.
    std::optional<mono_time> at{};

    friend bool operator==(const read_origin&, const read_origin&) = default;
};

struct platform_document {
    std::uint64_t revision = 0;
    std::string body;
    read_origin origin{};

    friend bool operator==(const platform_document&, const platform_document&) = default;
};

// The platform has no document newer than that of the request.
struct platform_unchanged {
    std::uint64_t revision = 0;  // The platform's newest; lower than held when it is stale.
    // Of the content that was read. 0: the revision identifies it.
    std::uint64_t checksum = 0;
    read_origin origin{};

    friend bool operator==(const platform_unchanged&, const platform_unchanged&) = default;
};

// The platform has no document of this name.
struct platform_absent {
    friend bool operator==(const platform_absent&, const platform_absent&) = default;
};

// The platform could not be reached or returned an error.
struct platform_unavailable {
    friend bool operator==(const platform_unavailable&, const platform_unavailable&) = default;
};

using platform_answer =
    std::variant<platform_document, platform_unchanged, platform_absent, platform_unavailable>;

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_PLATFORM_ANSWER_H_
