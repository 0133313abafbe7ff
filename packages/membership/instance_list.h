// The instance list: the parsed document `instances` of one revision. It names the instances of the
// fleet.
//
// Example:
//
//     auto parsed = membership::parse_instance_list(revision, body);
//     if (auto* list = std::get_if<std::shared_ptr<const membership::instance_list>>(&parsed)) {
//         tracker.adopt(now, *list);
//     }

#ifndef TREFOIL_MEMBERSHIP_INSTANCE_LIST_H_
#define TREFOIL_MEMBERSHIP_INSTANCE_LIST_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/result.h"
#include "membership/instance_record.h"

namespace trefoil::membership {

// The body is not JSON.
struct list_syntax_failure {
    std::string detail;

    friend bool operator==(const list_syntax_failure&, const list_syntax_failure&) = default;
};

// A field of the body or of an entry is missing or has a wrong type or value.
struct list_field_failure {
    std::string path;  // For example "instances[3].address".
    std::string expected;

    friend bool operator==(const list_field_failure&, const list_field_failure&) = default;
};

// Two entries have the same id.
struct list_duplicate_failure {
    std::string id;

    friend bool operator==(const list_duplicate_failure&, const list_duplicate_failure&) = default;
};

class instance_list {
public:
    // Requires that the ids of `entries` differ.
    instance_list(std::uint64_t list_revision, std::vector<instance_record> entries);

    std::uint64_t revision() const { return this->revision_number; }

    // The entries in the order of the document. Age vectors (messages::digest) use this order.
    const std::vector<instance_record>& records() const { return this->entries_in_order; }

    // Position of an instance in records().
    std::optional<std::size_t> index_of(std::string_view id) const;

private:
    std::uint64_t revision_number;
    std::vector<instance_record> entries_in_order;
    // Maps each id to its position in `entries_in_order`.
    absl::flat_hash_map<std::string, std::size_t> positions;
};

using instance_list_result = result<std::shared_ptr<const instance_list>, list_syntax_failure,
                                    list_field_failure, list_duplicate_failure>;

// Parses and validates the document. A list with one invalid entry is rejected as a whole.
instance_list_result parse_instance_list(std::uint64_t revision, std::string_view body);

// Describes a failure for logs; empty when the list is valid.
std::string describe(const instance_list_result& parsed);

}  // namespace trefoil::membership

#endif  // TREFOIL_MEMBERSHIP_INSTANCE_LIST_H_
