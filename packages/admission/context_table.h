// Context handles: an upstream that handles a request may send nested calls. A nested call passes
// the handle of its request, and inherits the request's workspace and deadline.
//
// Example:
//
//     admission::context_table contexts;
//     std::string handle = contexts.add({.workspace = "north", .deadline = deadline, .depth = 0});
//     auto nested = contexts.nested_context(handle, clock.now());
//     if (auto* context = std::get_if<admission::call_context>(&nested)) { ... }
//     contexts.remove(handle);

#ifndef TREFOIL_ADMISSION_CONTEXT_TABLE_H_
#define TREFOIL_ADMISSION_CONTEXT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/sharded_map.h"
#include "base/time.h"

namespace trefoil::admission {

// The workspace, deadline and nesting depth of a running request.
struct call_context {
    std::string workspace;  // Empty on routes without authentication.
    mono_time deadline;
    std::uint32_t depth = 0;       // 0 for a call from outside, 1 for the first nested call.
    double retry_probability = 0;  // Probability that the request is a retry.

    friend bool operator==(const call_context&, const call_context&) = default;
};

// The handle was not issued by this process, or its request has ended. The caller treats it like a
// missing handle.
struct unknown_handle {
    friend bool operator==(const unknown_handle&, const unknown_handle&) = default;
};

// The nested call would exceed `max_call_depth`.
struct depth_exceeded {
    friend bool operator==(const depth_exceeded&, const depth_exceeded&) = default;
};

// The deadline of the request has passed.
struct deadline_passed {
    friend bool operator==(const deadline_passed&, const deadline_passed&) = default;
};

constexpr std::uint32_t max_call_depth = 6;

// Safe for concurrent use. There is one handle for each running request, so the gate bounds their
// number.
class context_table {
public:
    // Returns a new handle of 32 hexadecimal digits (128 random bits), valid until remove().
    std::string add(const call_context& context);

    // Invalidates a handle. Unknown handles are ignored.
    void remove(std::string_view handle);

    // Returns the context of a nested call that passes `handle` at `now`: the same workspace and
    // deadline, with the depth increased by one.
    result<call_context, unknown_handle, depth_exceeded, deadline_passed> nested_context(
        std::string_view handle, mono_time now) const;

    std::size_t size() const { return this->contexts.size(); }

private:
    sharded_map<std::string, call_context> contexts;  // By handle.
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_CONTEXT_TABLE_H_
