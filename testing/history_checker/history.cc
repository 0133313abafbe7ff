// Implements the checks. Debian has no library for checking histories, and the invariants need only
// interval and order checks, so there is no general search for linearisations.

#include "history_checker/history.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace trefoil::testing {

// Fields that are absent keep their defaults, because each kind has its own fields.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(event, t, kind, request, instance, key, workspace,
                                                target, status, reason, outcome, error, idempotent,
                                                whole, key_seen, running, capacity, base, overlay,
                                                rate, burst)

namespace {

constexpr std::int64_t second_us = 1'000'000;
// "Within seconds" of rules 5, 6 and 11.
constexpr std::int64_t bound_us = 5 * second_us;
// Time in which the gate must notice that its upstream turned cold without warning: it halves its
// limit at most once per 100 ms, so going from 12 to 1 takes four failures and 400 ms.
constexpr std::int64_t cold_notice_us = second_us;
constexpr std::size_t printed_violations = 5;

using event_list = std::vector<const event*>;

// The events of one run by kind and by request.
struct history {
    std::map<std::string, event_list> kinds;
    std::map<std::string, const event*> calls;  // By request.
    std::map<std::string, event_list> starts;   // By request.

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

    event_list of(const std::string& kind) const {
        auto found = this->kinds.find(kind);
        return found == this->kinds.end() ? event_list{} : found->second;
    }

    event_list starts_of(const std::string& request) const {
        auto found = this->starts.find(request);
        return found == this->starts.end() ? event_list{} : found->second;
    }

    // The first event of `kind` for the same instance after `item`, or null.
    const event* first_after(const std::string& kind, const event& item) const {
        for (const event* other : this->of(kind)) {
            if (other->instance == item.instance && other->t > item.t) {
                return other;
            }
        }
        return nullptr;
    }

