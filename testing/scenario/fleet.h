// The processes of one scenario run: platform double, upstream doubles, daemons and load
// clients, with the controls that scenarios need. Controls whose effect the history checker
// verifies write an event.
//
// Example:
//
//     fleet run({.directory = "run", .doubles = "build/testing", .trefoild = "build/trefoild"});
//     run.start();
//     run.start_load("readings", {"--path", "/station/a", "--rate", "100"}, 9);
//     run.members[0].daemon->kill();

#ifndef TREFOIL_TESTING_SCENARIO_FLEET_H_
#define TREFOIL_TESTING_SCENARIO_FLEET_H_

#include <arpa/inet.h>
#include <fmt/format.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>

#include "base/hash.h"
#include "support/event_log.h"
#include "support/http.h"
#include "support/process.h"

namespace trefoil::testing {

namespace detail {

// Label and workspace of every key; "-" marks a key that no base document contains.
inline const std::map<std::string, std::string> test_keys = {
    {"n1", "north"}, {"n2", "north"}, {"s1", "south"}, {"unknown", "-"}};

// Returns a loopback address with a free port below the kernel's ephemeral port range, so that no
// outgoing connection occupies the port before its server starts.
inline std::string free_address() {
    static auto next_port = static_cast<std::uint16_t>(12'000 + ::getpid() * 31 % 18'000);
    for (;;) {
        sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(++next_port)};
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bool is_available =
            ::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(probe);
        if (is_available) {
            return "127.0.0.1:" + std::to_string(next_port);
        }
    }
}

inline std::string port_of(const std::string& address) {
    return address.substr(address.rfind(':') + 1);
}

}  // namespace detail

// Sleeps for `milliseconds`. Throws std::runtime_error on SIGTERM or SIGINT, so that destructors
// kill all child processes.
inline void pause_ms(std::int64_t milliseconds) {
    sigset_t signals = block_stop_signals();
    timespec time{.tv_sec = milliseconds / 1000, .tv_nsec = milliseconds % 1000 * 1'000'000};
    if (::sigtimedwait(&signals, nullptr, &time) > 0) {
        throw std::runtime_error("interrupted by SIGTERM or SIGINT");
    }
}

struct fleet_options {
    std::string directory;  // Receives settings, logs and events.
    std::string doubles;    // Directory of the test programs.
    std::string trefoild;   // Path of the daemon's executable.
};

// One instance: a daemon and its upstream.
struct member {
    std::string name, service, failure_domain;
    std::string callers, peers, admin, upstream;  // "ip:port"
    std::string state = "live";                   // State in the instance list.
    std::unique_ptr<process> daemon = nullptr, upstream_process = nullptr;
};

class fleet {
public:
    explicit fleet(fleet_options chosen_options)
        : platform_url("http://" + detail::free_address()),
          options(std::move(chosen_options)),
          events(this->file("control.jsonl")) {
        for (int i = 0; i < member_count; ++i) {
            std::string service = i < 4 ? "station" : "dosing";
            this->members.push_back({fmt::format("{}-{}", service, i + 1), service,
                                     fmt::format("d{}", i % 3 + 1), detail::free_address(),
                                     detail::free_address(), detail::free_address(),
                                     detail::free_address()});
        }
    }

    ~fleet() { this->stop_polling(); }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    // Starts the platform double, all upstream doubles and all daemons, and waits until the daemons
    // are ready. Throws std::runtime_error when one is not ready in time.
    void start() {
        this->platform = this->spawn("platform", {this->options.doubles + "/platform_double",
                                                  "--port", detail::port_of(this->platform_url)});
        pause_ms(200);
        this->publish();
        this->publish_instances();
        this->record_event("limit", {{"workspace", "north"}, {"rate", 400}, {"burst", 120}});
        this->record_event("limit", {{"workspace", "south"}, {"rate", 40}, {"burst", 24}});
        for (member& target : this->members) {
            this->start_upstream(target);
            this->start_daemon(target);
        }
        std::int64_t start_us = now_us();
        this->poller = std::thread([this] { this->poll_revisions(); });
        for (const member& target : this->members) {
            this->wait_ready(target);
        }
        std::cout << "all daemons ready after ms: " << (now_us() - start_us) / 1000 << "\n";
    }

