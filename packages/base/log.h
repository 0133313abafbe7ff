// Structured log lines on standard error: time, level, event name and fields.
//
// Example:
//
//     trefoil::log(trefoil::log_level::info, "snapshot_applied",
//                  {{"base_revision", fmt::to_string(7)}, {"site", "north"}});
//
// prints `2026-03-01T10:00:00.123Z info snapshot_applied base_revision=7 site=north`. Callers never
// pass a key or the digest of a key as a field.

#ifndef TREFOIL_BASE_LOG_H_
#define TREFOIL_BASE_LOG_H_

#include <fmt/format.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

enum class log_level { debug, info, warning, error, off };

struct log_field {
    std::string_view name;
    std::string value;
};

// Parses "debug", "info", "warning", "error" or "off".
std::optional<log_level> parse_log_level(std::string_view name);

// Sets the lowest level that is printed. Safe for concurrent use.
void set_log_level(log_level level);

// Writes one line. Values with spaces, quotes or control characters are quoted and escaped. Safe
// for concurrent use: each line is written with one call.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

}  // namespace trefoil

#endif  // TREFOIL_BASE_LOG_H_
