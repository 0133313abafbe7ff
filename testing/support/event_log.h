// Writes events as JSON lines, the input of the history checker.
//
// Example:
//
//     event_log events("run/upstream.jsonl");
//     events.write(now_us(), "start", {{"request", "7-1"}, {"running", 3}});

#ifndef TREFOIL_TESTING_SUPPORT_EVENT_LOG_H_
#define TREFOIL_TESTING_SUPPORT_EVENT_LOG_H_

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "base/time.h"

namespace trefoil::testing {

// Microseconds of CLOCK_MONOTONIC, so that times of different processes on one machine compare.
inline std::int64_t now_us() {
    return to_microseconds(machine_time_source().now());
}

class event_log {
public:
    // Appends to `path`; an empty path discards all events. Ends the process with status 2 when the
    // file cannot be opened.
    explicit event_log(const std::string& path)
        : file(std::fopen(path.empty() ? "/dev/null" : path.c_str(), "ae")) {
        if (this->file == nullptr) {
            std::perror(path.c_str());
            std::exit(2);
        }
    }
    ~event_log() { std::fclose(this->file); }
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    // Writes and flushes one whole line, so that a killed process leaves no partial line. Safe for
    // concurrent use. Ends the process with status 2 on failure, because checks on an incomplete
    // history are not valid.
    void write(std::int64_t time_us, const std::string& kind, nlohmann::json fields) const {
        fields["t"] = time_us;
        fields["kind"] = kind;
        std::string line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        line.push_back('\n');
        if (std::fwrite(line.data(), 1, line.size(), this->file) != line.size() ||
            std::fflush(this->file) != 0) {
            std::perror("event log");
            std::_Exit(2);
        }
    }

private:
    std::FILE* file;
};

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_EVENT_LOG_H_
