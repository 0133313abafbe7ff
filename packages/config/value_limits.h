// Ranges of the values in a configuration document. Validation rejects values outside of them, and
// entry_adjuster.h brings the values of a generated document into them.
//
// Example:
//
//     auto slots = config::read_integer(field, config::slots_limits, failures);

#ifndef TREFOIL_CONFIG_VALUE_LIMITS_H_
#define TREFOIL_CONFIG_VALUE_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace trefoil::config {

// Both bounds are inclusive.
template <class Number>
struct value_range {
    Number min{};
    Number max{};

    friend bool operator==(const value_range&, const value_range&) = default;
};

// The largest integer that every JSON and YAML parser represents exactly (2^53 - 1).
inline constexpr std::uint64_t exact_integer_max = (std::uint64_t{1} << 53U) - 1;

inline constexpr value_range<std::uint64_t> version_limits{1, exact_integer_max};
inline constexpr value_range<std::uint32_t> instance_count_limits{1, 100'000};
// Up to one day.
inline constexpr value_range<std::uint32_t> milliseconds_limits{1, 86'400'000};
inline constexpr value_range<std::uint32_t> priority_limits{0, 1'000};
inline constexpr value_range<std::uint32_t> attempts_limits{1, 100};
inline constexpr value_range<std::uint32_t> slots_limits{1, 100'000};
inline constexpr value_range<std::uint32_t> queue_limits{0, 100'000};
inline constexpr value_range<std::uint32_t> connections_limits{1, 1'000'000};
inline constexpr value_range<std::uint32_t> header_bytes_limits{1'024, 1U << 20U};
inline constexpr value_range<std::uint32_t> body_bytes_limits{0, 1U << 30U};
inline constexpr value_range<double> availability_limits{0.001, 0.999999};
// Requests per second.
inline constexpr value_range<double> cold_rate_limits{0.001, 1e7};
// Requests per second. At a lower rate the share of one daemon in a large fleet would be less than
// one token per day.
inline constexpr value_range<double> rate_limits{0.01, 1e7};
inline constexpr value_range<double> burst_limits{1, 1e7};  // Requests.
// A part of a split with a weight below `min`, for example 0, gets no requests.
inline constexpr value_range<double> split_weight_limits{1e-6, 1e9};

inline constexpr std::size_t host_bytes_max = 1'024;
inline constexpr std::size_t path_prefix_bytes_max = 16'384;

}  // namespace trefoil::config

#endif  // TREFOIL_CONFIG_VALUE_LIMITS_H_
