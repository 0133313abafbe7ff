// Implements the stand-ins.

#include "stage.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>

namespace trefoil::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds server_read_timeout{60'000};
constexpr int backlog = 512;

sockaddr_in socket_address(const std::string& ip, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// Returns -1 if the address is in use.
int listen_on(const std::string& ip, std::uint16_t port) {
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = socket_address(ip, port);
    bool bound =
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    if (!bound || ::listen(descriptor, backlog) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string lower(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::string trimmed(std::string_view text) {
    std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

std::uint64_t number_of(const std::string& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string base64(std::string_view bytes) {
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U |
                    (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            bool padding = i + j > bytes.size();
            text += padding ? '=' : digits[group >> (18U - 6U * j) & 63U];
        }
    }
    return text;
}

std::string percent_decoded(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        bool escaped = text[i] == '%' && i + 2 < text.size() &&
                       std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
                           text.data() + i + 3;
        decoded += escaped ? static_cast<char>(value) : text[i];
        i += escaped ? 2 : 0;
    }
    return decoded;
}

std::map<std::string, std::string> query_of(std::string_view target) {
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    std::string_view rest = at == std::string_view::npos ? "" : target.substr(at + 1);
    while (!rest.empty()) {
        std::string_view pair = rest.substr(0, rest.find('&'));
        std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos) {
            query[std::string(pair.substr(0, equals))] = percent_decoded(pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return query;
}

std::string replace_all(std::string text, const std::string& from, const std::string& to) {
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

// An item, or the event of its removal. `Item` has a value and a revision.
template <class Item>
std::string item_json(const std::string& key, const Item& written) {
    std::string text = R"({"Key":")" + key + R"(","Revision":)" + std::to_string(written.revision);
    if (!written.value) {
        return text.append(R"(,"Deleted":true})");
    }
    text.append(R"(,"Created":)").append(std::to_string(written.revision));
    text.append(R"(,"Lease":0,"Value":")").append(base64(*written.value));
    return text.append(R"("})");
}

// Expands {{#Zones}} .. {{/Zones}} once per zone; all zones are in one region.
std::string render_zones(const std::string& text, const std::set<std::string>& zones) {
    const std::string begin = "{{#Zones}}";
    const std::string end = "{{/Zones}}";
    std::size_t from = text.find(begin);
    std::size_t to = text.find(end);
    if (from == std::string::npos || to == std::string::npos) {
        return text;
    }
    std::string section = text.substr(from + begin.size(), to - from - begin.size());
    std::string all;
    std::size_t left = zones.size();
    for (const std::string& zone : zones) {
        std::string entry = replace_all(section, "{{@}}", zone);
        entry = replace_all(entry, "{{.}}", "region-1");
        all += replace_all(entry, "{{,}}", --left > 0 ? "," : "");
    }
    return text.substr(0, from) + all + text.substr(to + end.size());
}

}  // namespace

connection::connection(int opened, milliseconds read_timeout) : descriptor(opened) {
    timeval limit{};
    limit.tv_sec = read_timeout.count() / 1000;
    limit.tv_usec = read_timeout.count() % 1000 * 1000;
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    int on = 1;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection() {
    ::close(this->descriptor);
}

std::unique_ptr<connection> connection::open(const std::string& ip, std::uint16_t port,
                                             milliseconds read_timeout) {
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socket_address(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor, read_timeout);
}

bool connection::send(std::string_view bytes) const {
    while (!bytes.empty()) {
        ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::fill() {
    std::array<char, 16384> bytes{};
    ssize_t count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    this->received.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

bool connection::read_line(std::string& line) {
    std::size_t end = this->received.find("\r\n");
    while (end == std::string::npos) {
        if (!this->fill()) {
            return false;
        }
        end = this->received.find("\r\n");
    }
    line = this->received.substr(0, end);
    this->received.erase(0, end + 2);
    return true;
}

bool connection::read_exactly(std::size_t bytes, std::string& text) {
    while (this->received.size() < bytes) {
        if (!this->fill()) {
            return false;
        }
    }
    text = this->received.substr(0, bytes);
    this->received.erase(0, bytes);
    return true;
}

std::string connection::read_rest() {
    while (this->fill()) {
    }
    return std::exchange(this->received, {});
}

std::string request::value_of(std::string_view name) const {
    auto found = std::find_if(this->headers.begin(), this->headers.end(),
                              [&](const header& each) { return lower(each.name) == name; });
    return found == this->headers.end() ? std::string() : found->value;
}

std::optional<request> read_request(connection& from) {
    std::string line;
    if (!from.read_line(line)) {
        return std::nullopt;
    }
    request read;
    std::istringstream words(line);
    words >> read.method >> read.target;
    while (true) {
        if (!from.read_line(line)) {
            return std::nullopt;
        }
        if (line.empty()) {
            break;
        }
        std::size_t colon = std::min(line.find(':'), line.size() - 1);
        read.headers.push_back(
            {.name = line.substr(0, colon), .value = trimmed(line.substr(colon + 1))});
    }
    std::size_t length = number_of(read.value_of("content-length"));
    if (!from.read_exactly(length, read.body)) {
        return std::nullopt;
    }
    return read;
}

void serve(const std::string& ip, std::uint16_t port, std::function<void(connection&)> handler) {
    int listener = listen_on(ip, port);
    if (listener < 0) {
        throw std::runtime_error("the address " + ip + " is in use");
    }
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            std::thread([accepted, handler] {
                connection peer(accepted, server_read_timeout);
                handler(peer);
            }).detach();
        }
    }).detach();
}

void store::write(const std::string& key, std::optional<std::string> value) {
    std::lock_guard lock(this->mutex);
    ++this->revision;
    item written{.value = std::move(value), .revision = this->revision};
    this->history.emplace_back(key, written);
    if (written.value) {
        this->items[key] = std::move(written);
    } else {
        this->items.erase(key);
    }
    this->changed.notify_all();
}

void store::put(const std::string& key, const std::string& value) {
    this->write(key, value);
}

void store::remove(const std::string& key) {
    this->write(key, std::nullopt);
}

void store::turn_away(std::set<std::size_t> machines) {
    std::lock_guard lock(this->mutex);
    this->turned_away = std::move(machines);
    this->changed.notify_all();
}

std::set<std::size_t> store::readers(milliseconds within) {
    std::lock_guard lock(this->mutex);
    std::set<std::size_t> found;
    for (const auto& [machine, at] : this->last_calls) {
        if (steady_clock::now() - at <= within) {
            found.insert(machine);
        }
    }
    return found;
}

void store::handle(std::size_t machine, connection& reader) {
    while (auto call = read_request(reader)) {
        {
            std::lock_guard lock(this->mutex);
            this->last_calls[machine] = steady_clock::now();
        }
        auto query = query_of(call->target);
        auto body = call->target.starts_with("/api/kv-watch")
                        ? this->watch(machine, query["Prefix"], number_of(query["after"]),
                                      milliseconds(number_of(query["WaitMs"])))
                        : this->range(machine, query["Prefix"], query["after"]);
        std::string text = body ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 Service Unavailable";
        text.append("\r\nContent-Type: application/json\r\nContent-Length: ");
        text.append(std::to_string(body ? body->size() : 0)).append("\r\n\r\n");
        if (!reader.send(text.append(body.value_or("")))) {
            return;
        }
    }
}

std::optional<std::string> store::range(std::size_t machine, const std::string& prefix,
                                        const std::string& after) {
    std::lock_guard lock(this->mutex);
    if (this->turned_away.contains(machine)) {
        return std::nullopt;
    }
    std::string found;
    for (const auto& [key, each] : this->items) {
        if (key.starts_with(prefix) && key > after) {
            found += (found.empty() ? "" : ",") + item_json(key, each);
        }
    }
    return R"({"items":[)" + found + R"(],"HasMore":false,"At":)" + std::to_string(this->revision) +
           "}";
}

std::optional<std::string> store::watch(std::size_t machine, const std::string& prefix,
                                        std::uint64_t after, milliseconds wait) {
    auto end = steady_clock::now() + wait;
    std::unique_lock lock(this->mutex);
    while (!this->turned_away.contains(machine)) {
        std::string events;
        for (const auto& [key, each] : this->history) {
            if (each.revision > after && key.starts_with(prefix)) {
                events += (events.empty() ? "" : ",") + item_json(key, each);
            }
        }
        if (!events.empty() || steady_clock::now() >= end) {
            return R"({"events":[)" + events + R"(],"At":)" + std::to_string(this->revision) + "}";
        }
        this->changed.wait_until(lock, end);
    }
    return std::nullopt;
}

void record::add(const std::string& line) {
    std::lock_guard lock(this->mutex);
    auto now = std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->begin);
    this->file << now.count() << " ms " << line << std::endl;
}

fleet::fleet(fleet_options given, std::vector<machine> of)
    : options(std::move(given)), machines(std::move(of)) {
    std::string pattern = (std::filesystem::temp_directory_path() / "stage-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    // Below the range of ephemeral ports.
    constexpr int lowest = 12'000;
    constexpr int highest = 30'000;
    constexpr int ports = 5;
    std::random_device random;
    bool free = false;
    while (!free) {
        this->first_port =
            static_cast<std::uint16_t>(lowest + random() % ((highest - lowest) / ports) * ports);
        free = true;
        for (std::size_t i = 0; free && i < this->machines.size(); ++i) {
            for (int offset = 0; free && offset < ports; ++offset) {
                int probe = listen_on(ip(i), static_cast<std::uint16_t>(this->first_port + offset));
                free = probe >= 0;
                ::close(probe);
            }
        }
    }
}

std::size_t fleet::memory_bytes(std::size_t index) const {
    std::string settings = this->folder + "/" + std::to_string(index) + ".yaml";
    for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
        std::ifstream command(entry.path() / "cmdline");
        std::ostringstream words;
        words << command.rdbuf();
        if (words.str().find(settings) == std::string::npos) {
            continue;
        }
        std::ifstream file(entry.path() / "status");
        std::string word;
        std::size_t kib = 0;
        while (file >> word && word != "RssAnon:") {
        }
        file >> kib;
        return kib << 10U;
    }
    return 0;
}

void fleet::stop() {
    this->daemons.clear();
    std::filesystem::remove_all(this->folder);
}

std::uint16_t fleet::port(port_of use) const {
    return static_cast<std::uint16_t>(this->first_port + static_cast<int>(use));
}

std::string fleet::address(std::size_t index, port_of use) const {
    return ip(index) + ":" + std::to_string(this->port(use));
}

std::string fleet::settings(std::size_t index) const {
    std::ifstream file(this->options.settings_template);
    std::ostringstream content;
    content << file.rdbuf();
    std::set<std::string> zones;
    for (const machine& each : this->machines) {
        zones.insert(each.zone);
    }
    std::string text = render_zones(content.str(), zones);
    const std::map<std::string, std::string> fields = {
        {"Ip", ip(index)},
        {"Node", "side-" + std::to_string(index)},
        {"Zone", this->machines[index].zone},
        {"Service", this->machines[index].service},
        {"Listen.Outbound", this->address(index, port_of::callers)},
        {"Listen.Inbound", this->address(index, port_of::peers)},
        {"Listen.Ready", this->address(index, port_of::readiness)},
        {"AppAddr", this->address(index, port_of::backend)},
        {"Platform.Address", this->address(index, port_of::store)},
        {"Bounds.QuotaWindowS", "5"},
        {"Bounds.QuotaOverage", "0.25"},
        {"Bounds.QuotaSlack", "20"},
        {"Bounds.RetryBudgetRatio", "0.2"},
        {"Bounds.BudgetSlack", "56"},
        {"Bounds.GraceS", "6"}};
    for (const auto& [name, value] : fields) {
        std::string placeholder = "{{";
        placeholder.append(name).append("}}");
        text = replace_all(text, placeholder, value);
    }
    return text;
}

bool fleet::ready(std::size_t index) const {
    auto probe = connection::open(ip(index), this->port(port_of::readiness), milliseconds(1000));
    std::string status;
    return probe != nullptr && probe->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           probe->read_line(status) && status.find(" 200 ") != std::string::npos;
}

void fleet::register_backend(std::size_t index, const std::string& cold_left_s) {
    std::string entry = R"({"Service":")" + this->machines[index].service + R"(","Address":")";
    entry.append(this->address(index, port_of::backend)).append(R"(","Zone":")");
    entry.append(this->machines[index].zone);
    entry.append(R"(","Version":"v1","Slots":12,"State":"ready","ColdLeftS":)");
    this->items.put("servers/i-" + std::to_string(index),
                    entry.append(cold_left_s).append(R"(,"Seq":1})"));
}

bool fleet::start(const std::function<void(std::size_t, connection&)>& backend,
                  std::optional<std::size_t> unregistered) {
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
        serve(ip(i), this->port(port_of::store),
              [this, i](connection& reader) { this->items.handle(i, reader); });
        serve(ip(i), this->port(port_of::backend),
              [backend, i](connection& caller) { backend(i, caller); });
        if (unregistered != i) {
            this->register_backend(i);
        }
    }
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
        std::string path = this->folder + "/" + std::to_string(i) + ".yaml";
        std::ofstream(path) << this->settings(i);
        this->daemons.push_back(std::make_unique<trefoil::testing::process>(
            std::vector<std::string>{this->options.trefoild, "--settings", path,
                                     "--platform-value-bytes=1048576", "--memory-mb=260",
                                     "--max-descriptors=4100"},
            this->folder + "/" + std::to_string(i) + ".log"));
    }
    constexpr milliseconds limit{20'000};
    constexpr milliseconds step{50};
    auto end = steady_clock::now() + limit;
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
        while (!this->ready(i)) {
            if (steady_clock::now() >= end) {
                return false;
            }
            std::this_thread::sleep_for(step);
        }
    }
    return true;
}

std::string configuration(std::uint64_t version, const std::string& first,
                          const std::string& second) {
    auto route = [](const char* prefix, const char* kind, const std::string& service) {
        return std::string(R"({"Host":")") + route_host + R"(","Prefix":")" + prefix +
               R"(","Kind":")" + kind +
               R"(","TimeoutS":2,"TargetLatencyS":0.3,"Priority":1,"MaxAttempts":2,)" +
               R"("Anonymous":false,"Service":")" + service + R"("})";
    };
    auto service = [](const std::string& name) {
        return "\"" + name + R"(":{"HealthPath":"/healthz","MaxConns":110,"ColdS":3.0,)" +
               R"("ColdPerS":31.0})";
    };
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":{"r-read":)" +
           route("/read/", "idempotent", first) + R"(,"r-order":)" +
           route("/order/", "non_idempotent", second) + R"(},"Services":{)" + service(first) + "," +
           service(second) +
           R"(},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,)" +
           R"("IdleTimeoutS":15},"Tenants":{"tenant-1":{"ApiKeys":[")" + tenant_key +
           R"("],"Priority":1,"RatePerS":0,"Burst":0}}})";
}

bool with_trouble() {
    const char* given = std::getenv("TROUBLE");
    return given == nullptr || std::string_view(given) != "0";
}

}  // namespace trefoil::review