    // The call from outside that led to `request`, or null.
    const event* root_call(const std::string& request) const {
        auto found = this->calls.find(request.substr(0, request.find('.')));
        return found == this->calls.end() ? nullptr : found->second;
    }
};

void examine(check_result& found, bool holds, const event& item, const std::string& what) {
    ++found.examined;
    if (!holds) {
        found.violations.push_back(fmt::format("t={} {} request={} instance={}: {}", item.t,
                                               item.kind, item.request, item.instance, what));
    }
}

void at_most_once(const history& run, check_result& found) {
    for (const auto& [request, starts] : run.starts) {
        const event* call = run.root_call(request);
        if (call != nullptr && !call->idempotent) {
            examine(found, starts.size() == 1, *starts.back(),
                    fmt::format("non-idempotent, started {} times", starts.size()));
        }
    }
}

void whole_answer(const history& run, check_result& found) {
    for (const event* outcome : run.of("outcome")) {
        if (outcome->error.empty()) {
            examine(found, outcome->whole, *outcome, "not the whole answer to this request");
            bool has_source = outcome->status != 200 || !run.starts_of(outcome->request).empty();
            examine(found, has_source, *outcome, "answered, but no upstream started it");
        }
    }
}

void not_run_true(const history& run, check_result& found) {
    for (const event* outcome : run.of("outcome")) {
        if (outcome->outcome == "not_run") {
            examine(found, run.starts_of(outcome->request).empty(), *outcome,
                    "reported as not run (" + outcome->reason + "), but started");
        }
    }
}

void key_hidden(const history& run, check_result& found) {
    for (const char* kind : {"start", "shed"}) {
        for (const event* seen : run.of(kind)) {
            examine(found, !seen->key_seen, *seen, "the upstream saw a key");
        }
    }
}

void workspace_of_key(const history& run, check_result& found) {
    for (const event* start : run.of("start")) {
        const event* call = run.root_call(start->request);
        examine(found, call != nullptr && call->workspace != "-", *start,
                "no caller with a key of a workspace sent this");
    }
}

// The admission of a request lies between its call and its start. So in every interval the number
// of requests that were both called and started within it is at most burst + rate x length. This
// needs no slack for queueing, and it implies the bound on starts with the longest queueing time as
// slack. Comparing every interval takes quadratic time, which is enough for some thousand requests.
void rate_and_burst(const history& run, check_result& found) {
    for (const event* limit : run.of("limit")) {
        std::vector<std::pair<std::int64_t, const event*>> admitted;  // Call time and first start.
        for (const event* start : run.of("start")) {
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
            examine(found, excess < rounding, *first,
                    fmt::format("workspace {} is {:.1f} requests over its limit in an interval "
                                "that begins here",
                                limit->workspace, excess));
        }
    }
}

void cold_start_load(const history& run, check_result& found) {
    for (const event* start : run.of("start")) {
        bool excused = start->running <= start->capacity;
        for (const event* cold : run.of("cold")) {
            excused = excused || (cold->instance == start->instance && start->t >= cold->t &&
                                  start->t < cold->t + cold_notice_us);
        }
        examine(found, excused, *start,
                fmt::format("{} running with a capacity of {}", start->running, start->capacity));
    }
}

constexpr char leaving[] = "leaving", live[] = "live";
constexpr char taken_out[] = "taken_out", put_back[] = "put_back";

// No start at an instance from `bound_us` after `begin` until the next `end`. Starts elsewhere in
// that time are examined too: they show that there was work to keep away.
template <const char* begin, const char* end>
void no_work_between(const history& run, check_result& found) {
    for (const event* closed : run.of(begin)) {
        const event* reopened = run.first_after(end, *closed);
        for (const event* start : run.of("start")) {
            if (start->t > closed->t + bound_us &&
                (reopened == nullptr || start->t < reopened->t)) {
                examine(found, start->instance != closed->instance, *start,
                        fmt::format("{} us after {}", start->t - closed->t, begin));
            }
        }
    }
}

void key_stops(const history& run, check_result& found) {
    for (const event* revoked : run.of("key_revoked")) {
        for (const auto& [request, call] : run.calls) {
            if (call->key == revoked->key && call->t > revoked->t + bound_us) {
                examine(found, run.starts_of(request).empty(), *call,
                        fmt::format("ran {} us after its key was revoked", call->t - revoked->t));
            }
        }
    }
}

// A planned stop ends with status 0, interrupts no request at its upstream and answers every
// request that it received. A connection that the stopping daemon closes without starting the
// request is not an interruption when the call was made after the stop began.
// Whether the daemon that stopped may end the connection of this call without a response: the call
// came in the moment of the close, which cannot be avoided, and was not passed on.
bool crossed_the_close(const history& run, const event& call, const event& outcome,
                       const event& stop) {
    constexpr std::int64_t crossing_us = 200'000;
    return call.t >= stop.t && outcome.t - call.t <= crossing_us &&
           run.starts_of(outcome.request).empty();
}

void graceful_stop(const history& run, check_result& found) {
    for (const event* stop : run.of("stop")) {
        const event* exited = run.first_after("exited", *stop);
        examine(found, exited != nullptr && exited->status == 0, *stop,
                exited == nullptr ? "did not exit" : fmt::format("status {}", exited->status));
        for (const event* outcome : run.of("outcome")) {
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
                               !crossed_the_close(run, *call->second, *outcome, *stop);
            // Only a connection that ends while a call may be on it makes the outcome unknown.
            bool left_unknown = outcome->reason == "connection_lost" ||
                                (outcome->reason == "stopping" && outcome->outcome == "unknown");
            examine(found, !interrupted && !left_unknown, *outcome,
                    "interrupted by the planned stop of " + stop->instance);
        }
    }
}

void version_never_back(const history& run, check_result& found) {
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> newest;
    for (const event* version : run.of("version")) {
        auto& [base, overlay] = newest[version->instance];
        if (version->base > 0) {  // Otherwise a restarted daemon that does not serve yet.
            examine(found, version->base >= base && version->overlay >= overlay, *version,
                    fmt::format("from base {} overlay {} to base {} overlay {}", base, overlay,
                                version->base, version->overlay));
            base = std::max(base, version->base);
            overlay = std::max(overlay, version->overlay);
        }
    }
}

void bad_version_refused(const history& run, check_result& found) {
    for (const event* bad : run.of("bad_version")) {
        for (const event* version : run.of("version")) {
            bool applied = (bad->base != 0 && version->base == bad->base) ||
                           (bad->overlay != 0 && version->overlay == bad->overlay);
            examine(found, !applied, *version, "a version that is not valid is in force");
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
        for (std::size_t i = 0; i < std::min(check.violations.size(), printed_violations); ++i) {
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
