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
inline const std::map<std::string, std::string> all_keys = {
    {"n1", "north"}, {"n2", "north"}, {"s1", "south"}, {"unknown", "-"}};

// Returns an address below the range from which the kernel takes ports of outgoing connections, so
// that no connection occupies it before its server starts.
inline std::string free_address() {
    static auto next = static_cast<std::uint16_t>(12'000 + ::getpid() * 31 % 18'000);
    for (;;) {
        sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(++next)};
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bool is_free = ::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(probe);
        if (is_free) {
            return "127.0.0.1:" + std::to_string(next);
        }
    }
}

inline std::string port_of(const std::string& address) {
    return address.substr(address.rfind(':') + 1);
}

}  // namespace detail

// Sleeps. Throws std::runtime_error on SIGTERM or SIGINT, so that destructors end all children.
inline void pause_ms(std::int64_t milliseconds) {
    sigset_t signals = block_stop_signals();
    timespec time{.tv_sec = milliseconds / 1000, .tv_nsec = milliseconds % 1000 * 1'000'000};
    if (::sigtimedwait(&signals, nullptr, &time) > 0) {
        throw std::runtime_error("stopped by a signal");
    }
}

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
    explicit fleet(fleet_options chosen)
        : platform_url("http://" + detail::free_address()),
          options(std::move(chosen)),
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

    // Starts everything and waits until all daemons are ready.
    void start() {
        this->platform = this->spawn("platform", {this->options.doubles + "/platform_double",
                                                  "--port", detail::port_of(this->platform_url)});
        pause_ms(200);
        this->publish();
        this->publish_instances();
        this->note("limit", {{"workspace", "north"}, {"rate", 400}, {"burst", 120}});
        this->note("limit", {{"workspace", "south"}, {"rate", 40}, {"burst", 24}});
        for (member& target : this->members) {
            this->start_upstream(target);
            this->start_daemon(target);
        }
        std::int64_t begin = now_us();
        this->poller = std::thread([this] { this->poll_versions(); });
        for (const member& target : this->members) {
            this->wait_ready(target);
        }
        std::cout << "all daemons ready after ms: " << (now_us() - begin) / 1000 << "\n";
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

    // Throws std::runtime_error when the daemon is not ready in time.
    void wait_ready(const member& target) {
        constexpr std::int64_t timeout_us = 15'000'000;
        for (std::int64_t end = now_us() + timeout_us; now_us() < end; pause_ms(20)) {
            if (http_client().perform({.url = "http://" + target.admin + "/ready"}).status == 200) {
                return;
            }
        }
        throw std::runtime_error(target.name + " is not ready in time");
    }

    void begin_stop(member& target) {
        this->note("stop", {{"instance", target.name}, {"target", target.callers}});
        target.daemon->signal(SIGTERM);
    }

    void wait_stopped(member& target) {
        if (auto status = target.daemon->wait(std::chrono::seconds(10))) {
            this->note("exited", {{"instance", target.name}, {"status", *status}});
        }
    }

    // Starts a load client that ends by itself after `seconds`.
    void load(const std::string& name, const std::vector<std::string>& arguments, int seconds) {
        std::ofstream keys(this->file("keys"));
        keys << "none - -\n";
        for (const auto& [label, workspace] : detail::all_keys) {
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

    // Sends a control request to one of the doubles and returns the revision it answers, or 0.
    std::uint64_t control(const std::string& method, const std::string& url,
                          const std::string& body) {
        http_reply reply = http_client().perform({.method = method, .url = url, .body = body});
        if (reply.status != 200) {
            throw std::runtime_error("control request failed: " + url);
        }
        std::string revision = reply.header("revision");
        return revision.empty() ? 0 : std::stoull(revision);
    }

    std::uint64_t put(const std::string& document, const std::string& body) {
        return this->control("PUT", this->platform_url + "/documents/" + document, body);
    }

    // Publishes base and overlay as `revoked_keys` and `out_domains` say.
    void publish() {
        std::string overlay = "failure_domains:\n";
        for (std::string name : {"d1", "d2", "d3"}) {
            overlay += fmt::format("  {}: {{out: {}}}\n", name, this->out_domains.count(name) > 0);
        }
        std::uint64_t base = this->put("base", this->base_document("station"));
        this->note("accepted", {{"base", base}, {"overlay", this->put("site/north", overlay)}});
    }

    // Publishes a base in which a route names a service that does not exist.
    void publish_bad() {
        this->note("bad_version", {{"base", this->put("base", this->base_document("missing"))}});
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

    void note(const std::string& kind, nlohmann::json fields) const {
        this->events.write(now_us(), kind, std::move(fields));
    }

    // Waits for the load clients, stops the daemons and returns the names of all event files.
    std::vector<std::string> finish() {
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
    std::set<std::string> revoked_keys, out_domains;
    const std::string platform_url;
    int service_ms = 5;  // Service time of the upstreams.

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
        for (const auto& [label, workspace] : detail::all_keys) {
            if (workspace != "-" && this->revoked_keys.count(label) == 0) {
                text += fmt::format("  {}: {{workspace: {}, sha256: \"{}\"}}\n", label, workspace,
                                    sha256_hex("test-key-" + label));
            }
        }
        return text;
    }

    void poll_versions() {
        http_client client;
        for (; this->polling; std::this_thread::sleep_for(std::chrono::milliseconds(50))) {
            for (const member& item : this->members) {
                http_reply reply = client.perform({.url = "http://" + item.admin + "/status",
                                                   .timeout = std::chrono::milliseconds(200)});
                nlohmann::json status = nlohmann::json::parse(reply.body, nullptr, false);
                if (reply.status == 200 && status.is_object()) {
                    nlohmann::json seen = {{"instance", item.name}};
                    seen.update({{"base", status.value("base", 0U)}});
                    seen.update({{"overlay", status.value("overlay", 0U)}});
                    this->note("version", seen);
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
