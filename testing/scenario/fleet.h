// The real processes of one test run: platform double, upstream doubles, daemons and load clients,
// with the controls that scenarios need. Each control that the checker must know writes an event.
//
// Example:
//
//     fleet run({.directory = "run", .doubles = "build/testing", .trefoild = "build/trefoild"});
//     run.start();
//     run.load("readings", {"--path", "/station/a", "--rate", "100"}, 9);
//     run.members[0].daemon->kill();

#ifndef TREFOIL_TESTING_SCENARIO_FLEET_H_
#define TREFOIL_TESTING_SCENARIO_FLEET_H_

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/event_log.h"
#include "support/http.h"
#include "support/process.h"

namespace trefoil::testing {

struct fleet_options {
    std::string directory;  // For settings, logs and events.
    std::string doubles;    // Directory of the test doubles.
    std::string trefoild;
};

// One instance: a daemon and the upstream beside it.
struct member {
    std::string name, service, failure_domain;
    std::string callers, peers, admin, upstream;  // "ip:port"
    std::string state = "live";                   // In the instance list.
    std::unique_ptr<process> daemon = nullptr, upstream_process = nullptr;
};

class fleet {
public:
    explicit fleet(fleet_options chosen);
    ~fleet() { this->stop_polling(); }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    // Starts everything and waits until all daemons are ready.
    void start();
    void start_daemon(member& target);
    void start_upstream(member& target);
    // Throws std::runtime_error when the daemon is not ready in time.
    void wait_ready(const member& target);
    // Sends SIGTERM and waits for the exit.
    void stop_daemon(member& target);
    // Starts a load client that ends by itself after `seconds`.
    void load(const std::string& name, const std::vector<std::string>& arguments, int seconds);

    // Publishes base and overlay as `revoked_keys` and `out_domains` say.
    void publish();
    // Publishes a base in which a route names a service that does not exist.
    void publish_bad();
    void publish_instances();
    // Sends a control request to one of the doubles and returns the revision it answers, or 0.
    std::uint64_t control(const std::string& method, const std::string& url,
                          const std::string& body);
    void note(const std::string& kind, nlohmann::json fields) const;

    // Waits for the load clients, stops the daemons and returns the names of all event files.
    std::vector<std::string> finish();

    std::vector<member> members;
    std::set<std::string> revoked_keys, out_domains;
    std::string platform_url;

private:
    std::string file(const std::string& name) const { return this->options.directory + "/" + name; }
    std::string base_document(const std::string& service) const;
    void poll_versions();
    void stop_polling();

    const fleet_options options;
    const event_log events;
    std::unique_ptr<process> platform;
    std::vector<std::pair<std::string, std::unique_ptr<process>>> loads;
    std::atomic<bool> polling{true};
    std::thread poller;
};

// Sleeps. Throws std::runtime_error on SIGTERM or SIGINT, so that destructors end all children.
void pause_ms(std::int64_t milliseconds);

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SCENARIO_FLEET_H_