    void start_upstream(member& target) {
        target.upstream_process = this->spawn(
            target.name + ".upstream",
            {this->options.doubles + "/upstream_double", "--port", detail::port_of(target.upstream),
             "--instance", target.name, "--slots", std::to_string(slots), "--warmup-ms", "3000",
             "--service-ms", std::to_string(this->service_ms), "--daemon", target.callers,
             "--events", this->file(target.name + ".jsonl")});
    }

    void start_daemon(member& target) {
        std::string settings = this->file(target.name + ".yaml");
        std::ofstream(settings) << fmt::format(
            "instance: {}\nfailure_domain: {}\nsite: north\nservice: {}\n"
            "listen: {{callers: \"{}\", peers: \"{}\", admin: \"{}\"}}\nupstream: \"{}\"\n"
            "platform: \"{}\"\nseeds: [\"{}\", \"{}\"]\nfleet_secret: secret of the test fleet\n",
            target.name, target.failure_domain, target.service, target.callers, target.peers,
            target.admin, target.upstream, this->platform_url, this->members[0].peers,
            this->members[1].peers);
        target.daemon = this->spawn(target.name, {this->options.trefoild, "--settings", settings});
    }

    // Throws std::runtime_error when the daemon is not ready within 15 s.
    void wait_ready(const member& target) {
        constexpr std::int64_t timeout_us = 15'000'000;
        for (std::int64_t end = now_us() + timeout_us; now_us() < end; pause_ms(20)) {
            if (http_client().perform({.url = "http://" + target.admin + "/ready"}).status == 200) {
                return;
            }
        }
        throw std::runtime_error(target.name + " did not become ready within 15 s");
    }

    // Starts a planned stop of the daemon.
    void begin_stop(member& target) {
        this->record_event("stop", {{"instance", target.name}, {"target", target.callers}});
        target.daemon->signal(SIGTERM);
    }

    // Waits up to 10 s for the daemon to exit. If it does not, no `exited` event is written and the
    // history checker reports a violation of graceful_stop.
    void wait_stopped(member& target) {
        if (auto status = target.daemon->wait(std::chrono::seconds(10))) {
            this->record_event("exited", {{"instance", target.name}, {"status", *status}});
        }
    }

    // Starts a load client that runs for `seconds`.
    void start_load(const std::string& name, const std::vector<std::string>& arguments,
                    int seconds) {
        std::ofstream keys(this->file("keys"));
        keys << "none - -\n";
        for (const auto& [label, workspace] : detail::test_keys) {
            keys << label << " " << workspace << " test-key-" << label << "\n";
        }
        std::vector<std::string> command = {this->options.doubles + "/load_client",
                                            "--key-file",
                                            this->file("keys"),
                                            "--events",
                                            this->file(name + ".jsonl"),
                                            "--seconds",
                                            std::to_string(seconds)};
        for (const member& item : this->members) {
            command.insert(command.end(), {"--target", item.callers});
        }
        command.insert(command.end(), arguments.begin(), arguments.end());
        keys.close();
        this->loads.emplace_back(name, this->spawn(name, command));
    }

    // Sends a control request to one of the doubles and returns the Revision header of its
    // response, or 0 without one. Throws std::runtime_error unless the status is 200.
    std::uint64_t control(const std::string& method, const std::string& url,
                          const std::string& body) {
        http_reply reply = http_client().perform({.method = method, .url = url, .body = body});
        if (reply.status != 200) {
            throw std::runtime_error("control request failed: " + url);
        }
        std::string revision = reply.header("revision");
        return revision.empty() ? 0 : std::stoull(revision);
    }

    // Publishes `body` as the next revision of `document` and returns that revision.
    std::uint64_t put(const std::string& document, const std::string& body) {
        return this->control("PUT", this->platform_url + "/documents/" + document, body);
    }

    // Publishes base and overlay documents that reflect `revoked_keys` and `domains_taken_out`.
    void publish() {
        std::string overlay = "failure_domains:\n";
        for (std::string name : {"d1", "d2", "d3"}) {
            overlay +=
                fmt::format("  {}: {{out: {}}}\n", name, this->domains_taken_out.count(name) > 0);
        }
        std::uint64_t base = this->put("base", this->base_document("station"));
        this->record_event("accepted",
                           {{"base", base}, {"overlay", this->put("site/north", overlay)}});
    }

    // Publishes an invalid base: one of its routes names a service that does not exist.
    void publish_invalid_base() {
        this->record_event("bad_version",
                           {{"base", this->put("base", this->base_document("missing"))}});
    }

