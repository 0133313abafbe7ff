// Implements the table of context handles.

#include "admission/context_table.h"

#include "base/random.h"

namespace trefoil::admission {

namespace {

constexpr std::size_t handle_bytes = 16;

}  // namespace

std::string context_table::add(const call_context& context) {
    std::string handle = secure_random_hex(handle_bytes);
    this->contexts.update(handle, [&](call_context& stored) { stored = context; });
    return handle;
}

void context_table::remove(std::string_view handle) {
    this->contexts.take(std::string(handle));
}

result<call_context, unknown_handle, depth_exceeded, deadline_passed> context_table::nested_context(
    std::string_view handle, mono_time now) const {
    // The value comes from a request header. A value of another length is no handle, and is
    // rejected before it is copied and hashed.
    if (handle.size() != 2 * handle_bytes) {
        return unknown_handle{};
    }
    std::optional<call_context> found = this->contexts.find(std::string(handle));
    if (!found.has_value()) {
        return unknown_handle{};
    }
    if (found->depth >= max_call_depth) {
        return depth_exceeded{};
    }
    if (found->deadline <= now) {
        return deadline_passed{};
    }
    ++found->depth;
    return *std::move(found);
}

}  // namespace trefoil::admission
