// Implements the processes and controls of a test run.

#include "scenario/fleet.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <fstream>
#include <iostream>

#include "base/hash.h"

namespace trefoil::testing {

namespace {

constexpr int member_count = 6;
constexpr int slots = 6;
// Label and workspace of every key; "-" marks a key that no base document contains.
const std::vector<std::pair<std::string, std::string>> all_keys = {
    {"n1", "north"}, {"n2", "north"}, {"s1", "south"}, {"unknown", "-"}};

// Returns an address below the range from which the kernel takes ports of outgoing connections, so
// that no connection occupies it before its server starts.
std::string free_address() {
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

std::string port_of(const std::string& address) {
    return address.substr(address.find(':') + 1);
}

std::string key_text(const std::string& label) {
    return "test-key-" + label;
}

}  // namespace

void pause_ms(std::int64_t milliseconds) {
    sigset_t signals = block_stop_signals();
    timespec time{.tv_sec = milliseconds / 1000, .tv_nsec = milliseconds % 1000 * 1'000'000};
    if (::sigtimedwait(&signals, nullptr, &time) > 0) {
        throw std::runtime_error("stopped by a signal");
    }
}

fleet::fleet(fleet_options chosen)
    : platform_url("http://" + free_address()),
      options(std::move(chosen)),
      events(this->file("control.jsonl")) {
    for (int i = 0; i < member_count; ++i) {
        std::string service = i < 4 ? "station" : "dosing";
        this->members.push_back({fmt::format("{}-{}", service, i + 1), service,
                                 fmt::format("d{}", i % 3 + 1), free_address(), free_address(),
                                 free_address(), free_address()});
    }
}

void fleet::note(const std::string& kind, nlohmann::json fields) const {
    this->events.write(now_us(), kind, std::move(fields));
}

void fleet::start() {
    std::vector<std::string> command = {this->options.doubles + "/platform_double", "--port",
                                        port_of(this->platform_url.substr(7))};
    this->platform = std::make_unique<process>(command, this->file("platform.log"));
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

void fleet::start_upstream(member& target) {
    std::vector<std::string> command = {this->options.doubles + "/upstream_double",
                                        "--port",
                                        port_of(target.upstream),
                                        "--instance",
                                        target.name,
                                        "--slots",
                                        std::to_string(slots),
                                        "--warmup-ms",
                                        "3000",
                                        "--daemon",
                                        target.callers,
                                        "--events",
                                        this->file(target.name + ".jsonl")};
    target.upstream_process =
        std::make_unique<process>(command, this->file(target.name + ".upstream.log"));
}

void fleet::start_daemon(member& target) {
    std::string settings = this->file(target.name + ".yaml");
    std::ofstream(settings) << fmt::format(
        "instance: {}\nfailure_domain: {}\nsite: north\nservice: {}\n"
        "listen: {{callers: \"{}\", peers: \"{}\", admin: \"{}\"}}\nupstream: \"{}\"\n"
        "platform: \"{}\"\nseeds: [\"{}\", \"{}\"]\nfleet_secret: \"secret of the test fleet\"\n",
        target.name, target.failure_domain, target.service, target.callers, target.peers,
        target.admin, target.upstream, this->platform_url, this->members[0].peers,
        this->members[1].peers);
    std::vector<std::string> command = {this->options.trefoild, "--settings", settings};
    target.daemon = std::make_unique<process>(command, this->file(target.name + ".log"));
}

void fleet::wait_ready(const member& target) {
    constexpr std::int64_t timeout_us = 15'000'000;
    http_client client;
    for (std::int64_t end = now_us() + timeout_us; now_us() < end; pause_ms(20)) {
        if (client.perform({.url = "http://" + target.admin + "/ready"}).status == 200) {
            return;
        }
    }
    throw std::runtime_error(target.name + " is not ready in time");
}

void fleet::stop_daemon(member& target) {
    this->note("stop", {{"instance", target.name}, {"target", target.callers}});
    target.daemon->signal(SIGTERM);
    if (auto status = target.daemon->wait(std::chrono::seconds(10))) {
        this->note("exited", {{"instance", target.name}, {"status", *status}});
    }
}

void fleet::load(const std::string& name, const std::vector<std::string>& arguments, int seconds) {
    std::ofstream keys(this->file("keys"));
    for (const auto& [label, workspace] : all_keys) {
        keys << label << " " << workspace << " " << key_text(label) << "\n";
    }
    keys << "none - -\n";
    keys.close();
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
    this->loads.emplace_back(name,
                             std::make_unique<process>(command, this->file(name + ".summary")));
}

std::string fleet::base_document(const std::string& service) const {
    std::string text = fmt::format(
        "fleet: {{max_instances: {0}}}\n"
        "failure_domains: {{d1: {{out: false}}, d2: {{out: false}}, d3: {{out: "
        "false}}}}\nservices:\n"
        "  station: {{slots: {1}, timeout_ms: 2000, queue: 64}}\n"
        "  dosing: {{slots: {1}, timeout_ms: 2000, queue: 64}}\nroutes:\n"
        "  readings: {{path_prefix: /station/, methods: [GET], service: {2}}}\n"
        "  commands: {{path_prefix: /station/, methods: [POST], service: station}}\n"
        "  dosing: {{path_prefix: /dosing/, service: dosing}}\nworkspaces:\n"
        "  north: {{rate: 400, burst: 120}}\n  south: {{rate: 40, burst: 24}}\nkeys:\n",
        member_count, slots, service);
    for (const auto& [label, workspace] : all_keys) {
        if (workspace != "-" && this->revoked_keys.count(label) == 0) {
            text += fmt::format("  {}: {{workspace: {}, sha256: \"{}\"}}\n", label, workspace,
                                sha256_hex(key_text(label)));
        }
    }
    return text;
}

std::uint64_t fleet::control(const std::string& method, const std::string& url,
                             const std::string& body) {
    http_client client;
    http_reply reply = client.perform({.method = method, .url = url, .body = body});
    if (reply.status != 200) {
        throw std::runtime_error("control request failed: " + url);
    }
    std::string revision = reply.header("revision");
    return revision.empty() ? 0 : std::stoull(revision);
}

void fleet::publish() {
    std::string overlay = "failure_domains:\n";
    for (std::string name : {"d1", "d2", "d3"}) {
        overlay += fmt::format("  {}: {{out: {}}}\n", name, this->out_domains.count(name) > 0);
    }
    std::string documents = this->platform_url + "/documents/";
    std::uint64_t base = this->control("PUT", documents + "base", this->base_document("station"));
    std::uint64_t revision = this->control("PUT", documents + "site/north", overlay);
    this->note("accepted", {{"base", base}, {"overlay", revision}});
}

void fleet::publish_bad() {
    std::uint64_t base = this->control("PUT", this->platform_url + "/documents/base",
                                       this->base_document("missing"));
    this->note("bad_version", {{"base", base}});
}

void fleet::publish_instances() {
    nlohmann::json list = nlohmann::json::array();
    for (const member& item : this->members) {
        list.push_back({{"id", item.name},
                        {"address", item.peers},
                        {"site", "north"},
                        {"failure_domain", item.failure_domain},
                        {"service", item.service},
                        {"state", item.state}});
    }
    this->control("PUT", this->platform_url + "/documents/instances",
                  nlohmann::json{{"instances", list}}.dump());
}

void fleet::poll_versions() {
    http_client client;
    for (; this->polling; std::this_thread::sleep_for(std::chrono::milliseconds(50))) {
        for (const member& item : this->members) {
            http_reply reply = client.perform({.url = "http://" + item.admin + "/status",
                                               .timeout = std::chrono::milliseconds(200)});
            nlohmann::json status = nlohmann::json::parse(reply.body, nullptr, false);
            if (reply.status == 200 && status.is_object()) {
                this->note("version", {{"instance", item.name},
                                       {"base", status.value("base", 0U)},
                                       {"overlay", status.value("overlay", 0U)}});
            }
        }
    }
}

void fleet::stop_polling() {
    this->polling = false;
    if (this->poller.joinable()) {
        this->poller.join();
    }
}

std::vector<std::string> fleet::finish() {
    std::vector<std::string> files = {this->file("control.jsonl")};
    for (auto& [name, client] : this->loads) {
        for (int i = 0; i < 300 && !client->wait(std::chrono::milliseconds(0)); ++i) {
            pause_ms(100);
        }
        std::cout << "load " << name << ": "
                  << std::ifstream(this->file(name + ".summary")).rdbuf();
        files.push_back(this->file(name + ".jsonl"));
    }
    for (member& item : this->members) {
        this->stop_daemon(item);
        files.push_back(this->file(item.name + ".jsonl"));
    }
    this->stop_polling();
    return files;
}

}  // namespace trefoil::testing
