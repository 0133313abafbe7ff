// Hash for look-ups by std::string_view in a std::unordered_map with std::string keys.

#ifndef TREFOIL_CONFIG_STRING_HASH_H_
#define TREFOIL_CONFIG_STRING_HASH_H_

#include <cstddef>
#include <functional>
#include <string_view>

namespace trefoil::config::detail {

struct string_hash {
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const noexcept {
        return std::hash<std::string_view>{}(text);
    }
};

}  // namespace trefoil::config::detail

#endif  // TREFOIL_CONFIG_STRING_HASH_H_
