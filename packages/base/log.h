// Structured logging to standard output. A line has a time, a level, an event name and fields.
//
// Example:
//
//     trefoil::start_log_writer({});
//     trefoil::log(trefoil::log_level::info, "snapshot_applied",
//                  {{"base_revision", fmt::to_string(7)}, {"site", "north"}});
//
// prints `2026-03-01T10:00:00.123Z info snapshot_applied base_revision=7 site=north`. Lines about
// one request are logged with log_request_event(). Callers must never pass an API key or the digest
// of one as a field.

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

// Parses "debug", "info", "warning", "error" or "off"; returns nullopt for any other text.
std::optional<log_level> parse_log_level(std::string_view name);

// Sets the lowest level that is written. Safe for concurrent use.
void set_log_level(log_level level);

// Writes one line. Values that are empty or contain spaces, quotes, equals signs, backslashes or
// control characters are quoted and escaped. Safe for concurrent use; never blocks once
// start_log_writer() has been called.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

// Writes a line of level info about one request. While lines exceed the budget, `request_id`
// decides whether the line is written (see log_budget::take_for_request()).
void log_request_event(log_priority priority, std::string_view event, std::string_view request_id,
                       std::initializer_list<log_field> fields);

struct log_writer_options {
    // Capacity of the queue to the writer thread. When it is full, the oldest lines are dropped.
    std::size_t queue_lines = 1024;
    log_budget_options budget = {};
};

// Starts the writer thread. Before this call, lines are written synchronously by the calling
// thread. Must be called at most once.
void start_log_writer(const log_writer_options& options);

// Waits at most `limit` for the writer thread to empty its queue, for use at the end of a process.
// Returns false on time-out, which happens when nobody reads standard output.
bool flush_log(std::chrono::milliseconds limit);

// Numbers of lines passed to the writer, dropped by the log budget, and dropped because the
// writer's queue overran.
struct log_totals {
    std::uint64_t written = 0;
    std::uint64_t over_budget = 0;
    std::uint64_t overrun = 0;

    friend bool operator==(const log_totals&, const log_totals&) = default;
};
log_totals read_log_totals();

}  // namespace trefoil

#endif  // TREFOIL_BASE_LOG_H_
