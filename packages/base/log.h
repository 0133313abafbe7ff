// Structured log lines on standard output: time, level, event name and fields.
//
// Example:
//
//     trefoil::start_log_writer({});
//     trefoil::log(trefoil::log_level::info, "snapshot_applied",
//                  {{"base_revision", fmt::to_string(7)}, {"site", "north"}});
//     trefoil::log_request_event(log_priority::ordinary, "request", id, {{"status", "200"}});
//
// prints `2026-03-01T10:00:00.123Z info snapshot_applied base_revision=7 site=north`. Callers never
// pass a key or the digest of a key as a field.

#ifndef TREFOIL_BASE_LOG_H_
#define TREFOIL_BASE_LOG_H_

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "base/log_budget.h"

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
// for concurrent use; never blocks once the writer has started.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

// Writes a line of level info about one request; `request_id` decides whether it is written while
// lines come faster than the budget.
void log_request_event(log_priority priority, std::string_view event, std::string_view request_id,
                       std::initializer_list<log_field> fields);

struct log_writer_options {
    // Lines that wait for the writer. Beyond them the oldest are dropped.
    std::size_t queue_lines = 1024;
    log_budget_options budget = {};
};

// Starts the thread that writes lines. Before it, lines are written by their callers. To be called
// once.
void start_log_writer(const log_writer_options& options);

// Gives the writer this time to write what waits, for the end of a process. Returns false when it
// did not manage, because nobody reads standard output.
bool flush_log(std::chrono::milliseconds limit);

// Lines that were not written: for the budget and because the writer was too slow.
struct log_totals {
    std::uint64_t written = 0;
    std::uint64_t over_budget = 0;
    std::uint64_t overrun = 0;

    friend bool operator==(const log_totals&, const log_totals&) = default;
};
log_totals read_log_totals();

}  // namespace trefoil

#endif  // TREFOIL_BASE_LOG_H_
