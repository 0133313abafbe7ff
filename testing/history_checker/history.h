// Events of one test run, and the checks of the system's invariants on them.
//
// A history is the list of all events of a run, ordered by time. Each check examines the events
// that its invariant is about and reports each violation.
//
// Example:
//
//     auto events = read_events({"run/client.jsonl", "run/station-1.jsonl"});
//     for (const check_result& check : check_history(std::get<std::vector<event>>(events))) { ... }

#ifndef TREFOIL_TESTING_HISTORY_CHECKER_HISTORY_H_
#define TREFOIL_TESTING_HISTORY_CHECKER_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"

namespace trefoil::testing {

// One event. `kind` determines which fields have a meaning. "In force" describes the revision of a
// document that a daemon applies to requests.
//
//   call       request, key, workspace ("-": none), idempotent, target    by the load client
//   outcome    request, status, reason, outcome, error, whole             by the load client
//   start, end request, instance, running, capacity, key_seen, status     by the upstream double
//   shed       fields of start; refused before it ran                     by the upstream double
//   cold       instance; began a cold start without notice                by the upstream double
//   limit      workspace, rate, burst                                     by the scenario
//   leaving, live    instance; its state in the instance list changes     by the scenario
//   taken_out, put_back    instance; its failure domain is taken out of
//                          service or returned to service                 by the scenario
//   key_revoked    key                                                    by the scenario
//   stop       instance, target; written just before SIGTERM is sent      by the scenario
//   exited     instance, status; exit status after a planned stop         by the scenario
//   version    instance, base, overlay; revisions in force, 0: none       by the scenario
//   accepted   base, overlay; revisions of published valid documents      by the scenario
//   bad_version    base, overlay; invalid revisions, 0: none              by the scenario
//
// `request` is the identifier of a request and `key` the label of a workspace key, never the key
// itself. `whole`: the response is complete and belongs to the request. `key_seen`: the request
// that reached the upstream contained a workspace key. `running` counts the requests that the
// upstream runs and `capacity` those that it can run. `status` is an HTTP status, except in
// `exited`; in `end` it is 0 when the caller closed the connection first. `rate` is in requests per
// second.
//
// A nested call has the identifier of its parent with ".1" appended.
struct event {
    std::int64_t t = 0;  // Microseconds of CLOCK_MONOTONIC.
    std::string kind = {}, request = {}, instance = {}, key = {}, workspace = {}, target = {};
    std::int64_t status = 0;
    std::string reason = {}, outcome = {}, error = {};
    bool idempotent = false, whole = false, key_seen = false;
    std::int64_t running = 0, capacity = 0;
    std::uint64_t base = 0, overlay = 0;
    double rate = 0, burst = 0;

    friend bool operator==(const event&, const event&) = default;
};

struct check_result {
    std::string name;
    std::size_t examined = 0;  // 0 when the history did not exercise this check.
    std::vector<std::string> violations;

    friend bool operator==(const check_result&, const check_result&) = default;
};

// A file that cannot be read (`line` is 0), or a line that is not an event (counted from 1).
struct read_failure {
    std::string file;
    std::size_t line = 0;

    friend bool operator==(const read_failure&, const read_failure&) = default;
};

// Reads the JSON lines of all files and returns the events ordered by time.
result<std::vector<event>, read_failure> read_events(const std::vector<std::string>& files);

// Runs every check. `events` must be the complete history of a run, ordered by time.
std::vector<check_result> check_history(const std::vector<event>& events);

// Formats one line per check, followed by its first violations.
std::string describe(const std::vector<check_result>& checks);

bool all_hold(const std::vector<check_result>& checks);

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_HISTORY_CHECKER_HISTORY_H_
