// Implements the checks. The invariants need only interval and order checks, so there is no general
// linearizability search, for which Debian has no library.

#include "history_checker/history.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace trefoil::testing {

// Absent fields keep their defaults, because each kind of event has its own subset of fields.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(event, t, kind, request, instance, key, workspace,
                                                target, status, reason, outcome, error, idempotent,
                                                whole, key_seen, running, capacity, base, overlay,
                                                rate, burst)

namespace {

constexpr std::int64_t second_us = 1'000'000;
// Time within which every daemon must apply the revocation of a key, the `leaving` state of an
// instance and the removal of a failure domain from service.
constexpr std::int64_t propagation_bound_us = 5 * second_us;
// Time within which the gate must detect an unannounced cold start of its upstream: it halves its
// limit at most once per 100 ms, so reducing it from 12 to 1 takes four failures and 400 ms.
constexpr std::int64_t cold_detection_us = second_us;
constexpr std::size_t max_printed_violations = 5;

using event_list = std::vector<const event*>;

// Index of the events of one run by kind and by request.
struct history {
    std::map<std::string, event_list> kinds;
    std::map<std::string, const event*> calls;  // By request identifier.
    std::map<std::string, event_list> starts;   // By request identifier.

    explicit history(const std::vector<event>& events) {
        for (const event& item : events) {
            this->kinds[item.kind].push_back(&item);
            if (item.kind == "call") {
                this->calls[item.request] = &item;
            } else if (item.kind == "start") {
                this->starts[item.request].push_back(&item);
            }
        }
    }

    event_list events_of(const std::string& kind) const {
        auto found = this->kinds.find(kind);
        return found == this->kinds.end() ? event_list{} : found->second;
    }

    event_list starts_of(const std::string& request) const {
        auto found = this->starts.find(request);
        return found == this->starts.end() ? event_list{} : found->second;
    }

    // The first event of `kind` for the same instance after `item`, or null.
    const event* first_after(const std::string& kind, const event& item) const {
        for (const event* other : this->events_of(kind)) {
            if (other->instance == item.instance && other->t > item.t) {
                return other;
            }
        }
        return nullptr;
    }

