// Writes events as JSON lines, for the history checker.
//
// Example:
//
//     event_log events("run/upstream.jsonl");
//     events.write(now_us(), "start", {{"request", "7-1"}, {"running", 3}});

#ifndef TREFOIL_TESTING_SUPPORT_EVENT_LOG_H_
#define TREFOIL_TESTING_SUPPORT_EVENT_LOG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace trefoil::testing {

// Microseconds of CLOCK_MONOTONIC, which all processes of a machine share.
std::int64_t now_us();

class event_log {
public:
    // Appends to `path`; an empty path discards all events. Exits the process when the file cannot
    // be opened, because a history with missing events proves nothing.
    explicit event_log(const std::string& path);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    // Appends one line with a single write, so that a killed process leaves whole lines. Safe for
    // concurrent use.
    void write(std::int64_t time_us, const std::string& kind, nlohmann::json fields) const;

private:
    int file = -1;
};

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SUPPORT_EVENT_LOG_H_
