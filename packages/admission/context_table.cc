// Implements the table of context handles.

#include "admission/context_table.h"

#include "base/random.h"

namespace trefoil::admission {

namespace {

constexpr std::size_t handle_bytes = 16;

}  // namespace

std::string context_table::open(const call_context& context) {
    std::string handle = secure_random_hex(handle_bytes);
    this->contexts.update(handle, [&](call_context& slot) { slot = context; });
    return handle;
}

std::optional<call_context> context_table::find(const std::string& handle, mono_time now) const {
    auto found = this->contexts.find(handle);
    if (found.has_value() && now >= found->deadline) {
        return std::nullopt;
    }
    return found;
}

void context_table::close(const std::string& handle) {
    this->contexts.take(handle);
}

}  // namespace trefoil::admission