    // The load client's call with this identifier or, for a nested call, the call at the root of
    // its chain. Null when there is none.
    const event* root_call(const std::string& request) const {
        auto found = this->calls.find(request.substr(0, request.find('.')));
        return found == this->calls.end() ? nullptr : found->second;
    }
};

// Counts `item` as examined by the check and adds a violation unless `holds`.
void record_check(check_result& found, bool holds, const event& item, const std::string& what) {
    ++found.examined;
    if (!holds) {
        found.violations.push_back(fmt::format("t={} {} request={} instance={}: {}", item.t,
                                               item.kind, item.request, item.instance, what));
    }
}

// A request that is not idempotent, and each nested call that it causes, starts at most once.
void at_most_once(const history& run, check_result& found) {
    for (const auto& [request, starts] : run.starts) {
        const event* call = run.root_call(request);
        if (call != nullptr && !call->idempotent) {
            record_check(found, starts.size() == 1, *starts.back(),
                         fmt::format("non-idempotent, started {} times", starts.size()));
        }
    }
}

// Each response is complete, belongs to its request and, with status 200, comes from an upstream
// that started the request.
void whole_answer(const history& run, check_result& found) {
    for (const event* outcome : run.events_of("outcome")) {
        if (outcome->error.empty()) {
            record_check(found, outcome->whole, *outcome,
                         "incomplete response, or the response to another request");
            bool has_source = outcome->status != 200 || !run.starts_of(outcome->request).empty();
            record_check(found, has_source, *outcome,
                         "status 200, but no upstream started the request");
        }
    }
}

// A request that is reported as not run was started by no upstream.
void not_run_true(const history& run, check_result& found) {
    for (const event* outcome : run.events_of("outcome")) {
        if (outcome->outcome == "not_run") {
            record_check(
                found, run.starts_of(outcome->request).empty(), *outcome,
                "reported as not run (" + outcome->reason + "), but an upstream started it");
        }
    }
}

// No request carries a workspace key to an upstream.
void key_hidden(const history& run, check_result& found) {
    for (const char* kind : {"start", "shed"}) {
        for (const event* seen : run.events_of(kind)) {
            record_check(found, !seen->key_seen, *seen,
                         "the request reached the upstream with a workspace key");
        }
    }
}

// Each start is caused by a call with a valid workspace key.
void workspace_of_key(const history& run, check_result& found) {
    for (const event* start : run.events_of("start")) {
        const event* call = run.root_call(start->request);
        record_check(found, call != nullptr && call->workspace != "-", *start,
                     "not caused by a call with a valid workspace key");
    }
}

// Each workspace stays within its rate and burst.
//
// A request is admitted between its call and its start. In every interval, the number of requests
// that were both called and started within it is therefore at most burst + rate x length. This
// bound needs no slack for queueing, and it implies a bound on starts with the maximum queueing
// time as slack. Comparing all intervals takes quadratic time, which is fast enough for thousands
// of requests.
void rate_and_burst(const history& run, check_result& found) {
    for (const event* limit : run.events_of("limit")) {
        std::vector<std::pair<std::int64_t, const event*>> admitted;  // Call time and first start.
        for (const event* start : run.events_of("start")) {
            auto call = run.calls.find(start->request);  // Nested calls are not charged.
            if (call != run.calls.end() && call->second->workspace == limit->workspace &&
                run.starts_of(start->request).front() == start) {
                admitted.emplace_back(call->second->t, start);
            }
        }
        for (const auto& [from, first] : admitted) {
            double count = 0;
            double excess = 0;
            for (const auto& [called, start] : admitted) {
                double seconds = static_cast<double>(start->t - from) / second_us;
                if (called >= from) {
                    ++count;
                    excess = std::max(excess, count - limit->burst - limit->rate * seconds);
                }
            }
            constexpr double rounding = 1e-6;
            record_check(
                found, excess < rounding, *first,
                fmt::format("workspace {} is {:.1f} requests over its limit in an interval "
                            "that begins here",
                            limit->workspace, excess));
        }
    }
}

// No upstream runs more requests than its capacity, except for `cold_detection_us` after an
// unannounced cold start.
void cold_start_load(const history& run, check_result& found) {
    for (const event* start : run.events_of("start")) {
        bool excused = start->running <= start->capacity;
        for (const event* cold : run.events_of("cold")) {
            excused = excused || (cold->instance == start->instance && start->t >= cold->t &&
                                  start->t < cold->t + cold_detection_us);
        }
        record_check(found, excused, *start,
                     fmt::format("{} requests running at a capacity of {}", start->running,
                                 start->capacity));
    }
}

constexpr char leaving[] = "leaving", live[] = "live";
constexpr char taken_out[] = "taken_out", put_back[] = "put_back";

// No request starts at an instance from `propagation_bound_us` after the event `begin` until the
// next event `end`. Starts at other instances in that time count as examined: without them there
// was no work that could have been routed to this instance.
template <const char* begin, const char* end>
void no_work_between(const history& run, check_result& found) {
    for (const event* closed : run.events_of(begin)) {
        const event* reopened = run.first_after(end, *closed);
        for (const event* start : run.events_of("start")) {
            if (start->t > closed->t + propagation_bound_us &&
                (reopened == nullptr || start->t < reopened->t)) {
                record_check(found, start->instance != closed->instance, *start,
                             fmt::format("{} us after {}", start->t - closed->t, begin));
            }
        }
    }
}

// No call made later than `propagation_bound_us` after the revocation of its key starts.
void key_stops(const history& run, check_result& found) {
    for (const event* revoked : run.events_of("key_revoked")) {
        for (const auto& [request, call] : run.calls) {
            if (call->key == revoked->key && call->t > revoked->t + propagation_bound_us) {
                record_check(found, run.starts_of(request).empty(), *call,
                             fmt::format("started although called {} us after its key was revoked",
                                         call->t - revoked->t));
            }
        }
    }
}

// Whether the stopping daemon may have closed the connection of this call without a response. That
// is allowed when the call raced with the close, which cannot be avoided: it was made after the
// stop began, it failed within 200 ms, and it was not forwarded to an upstream.
bool raced_with_close(const history& run, const event& call, const event& outcome,
                      const event& stop) {
    constexpr std::int64_t max_race_us = 200'000;
    return call.t >= stop.t && outcome.t - call.t <= max_race_us &&
           run.starts_of(outcome.request).empty();
}

// A daemon that is stopped as planned exits with status 0, interrupts no request at its upstream
// and responds to every request that it received, except for calls that raced with the close.
void graceful_stop(const history& run, check_result& found) {
    for (const event* stop : run.events_of("stop")) {
        const event* exited = run.first_after("exited", *stop);
        record_check(found, exited != nullptr && exited->status == 0, *stop,
                     exited == nullptr ? "the daemon did not exit"
                                       : fmt::format("status {}", exited->status));
        for (const event* outcome : run.events_of("outcome")) {
            auto call = run.calls.find(outcome->request);
            if (call == run.calls.end() || outcome->t < stop->t ||
                (exited != nullptr && call->second->t > exited->t)) {
                continue;
            }
            event_list starts = run.starts_of(outcome->request);
            bool ran_here = std::any_of(starts.begin(), starts.end(), [&](const event* start) {
                return start->instance == stop->instance;
            });
            bool sent_here = call->second->target == stop->target;
            bool lost = outcome->error == "reset" || outcome->error == "timeout";
            bool interrupted = lost && (ran_here || sent_here) &&
                               !raced_with_close(run, *call->second, *outcome, *stop);
            // Both responses mean that a connection closed with a call in flight.
            bool unknown_outcome = outcome->reason == "connection_lost" ||
                                   (outcome->reason == "stopping" && outcome->outcome == "unknown");
            record_check(
                found, !interrupted && !unknown_outcome, *outcome,
                "interrupted or of unknown outcome during the planned stop of " + stop->instance);
        }
    }
}

// The revisions in force in a daemon never decrease, also across restarts.
void version_never_back(const history& run, check_result& found) {
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> newest;
    for (const event* version : run.events_of("version")) {
        auto& [base, overlay] = newest[version->instance];
        if (version->base > 0) {  // 0: a restarted daemon that has no documents yet.
            record_check(found, version->base >= base && version->overlay >= overlay, *version,
                         fmt::format("from base {} overlay {} to base {} overlay {}", base, overlay,
                                     version->base, version->overlay));
            base = std::max(base, version->base);
            overlay = std::max(overlay, version->overlay);
        }
    }
}

// No daemon puts an invalid revision into force.
void bad_version_refused(const history& run, check_result& found) {
    for (const event* bad : run.events_of("bad_version")) {
        for (const event* version : run.events_of("version")) {
            bool applied = (bad->base != 0 && version->base == bad->base) ||
                           (bad->overlay != 0 && version->overlay == bad->overlay);
            record_check(found, !applied, *version, "an invalid revision is in force");
        }
    }
}

}  // namespace

