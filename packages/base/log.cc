// Implements structured logging with fmt, and the writer with spdlog.

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

#include "absl/synchronization/mutex.h"
#include "base/hash.h"

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

// Decides which lines are written when they come too fast.
class line_budget {
public:
    void start(const log_writer_options& given) {
        absl::MutexLock lock(&this->mutex);
        this->options = given;
        this->tokens = given.burst_lines;
        this->counted_at = std::chrono::steady_clock::now();
    }

    bool take() {
        absl::MutexLock lock(&this->mutex);
        this->refill();
        return this->spend();
    }

    // Lines of requests leave half of the budget to others, and thin out before.
    bool take_sampled(std::string_view request_id) {
        absl::MutexLock lock(&this->mutex);
        this->refill();
        double filled = this->tokens / this->options.burst_lines;
        constexpr double thin_below = 0.75;
        constexpr double stop_below = 0.5;
        constexpr std::uint64_t one_in = 8;
        bool chosen =
            filled >= thin_below || (filled >= stop_below && checksum64(request_id) % one_in == 0);
        if (!chosen) {
            ++this->refused;
            return false;
        }
        return this->spend();
    }

    // Lines refused since the last call, for the line that says so.
    std::uint64_t take_unreported() {
        absl::MutexLock lock(&this->mutex);
        std::uint64_t count = this->refused - this->reported;
        this->reported = this->refused;
        return count;
    }

    log_totals totals() {
        absl::MutexLock lock(&this->mutex);
        return {.written = this->spent, .over_budget = this->refused};
    }

private:
    void refill() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
        auto now = std::chrono::steady_clock::now();
        std::chrono::duration<double> passed = now - this->counted_at;
        this->counted_at = now;
        this->tokens = std::min(this->options.burst_lines,
                                this->tokens + passed.count() * this->options.lines_per_second);
    }

    bool spend() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
        if (this->tokens < 1) {
            ++this->refused;
            return false;
        }
        this->tokens -= 1;
        ++this->spent;
        return true;
    }

    absl::Mutex mutex;
    // Guarded by mutex.
    log_writer_options options;
    double tokens = options.burst_lines;
    std::chrono::steady_clock::time_point counted_at = std::chrono::steady_clock::now();
    std::uint64_t spent = 0;
    std::uint64_t refused = 0;
    std::uint64_t reported = 0;
};

line_budget& budget() {
    static line_budget instance;
    return instance;
}

struct log_writer {
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
};

// Set once by start_log_writer() and never destroyed, because threads may log until the end.
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

void report_refused() {
    std::uint64_t refused = budget().take_unreported();
    if (refused > 0) {
        write_line(log_level::warning, "log_lines_dropped", {{"count", fmt::to_string(refused)}});
    }
}

bool is_printed(log_level level) {
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
    if (is_printed(level) && budget().take()) {
        report_refused();
        write_line(level, event, fields);
    }
}

void log_sampled(std::string_view event, std::string_view request_id,
                 std::initializer_list<log_field> fields) {
    if (is_printed(log_level::info) && budget().take_sampled(request_id)) {
        write_line(log_level::info, event, fields);
    }
}

void start_log_writer(const log_writer_options& options) {
    budget().start(options);
    auto pool = std::make_shared<spdlog::details::thread_pool>(options.queue_lines, 1);
    // Each line is flushed, so that a killed process leaves what it wrote.
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(std::cout, true);
    auto logger = std::make_shared<spdlog::async_logger>(
        "trefoil", std::move(sink), pool, spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("%v");
    writer.store(new log_writer{.pool = std::move(pool), .logger = std::move(logger)},
                 std::memory_order_release);
}

bool flush_log(std::chrono::milliseconds limit) {
    auto* target = writer.load(std::memory_order_acquire);
    if (target == nullptr) {
        return true;
    }
    report_refused();
    auto end = std::chrono::steady_clock::now() + limit;
    constexpr std::chrono::milliseconds step{5};
    while (target->pool->queue_size() > 0) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(step);
    }
    std::this_thread::sleep_for(step);
    return true;
}

log_totals read_log_totals() {
    log_totals totals = budget().totals();
    if (auto* target = writer.load(std::memory_order_acquire)) {
        totals.overrun = target->pool->overrun_counter();
    }
    return totals;
}

}  // namespace trefoil
