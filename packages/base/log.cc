// Implements structured logging with fmt.

#include "base/log.h"

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iterator>

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
    if (level < lowest_level.load(std::memory_order_relaxed)) {
        return;
    }
    fmt::memory_buffer line;
    append_time(line);
    fmt::format_to(std::back_inserter(line), " {} {}", level_names[static_cast<std::size_t>(level)],
                   event);
    for (const log_field& field : fields) {
        fmt::format_to(std::back_inserter(line), " {}=", field.name);
        append_value(line, field.value);
    }
    line.push_back('\n');
    std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace trefoil