result<std::vector<event>, read_failure> read_events(const std::vector<std::string>& files) {
    std::vector<event> events;
    for (const std::string& name : files) {
        std::ifstream file(name);
        if (!file) {
            return read_failure{.file = name};
        }
        std::size_t number = 0;
        for (std::string line; std::getline(file, line);) {
            ++number;
            try {
                events.push_back(nlohmann::json::parse(line).get<event>());
            } catch (const nlohmann::json::exception&) {
                return read_failure{.file = name, .line = number};
            }
        }
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const event& left, const event& right) { return left.t < right.t; });
    return events;
}

std::vector<check_result> check_history(const std::vector<event>& events) {
    constexpr std::pair<const char*, void (*)(const history&, check_result&)> checks[] = {
        {"at_most_once", at_most_once},
        {"whole_answer", whole_answer},
        {"not_run_true", not_run_true},
        {"key_hidden", key_hidden},
        {"workspace_of_key", workspace_of_key},
        {"rate_and_burst", rate_and_burst},
        {"cold_start_load", cold_start_load},
        {"no_work_after_leaving", no_work_between<leaving, live>},
        {"no_work_after_taken_out", no_work_between<taken_out, put_back>},
        {"key_stops", key_stops},
        {"graceful_stop", graceful_stop},
        {"version_never_back", version_never_back},
        {"bad_version_refused", bad_version_refused}};
    history run(events);
    std::vector<check_result> results;
    for (const auto& [name, check] : checks) {
        results.push_back({.name = name});
        check(run, results.back());
    }
    return results;
}

std::string describe(const std::vector<check_result>& checks) {
    std::string text;
    for (const check_result& check : checks) {
        const char* verdict = check.examined == 0 ? "not exercised" : "holds";
        text += fmt::format("{:<26}{:<15}examined={} violations={}\n", check.name,
                            check.violations.empty() ? verdict : "VIOLATED", check.examined,
                            check.violations.size());
        for (std::size_t i = 0; i < std::min(check.violations.size(), max_printed_violations);
             ++i) {
            text += "    " + check.violations[i] + "\n";
        }
    }
    return text;
}

bool all_hold(const std::vector<check_result>& checks) {
    return std::all_of(checks.begin(), checks.end(),
                       [](const check_result& check) { return check.violations.empty(); });
}

}  // namespace trefoil::testing
