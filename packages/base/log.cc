// Implements structured logging with fmt and the writer thread with spdlog.

#include "base/log.h"

#include <fmt/chrono.h>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <iterator>
#include <memory>
#include <thread>

#include "base/time.h"

namespace trefoil {

namespace {

constexpr std::array<std::string_view, 5> level_names = {"debug", "info", "warning", "error",
                                                         "off"};

std::atomic<log_level> lowest_level{log_level::info};

bool needs_quotes(std::string_view value) {
    if (value.empty()) {
        return true;
    }
    for (char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
            return true;
        }
    }
    return false;
}

void append_value(fmt::memory_buffer& line, std::string_view value) {
    if (!needs_quotes(value)) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (char c : value) {
        if (c == '"' || c == '\\') {
            line.push_back('\\');
            line.push_back(c);
        } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            fmt::format_to(std::back_inserter(line), "\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            line.push_back(c);
        }
    }
    line.push_back('"');
}

void append_time(fmt::memory_buffer& line) {
    auto now = std::chrono::system_clock::now();
    auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds).count();
    std::time_t time = std::chrono::system_clock::to_time_t(seconds);
    fmt::format_to(std::back_inserter(line), "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(time),
                   milliseconds);
}

log_budget& budget() {
    static log_budget instance;
    return instance;
}

mono_time now() {
    static const machine_time_source clock;
    return clock.now();
}

struct log_writer {
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
    std::size_t queue_lines;
    std::atomic<std::uint64_t> reported_overrun{0};
    std::atomic<mono_time> overrun_checked_at{mono_time::min()};
};

// Set once by start_log_writer() and never destroyed, because threads may log until the process
// ends.
std::atomic<log_writer*> writer{nullptr};

void write_line(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    fmt::memory_buffer line;
    append_time(line);
    fmt::format_to(std::back_inserter(line), " {} {}", level_names[static_cast<std::size_t>(level)],
                   event);
    for (const log_field& field : fields) {
        fmt::format_to(std::back_inserter(line), " {}=", field.name);
        append_value(line, field.value);
    }
    if (auto* target = writer.load(std::memory_order_acquire)) {
        target->logger->log(spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
        return;
    }
    line.push_back('\n');
    std::fwrite(line.data(), 1, line.size(), stdout);
    std::fflush(stdout);
}

void report_dropped(std::uint64_t count) {
    if (count > 0) {
        write_line(log_level::warning, "log_lines_dropped", {{"count", fmt::to_string(count)}});
    }
}

// Reports the number of lines lost to queue overruns, which happen while nobody reads standard
// output. Does nothing while half of the queue or more is in use, so that the report is not lost
// too.
void report_overrun(log_writer& target) {
    std::uint64_t lost = target.pool->overrun_counter();
    std::uint64_t reported = target.reported_overrun.load();
    bool has_room = target.pool->queue_size() < target.queue_lines / 2;
    if (lost > reported && has_room &&
        target.reported_overrun.compare_exchange_strong(reported, lost)) {
        write_line(log_level::warning, "log_lines_overrun",
                   {{"count", fmt::to_string(lost - reported)}});
    }
}

// Calls report_overrun() at most once per report interval, because the check takes the queue's
// lock.
void report_overrun_if_due(mono_time time) {
    auto* target = writer.load(std::memory_order_acquire);
    if (target == nullptr) {
        return;
    }
    mono_time checked_at = target->overrun_checked_at.load(std::memory_order_relaxed);
    bool due = checked_at == mono_time::min() || time - checked_at >= log_budget::report_interval;
    if (due && target->overrun_checked_at.compare_exchange_strong(checked_at, time)) {
        report_overrun(*target);
    }
}

bool is_enabled(log_level level) {
    return level >= lowest_level.load(std::memory_order_relaxed);
}

}  // namespace

std::optional<log_level> parse_log_level(std::string_view name) {
    for (std::size_t i = 0; i < level_names.size(); ++i) {
        if (level_names[i] == name) {
            return static_cast<log_level>(i);
        }
    }
    return std::nullopt;
}

void set_log_level(log_level level) {
    lowest_level.store(level, std::memory_order_relaxed);
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    if (!is_enabled(level)) {
        return;
    }
    mono_time time = now();
    report_overrun_if_due(time);
    report_dropped(budget().take_unreported_drops(time));
    if (budget().take(time)) {
        write_line(level, event, fields);
    }
}

void log_request_event(log_priority priority, std::string_view event, std::string_view request_id,
                       std::initializer_list<log_field> fields) {
    if (!is_enabled(log_level::info)) {
        return;
    }
    mono_time time = now();
    report_overrun_if_due(time);
    report_dropped(budget().take_unreported_drops(time));
    if (budget().take_for_request(priority, request_id, time)) {
        write_line(log_level::info, event, fields);
    }
}

void start_log_writer(const log_writer_options& options) {
    budget().start(options.budget, now());
    auto pool = std::make_shared<spdlog::details::thread_pool>(options.queue_lines, 1);
    // Each line is flushed, so that lines written before the process is killed are not lost.
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(std::cout, true);
    auto logger = std::make_shared<spdlog::async_logger>(
        "trefoil", std::move(sink), pool, spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("%v");
    auto* started = new log_writer{
        .pool = std::move(pool), .logger = std::move(logger), .queue_lines = options.queue_lines};
    writer.store(started, std::memory_order_release);
}

bool flush_log(std::chrono::milliseconds limit) {
    auto* target = writer.load(std::memory_order_acquire);
    if (target == nullptr) {
        return true;
    }
    report_dropped(budget().take_remaining_drops(now()));
    report_overrun(*target);
    auto end = std::chrono::steady_clock::now() + limit;
    constexpr std::chrono::milliseconds poll_interval{5};
    while (target->pool->queue_size() > 0) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    // The writer thread may still be writing the line that it took from the queue last.
    std::this_thread::sleep_for(poll_interval);
    return true;
}

log_totals read_log_totals() {
    log_totals totals{.written = budget().written(), .over_budget = budget().dropped()};
    if (auto* target = writer.load(std::memory_order_acquire)) {
        totals.overrun = target->pool->overrun_counter();
    }
    return totals;
}

}  // namespace trefoil