    void publish_instances() {
        nlohmann::json list = nlohmann::json::array();
        for (const member& item : this->members) {
            nlohmann::json entry = {{"id", item.name}, {"address", item.peers}, {"site", "north"}};
            entry.update({{"failure_domain", item.failure_domain}, {"service", item.service}});
            entry["state"] = item.state;
            list.push_back(entry);
        }
        this->put("instances", nlohmann::json{{"instances", list}}.dump());
    }

    void record_event(const std::string& kind, nlohmann::json fields) const {
        this->events.write(now_us(), kind, std::move(fields));
    }

    // Waits up to 30 s for each load client, stops the daemons and returns the names of all
    // event files.
    std::vector<std::string> stop_and_collect_events() {
        std::vector<std::string> files = {this->file("control.jsonl")};
        for (auto& [name, client] : this->loads) {
            for (int i = 0; i < 300 && !client->wait(std::chrono::milliseconds(0)); ++i) {
                pause_ms(100);
            }
            std::cout << name << ": " << std::ifstream(this->file(name + ".log")).rdbuf();
            files.push_back(this->file(name + ".jsonl"));
        }
        for (member& item : this->members) {
            this->begin_stop(item);
        }
        for (member& item : this->members) {
            this->wait_stopped(item);
            files.push_back(this->file(item.name + ".jsonl"));
        }
        this->stop_polling();
        return files;
    }

    std::vector<member> members;
    // Labels of revoked keys, and failure domains that are out of service.
    std::set<std::string> revoked_keys, domains_taken_out;
    const std::string platform_url;
    int service_ms = 5;  // Service time of upstreams started from now on.

private:
    static constexpr int member_count = 6;
    static constexpr int slots = 6;

    std::string file(const std::string& name) const { return this->options.directory + "/" + name; }

    std::unique_ptr<process> spawn(const std::string& name,
                                   const std::vector<std::string>& command) {
        return std::make_unique<process>(command, this->file(name + ".log"));
    }

    std::string base_document(const std::string& service) const {
        std::string text = fmt::format(
            "fleet: {{max_instances: {0}}}\n"
            "failure_domains: {{d1: {{out: false}}, d2: {{out: false}}, d3: {{out: false}}}}\n"
            "services:\n  station: {{slots: {1}}}\n  dosing: {{slots: {1}}}\nroutes:\n"
            "  readings: {{path_prefix: /station/, methods: [GET], service: {2}}}\n"
            "  commands: {{path_prefix: /station/, methods: [POST], service: station}}\n"
            "  dosing: {{path_prefix: /dosing/, service: dosing}}\nworkspaces:\n"
            "  north: {{rate: 400, burst: 120}}\n  south: {{rate: 40, burst: 24}}\nkeys:\n",
            member_count, slots, service);
        for (const auto& [label, workspace] : detail::test_keys) {
            if (workspace != "-" && this->revoked_keys.count(label) == 0) {
                text += fmt::format("  {}: {{workspace: {}, sha256: \"{}\"}}\n", label, workspace,
                                    sha256_hex("test-key-" + label));
            }
        }
        return text;
    }

    // Records the revisions in force in each responding daemon every 50 ms.
    void poll_revisions() {
        http_client client;
        for (; this->polling; std::this_thread::sleep_for(std::chrono::milliseconds(50))) {
            for (const member& item : this->members) {
                http_reply reply = client.perform({.url = "http://" + item.admin + "/status",
                                                   .timeout = std::chrono::milliseconds(200)});
                nlohmann::json status = nlohmann::json::parse(reply.body, nullptr, false);
                if (reply.status == 200 && status.is_object()) {
                    nlohmann::json version_fields = {{"instance", item.name}};
                    version_fields.update({{"base", status.value("base", 0U)}});
                    version_fields.update({{"overlay", status.value("overlay", 0U)}});
                    this->record_event("version", version_fields);
                }
            }
        }
    }

    void stop_polling() {
        this->polling = false;
        if (this->poller.joinable()) {
            this->poller.join();
        }
    }

    const fleet_options options;
    const event_log events;
    std::unique_ptr<process> platform;
    std::vector<std::pair<std::string, std::unique_ptr<process>>> loads;
    std::atomic<bool> polling{true};
    std::thread poller;
};

}  // namespace trefoil::testing

#endif  // TREFOIL_TESTING_SCENARIO_FLEET_H_
