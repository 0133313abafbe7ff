// Runs one fault scenario against daemon processes: scenario --name kill --seed 7 --trefoild PATH.
// Prints measurements and a verdict per check. Exits with 0 when every check holds and the scenario
// exercised its required checks, 1 when not, 2 when it could not run.

#include <algorithm>
#include <filesystem>

#include "base/random.h"
#include "history_checker/history.h"
#include "scenario/fleet.h"
#include "support/program.h"

namespace trefoil::testing {

namespace {

// Pause between the start of the fleet and the first load: a daemon's share of each rate limit
// becomes active 4 s after its start.
constexpr std::int64_t share_activation_ms = 4'500;

struct scenario {
    std::string name;
    int load_seconds;
    // The run fails if this check examined no event, because the fault then had no effect.
    std::string required_check;
    std::function<void(fleet&, seeded_random&)> steps;
    // Service time of the upstreams. Longer in scenarios whose fault must affect running requests.
    int service_ms = 5;
};

member& random_member(fleet& run, seeded_random& random) {
    return run.members[random.below(run.members.size())];
}

void pause_random_ms(seeded_random& random, std::uint64_t milliseconds) {
    pause_ms(static_cast<std::int64_t>(random.below(milliseconds)));
}

void kill_and_restart(fleet& run, seeded_random& random) {
    for (int i = 0; i < 2; ++i) {
        member& victim = random_member(run, random);
        victim.daemon->kill();
        pause_random_ms(random, 2000);
        run.start_daemon(victim);
        pause_ms(1000);
    }
}

// Suspends a daemon for longer than the heartbeat and confirmation timeouts while documents change.
void suspend_daemon(fleet& run, seeded_random& random) {
    member& victim = random_member(run, random);
    victim.daemon->signal(SIGSTOP);
    run.publish();
    pause_ms(2500);
    pause_random_ms(random, 3000);
    victim.daemon->signal(SIGCONT);
}

void fail_platform(fleet& run, seeded_random& random) {
    std::string faults = run.platform_url + "/faults";
    run.control("PUT", faults, R"({"down": true})");
    pause_ms(5000);
    // Every second read returns outdated documents, as from a lagging replica.
    run.control("PUT", faults, R"({"stale": true, "stale_every": 2})");
    for (int i = 0; i < 4; ++i) {
        run.publish();
        pause_random_ms(random, 400);
    }
    pause_ms(1000);
    run.control("PUT", faults, "{}");
}

void record_domain_event(const fleet& run, const std::string& failure_domain,
                         const std::string& kind) {
    for (const member& item : run.members) {
        if (item.failure_domain == failure_domain) {
            run.record_event(kind, {{"instance", item.name}});
        }
    }
}

// Takes a failure domain out of service and returns it; meanwhile an instance of another domain is
// leaving.
void take_domain_out(fleet& run, seeded_random& random) {
    std::string failure_domain = random_member(run, random).failure_domain;
    run.domains_taken_out = {failure_domain};
    run.publish();
    record_domain_event(run, failure_domain, "taken_out");
    member& leaving = run.members[failure_domain == "d1" ? 1 : 0];
    leaving.state = "leaving";
    run.publish_instances();
    run.record_event("leaving", {{"instance", leaving.name}});
    pause_ms(7500);
    run.domains_taken_out.clear();
    record_domain_event(run, failure_domain, "put_back");
    run.publish();
}

void revoke_key(fleet& run, seeded_random& random) {
    pause_random_ms(random, 500);
    run.revoked_keys = {"n2"};
    run.publish();
    run.record_event("key_revoked", {{"key", "n2"}});
}

// Restarts a daemon while the newest base document is invalid.
void restart_with_invalid_base(fleet& run, seeded_random& random) {
    run.publish_invalid_base();
    pause_random_ms(random, 2000);
    member& victim = random_member(run, random);
    victim.daemon->kill();
    run.start_daemon(victim);
    pause_ms(4000);
    run.publish();
}

void kill_and_restart_all(fleet& run, seeded_random& random) {
    run.publish();
    pause_random_ms(random, 1000);
    for (member& item : run.members) {
        item.daemon->kill();
    }
    for (member& item : run.members) {
        run.start_daemon(item);
    }
}

// Times for which a throttled daemon alternately runs and is suspended by SIGSTOP.
struct duty_cycle {
    std::int64_t running_ms;
    std::int64_t suspended_ms;
};

// The daemon runs 5 % of the time. The history checker accepts a failed call as a race with the
// close of its connection for 200 ms. The pauses are longer, so a call that arrives during a pause
// and fails is reported.
constexpr duty_cycle short_pauses{.running_ms = 20, .suspended_ms = 380};
// The pauses exceed the 2 s after which peers consider a connection with outstanding calls silent.
constexpr duty_cycle long_pauses{.running_ms = 100, .suspended_ms = 2400};

// Alternately suspends and resumes the stopping daemon until it has exited.
void wait_stopped_throttled(fleet& run, member& item, const duty_cycle& cycle) {
    constexpr int max_periods = 100;
    for (int i = 0; i < max_periods; ++i) {
        pause_ms(cycle.running_ms);
        if (item.daemon->wait(std::chrono::milliseconds(0)).has_value()) {
            break;
        }
        item.daemon->signal(SIGSTOP);
        pause_ms(cycle.suspended_ms);
        item.daemon->signal(SIGCONT);
    }
    run.wait_stopped(item);
}

// Callers use persistent connections to the stopping daemon until it closes them.
void load_with_persistent_connections(fleet& run, seeded_random& random) {
    for (const char* method : {"GET", "POST"}) {
        run.start_load(
            std::string("kept-") + method,
            {"--path", "/station/a", "--path", "/dosing/c", "--method", method, "--kept-idle-ms",
             "3000", "--callers", "60", "--seed", std::to_string(random.below(1'000'000))},
            14);
    }
}

void stop_daemons_in_turn(fleet& run, seeded_random& random) {
    load_with_persistent_connections(run, random);
    pause_random_ms(random, 1000);
    for (int i = 0; i < 3; ++i) {
        member& item = random_member(run, random);
        bool throttled = random.below(2) == 0;
        run.begin_stop(item);
        if (throttled) {
            wait_stopped_throttled(run, item, short_pauses);
        } else {
            run.wait_stopped(item);
        }
        run.start_daemon(item);
        run.wait_ready(item);
    }
}

// Suspends stopping daemons for seconds at a time: peers must treat them as slow and not as lost.
void stop_slowed_daemons(fleet& run, seeded_random& random) {
    load_with_persistent_connections(run, random);
    for (int i = 0; i < 2; ++i) {
        pause_random_ms(random, 1000);
        member& item = random_member(run, random);
        run.begin_stop(item);
        wait_stopped_throttled(run, item, long_pauses);
        run.start_daemon(item);
        run.wait_ready(item);
    }
}

// Triggers an unannounced cold start of one random upstream, then kills and restarts a random one.
// The additional load keeps more requests running than a cold upstream can handle.
void cold_start_and_kill_upstream(fleet& run, seeded_random& random) {
    run.start_load("heavy", {"--path", "/station/a", "--rate", "300", "--callers", "40"}, 8);
    pause_ms(2500);
    run.control("POST", "http://" + random_member(run, random).upstream + "/control",
                R"({"cold": true})");
    pause_ms(2000);
    member& victim = random_member(run, random);
    victim.upstream_process->kill();
    pause_random_ms(random, 1000);
    run.start_upstream(victim);
}

void exceed_workspace_limit(fleet& run, seeded_random&) {
    run.start_load("noisy", {"--path", "/station/a", "--rate", "600", "--callers", "10"}, 5);
}

// Sends calls with two levels of nested calls, and calls with a context handle that no
// daemon issued.
void send_nested_calls(fleet& run, seeded_random&) {
    std::string path = "/station/a?call=%2Fdosing%2Fb%3Fcall%3D%252Fstation%252Fc";
    run.start_load("nested", {"--path", path, "--rate", "40", "--callers", "5"}, 5);
    std::string forged = "Trefoil-Context: 0123456789abcdef0123456789abcdef";
    run.start_load("forged",
                   {"--path", "/station/a", "--rate", "20", "--callers", "5", "--header", forged},
                   5);
}

const std::vector<scenario> scenarios = {
    {"steady", 6, "rate_and_burst", [](fleet&, seeded_random&) {}},
    {"kill", 10, "at_most_once", kill_and_restart, 100},
    {"freeze", 10, "at_most_once", suspend_daemon, 100},
    {"platform_outage", 11, "version_never_back", fail_platform},
    {"domain_out", 11, "no_work_after_taken_out", take_domain_out},
    {"key_revoked", 9, "key_stops", revoke_key},
    {"bad_version", 10, "bad_version_refused", restart_with_invalid_base},
    {"restart_all", 10, "version_never_back", kill_and_restart_all},
    {"rolling_stop", 14, "graceful_stop", stop_daemons_in_turn, 100},
    {"slow_stop", 14, "graceful_stop", stop_slowed_daemons, 100},
    {"cold_upstream", 10, "cold_start_load", cold_start_and_kill_upstream, 40},
    {"noisy_workspace", 8, "rate_and_burst", exceed_workspace_limit},
    {"nested", 8, "workspace_of_key", send_nested_calls}};

// Prints, for each published pair of revisions, the time until the last daemon reported it or a
// newer one, and for each workspace the counts of its calls by outcome.
void print_figures(const std::vector<event>& events) {
    std::map<std::string, std::string> workspaces;  // By request.
    std::map<std::string, std::map<std::string, int>> results;
    for (const event& item : events) {
        if (item.kind == "call") {
            workspaces[item.request] = item.workspace;
        } else if (item.kind == "outcome" && workspaces.count(item.request) > 0) {
            std::string answered = item.reason.empty() ? std::to_string(item.status) : item.reason;
            ++results[workspaces[item.request]][item.error.empty() ? answered : item.error];
        } else if (item.kind == "accepted") {
            std::map<std::string, std::int64_t> first_us;
            std::int64_t last_us = 0;
            for (const event& other : events) {
                if (other.kind == "version" && other.t >= item.t && other.base >= item.base &&
                    other.overlay >= item.overlay &&
                    first_us.emplace(other.instance, other.t - item.t).second) {
                    last_us = std::max(last_us, other.t - item.t);
                }
            }
            std::cout << "base " << item.base << " overlay " << item.overlay << " in force in "
                      << first_us.size() << " daemons, last after ms: " << last_us / 1000 << "\n";
        }
    }
    for (const auto& [workspace, counts] : results) {
        std::cout << "workspace " << workspace << ": " << nlohmann::json(counts) << "\n";
    }
}

bool evaluate(const scenario& chosen, const std::vector<std::string>& files) {
    auto events = read_events(files);
    if (const auto* failure = std::get_if<read_failure>(&events)) {
        throw std::runtime_error(failure->file + " cannot be read as events");
    }
    const auto& history = std::get<std::vector<event>>(events);
    print_figures(history);
    std::vector<check_result> checks = check_history(history);
    std::cout << describe(checks);
    return std::all_of(checks.begin(), checks.end(), [&](const check_result& check) {
        bool required = check.name == chosen.required_check || check.name == "whole_answer";
        return check.violations.empty() && (check.examined > 0 || !required);
    });
}

bool run_scenario(const scenario& chosen, std::uint64_t seed, const fleet_options& options) {
    seeded_random random(seed);
    fleet run(options);
    run.service_ms = chosen.service_ms;
    run.start();
    pause_ms(share_activation_ms);
    std::string seed_text = std::to_string(seed);
    run.start_load(
        "readings",
        {"--path", "/station/a?size=300", "--rate", "200", "--callers", "10", "--seed", seed_text},
        chosen.load_seconds);
    run.start_load("commands",
                   {"--path", "/station/b", "--path", "/dosing/c", "--method", "POST",
                    "--body-bytes", "500", "--rate", "160", "--callers", "20", "--seed", seed_text},
                   chosen.load_seconds);
    pause_ms(1000);
    chosen.steps(run, random);
    return evaluate(chosen, run.stop_and_collect_events());
}

int run_scenario_by_name(const std::string& name, std::uint64_t seed, bool keep_files,
                         fleet_options options) {
    auto selected = std::find_if(scenarios.begin(), scenarios.end(),
                                 [&](const scenario& item) { return item.name == name; });
    if (selected == scenarios.end()) {
        throw std::runtime_error("unknown scenario " + name);
    }
    block_stop_signals();
    options.doubles = std::filesystem::canonical("/proc/self/exe").parent_path();
    options.directory = std::filesystem::temp_directory_path() / "trefoil-scenario-XXXXXX";
    if (::mkdtemp(options.directory.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    std::cout << "logs and events: " << options.directory << std::endl;
    bool holds = run_scenario(*selected, seed, options);
    std::cout << "scenario " << name << " seed " << seed << ": " << (holds ? "holds" : "VIOLATED")
              << "\n";
    if (holds && !keep_files) {
        std::filesystem::remove_all(options.directory);
    }
    return holds ? 0 : 1;
}

}  // namespace

}  // namespace trefoil::testing

int main(int argc, char** argv) {
    using namespace trefoil::testing;
    std::string name;
    std::uint64_t seed = 1;
    bool keep_files = false;
    fleet_options options;
    boost::program_options::options_description description;
    auto add = description.add_options();
    add("name", value(&name)->required());
    add("seed", value(&seed));
    add("keep", boost::program_options::bool_switch(&keep_files),
        "keep logs and events after success");
    add("trefoild", value(&options.trefoild)->required());
    return run_program(argc, argv, description,
                       [&] { return run_scenario_by_name(name, seed, keep_files, options); });
}
