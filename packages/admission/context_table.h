// Context handles: what an upstream sends back with nested calls, so that its daemon acts for the
// same workspace without the upstream ever seeing a key.
//
// Example:
//
//     std::string handle = contexts.open({.workspace = "north", .deadline = deadline, .depth = 0});
//     std::optional<admission::call_context> context = contexts.find(handle, now);
//     contexts.close(handle);

#ifndef TREFOIL_ADMISSION_CONTEXT_TABLE_H_
#define TREFOIL_ADMISSION_CONTEXT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/sharded_map.h"
#include "base/time.h"

namespace trefoil::admission {

struct call_context {
    std::string workspace;  // Empty on open routes.
    mono_time deadline;
    std::uint32_t depth = 0;  // Of the call that runs.

    friend bool operator==(const call_context&, const call_context&) = default;
};

// Safe for concurrent use.
class context_table {
public:
    // Returns a handle of 128 random bits as hex digits, valid until close() or the deadline.
    std::string open(const call_context& context);

    // Returns nothing for an unknown, closed or expired handle.
    std::optional<call_context> find(const std::string& handle, mono_time now) const;

    void close(const std::string& handle);

    std::size_t size() const { return this->contexts.size(); }

private:
    sharded_map<std::string, call_context> contexts;
};

}  // namespace trefoil::admission

#endif  // TREFOIL_ADMISSION_CONTEXT_TABLE_H_
