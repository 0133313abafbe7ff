// Implements the stand-ins and the process handling of the review's cases.

#include "stage.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr const char* daemon_program = "target/packages/daemon/trefoild";
constexpr const char* settings_template = "deploy/settings.yaml";
constexpr int slots = 12;

const clock::time_point started_at = clock::now();

std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in address_of(const std::string& ip, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string& text) {
    std::size_t first = text.find_first_not_of(" \t");
    std::size_t last = text.find_last_not_of(" \t");
    return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

std::string base64(const std::string& bytes) {
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U;
            group |= i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U;
        }
        for (std::size_t j = 0; j < 4; ++j) {
            bool padding = i + j > bytes.size();
            text += padding ? '=' : digits[(group >> (6U * (3U - j))) & 63U];
        }
    }
    return text;
}

std::string quoted(const std::string& text) {
    std::string result = "\"";
    for (char c : text) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c;
    }
    return result + "\"";
}

std::string decode_percent(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> query;
    std::size_t question = target.find('?');
    if (question == std::string::npos) {
        return query;
    }
    std::stringstream fields(target.substr(question + 1));
    std::string field;
    while (std::getline(fields, field, '&')) {
        std::size_t equals = field.find('=');
        query[field.substr(0, equals)] =
            equals == std::string::npos ? "" : decode_percent(field.substr(equals + 1));
    }
    return query;
}

std::uint64_t number_of(const std::map<std::string, std::string>& query, const std::string& name) {
    auto found = query.find(name);
    return found == query.end() || found->second.empty() ? 0 : std::stoull(found->second);
}

std::string text_of(const std::map<std::string, std::string>& query, const std::string& name) {
    auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::string replace_all(std::string text, const std::string& from, const std::string& to) {
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

// Expands {{#Zones}} .. {{/Zones}} once per zone. All zones are in one region.
std::string expand_zones(const std::string& text, const std::set<std::string>& zones) {
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
        entry = replace_all(entry, "{{.}}", "one-region");
        all += replace_all(entry, "{{,}}", --left > 0 ? "," : "");
    }
    return text.substr(0, from) + all + text.substr(to + end.size());
}

std::string status_line(int status) {
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") + "\r\n";
}

std::string json_response(const std::string& body) {
    return status_line(200) +
           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace

bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void record::open(const std::string& path) {
    record_file.open(path, std::ios::trunc);
}

void record::write(const std::string& line) {
    auto now = std::chrono::duration_cast<milliseconds>(clock::now() - started_at).count();
    std::lock_guard<std::mutex> lock(record_mutex);
    record_file << now << " " << line << std::endl;
}

std::string message::header(const std::string& name) const {
    auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

std::string message::second_word() const {
    std::istringstream words(this->first_line);
    std::string first;
    std::string second;
    words >> first >> second;
    return second;
}

std::unique_ptr<connection> connection::open(const std::string& ip, std::uint16_t port) {
    int opened = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto created = std::make_unique<connection>(opened);
    sockaddr_in address = address_of(ip, port);
    if (::connect(opened, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        return nullptr;
    }
    int on = 1;
    ::setsockopt(opened, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return created;
}

bool connection::send(std::string_view bytes) {
    while (!bytes.empty()) {
        ssize_t sent = ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::optional<message> connection::receive(milliseconds limit) {
    auto end = clock::now() + limit;
    this->late = false;
    while (true) {
        std::size_t header_end = this->buffer.find("\r\n\r\n");
        if (header_end != std::string::npos) {
            message result;
            std::istringstream lines(this->buffer.substr(0, header_end + 2));
            std::string line;
            std::getline(lines, line);
            result.first_line = line.substr(0, line.find('\r'));
            while (std::getline(lines, line)) {
                std::size_t colon = line.find(':');
                if (colon != std::string::npos) {
                    std::string value = line.substr(colon + 1);
                    result.headers[lower(line.substr(0, colon))] =
                        trimmed(value.substr(0, value.find('\r')));
                }
            }
            std::string length = result.header("content-length");
            std::size_t size = length.empty() ? 0 : std::stoull(length);
            if (this->buffer.size() >= header_end + 4 + size) {
                result.body = this->buffer.substr(header_end + 4, size);
                this->buffer.erase(0, header_end + 4 + size);
                return result;
            }
        }
        auto left = std::chrono::duration_cast<milliseconds>(end - clock::now()).count();
        pollfd waited{.fd = this->socket, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) == 0) {
            this->late = true;
            return std::nullopt;
        }
        char bytes[65536];
        ssize_t got = ::recv(this->socket, bytes, sizeof bytes, 0);
        if (got <= 0) {
            return std::nullopt;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(got));
        std::this_thread::sleep_for(this->read_pause);
    }
}

bool connection::closed_by_peer() const {
    char byte = 0;
    return ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void connection::shut_down() {
    ::shutdown(this->socket, SHUT_RDWR);
}

void connection::close() {
    int closed = this->socket.exchange(-1);
    if (closed >= 0) {
        ::close(closed);
    }
}

server::server(const std::string& ip, std::uint16_t port, handler to_serve, milliseconds read_pause)
    : serve(std::move(to_serve)), pause(read_pause) {
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (this->pause.count() > 0) {
        int bytes = 16384;
        ::setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }
    sockaddr_in address = address_of(ip, port);
    bool bound =
        ::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
        ::listen(this->listener, 512) == 0;
    if (!bound) {
        ::close(this->listener);
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    this->acceptor = std::thread([this] { this->accept_all(); });
}

server::~server() {
    std::vector<std::thread> ended;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        for (const auto& each : this->open) {
            each->shut_down();
        }
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        ended.swap(this->threads);
    }
    for (std::thread& each : ended) {
        each.join();
    }
}

void server::accept_all() {
    while (true) {
        int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto accepted = std::make_shared<connection>(descriptor);
        accepted->set_read_pause(this->pause);
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->stopping) {
            return;
        }
        this->open.push_back(accepted);
        this->threads.emplace_back([this, accepted] { this->serve_one(accepted); });
    }
}

void server::serve_one(const std::shared_ptr<connection>& accepted) {
    constexpr std::chrono::minutes longest{5};
    while (auto request = accepted->receive(longest)) {
        if (!this->serve(*accepted, *request)) {
            break;
        }
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    accepted->close();
    std::erase(this->open, accepted);
}

store::store(const std::string& ip, std::uint16_t port)
    : listener(std::make_unique<server>(ip, port, [this](connection& from, const message& request) {
          return this->handle(from, request);
      })) {}

store::~store() {
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
}

void store::put(const std::string& key, const std::string& value) {
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->revision;
    item& target = this->items[key];
    target.created = target.created == 0 ? this->revision : target.created;
    target.value = value;
    target.revision = this->revision;
    this->history.push_back({.key = key, .revision = this->revision, .value = value});
    this->changed.notify_all();
}

void store::remove(const std::string& key) {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->items.erase(key) > 0) {
        ++this->revision;
        this->history.push_back({.key = key, .revision = this->revision, .value = std::nullopt});
        this->changed.notify_all();
    }
}

bool store::handle(connection& from, const message& request) {
    std::string target = request.second_word();
    auto query = query_of(target);
    std::string path = target.substr(0, target.find('?'));
    if (path == "/api/kv-range") {
        return from.send(json_response(this->range(query)));
    }
    if (path == "/api/kv-watch") {
        return from.send(json_response(this->watch(query)));
    }
    return from.send(status_line(404) + "Content-Length: 0\r\n\r\n");
}

std::string store::range(const std::map<std::string, std::string>& query) {
    constexpr std::size_t page_items = 500;
    std::string prefix = text_of(query, "Prefix");
    std::lock_guard<std::mutex> lock(this->mutex);
    std::string list;
    std::size_t count = 0;
    bool more = false;
    for (auto each = this->items.upper_bound(text_of(query, "after")); each != this->items.end();
         ++each) {
        if (!each->first.starts_with(prefix)) {
            continue;
        }
        if (count == page_items) {
            more = true;
            break;
        }
        list += count++ == 0 ? "" : ",";
        list += "{\"Key\":" + quoted(each->first) + ",\"Value\":\"" + base64(each->second.value) +
                "\",\"Revision\":" + std::to_string(each->second.revision) +
                ",\"Created\":" + std::to_string(each->second.created) + ",\"Lease\":0}";
    }
    return "{\"items\":[" + list + "],\"HasMore\":" + (more ? "true" : "false") +
           ",\"At\":" + std::to_string(this->revision) + "}";
}

std::string store::watch(const std::map<std::string, std::string>& query) {
    std::string prefix = text_of(query, "Prefix");
    std::uint64_t after = number_of(query, "after");
    auto end = clock::now() + milliseconds(number_of(query, "WaitMs"));
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        std::string list;
        for (const change& each : this->history) {
            if (each.revision <= after || !each.key.starts_with(prefix)) {
                continue;
            }
            list += list.empty() ? "" : ",";
            list +=
                "{\"Key\":" + quoted(each.key) + ",\"Revision\":" + std::to_string(each.revision);
            list +=
                each.value ? ",\"Value\":\"" + base64(*each.value) + "\"}" : ",\"Deleted\":true}";
        }
        if (!list.empty() || this->stopping || clock::now() >= end) {
            return "{\"events\":[" + list + "],\"At\":" + std::to_string(this->revision) + "}";
        }
        std::uint64_t seen = this->revision;
        this->changed.wait_until(lock, end,
                                 [&] { return this->stopping || this->revision != seen; });
    }
}

backend::backend(std::string id, const std::string& ip, std::uint16_t port, milliseconds read_pause)
    : name(std::move(id)),
      listener(std::make_unique<server>(
          ip, port,
          [this](connection& from, const message& request) { return this->handle(from, request); },
          read_pause)) {}

void backend::set_answer(answer_function next) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->answer = std::move(next);
}

void backend::set_filter(filter_function next) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->filter = std::move(next);
}

void backend::set_before_answer(start_function next) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->before_answer = std::move(next);
}

bool backend::handle(connection& from, const message& request) {
    std::string expected = request.header("target-instance");
    std::string attempt = request.header("attempt-id");
    bool well_formed = request.first_line.size() < 1000 &&
                       request.first_line.ends_with(" HTTP/1.1") &&
                       request.second_word().starts_with("/") && !attempt.empty();
    if (!well_formed) {
        record::write("malformed request at " + this->name + ": " +
                      request.first_line.substr(0, 60));
        from.send(status_line(400) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return false;
    }
    if (!expected.empty() && expected != this->name) {
        record::write("misdirected " + attempt + " at " + this->name);
        return from.send(status_line(421) + "Not-Executed: 1\r\nInstance-Id: " + this->name +
                         "\r\nContent-Length: 0\r\n\r\n");
    }
    answer_function chosen;
    filter_function rejects;
    start_function started;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        chosen = this->answer;
        rejects = this->filter;
        started = this->before_answer;
    }
    if (rejects && rejects(from, request)) {
        return true;
    }
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        ++this->ran[attempt];
    }
    record::write("run " + attempt + " at " + this->name + ", " + request.first_line + ", " +
                  std::to_string(request.body.size()) + " bytes");
    if (started) {
        started(from, request);
    }
    return chosen ? chosen(*this, from, request) : this->answer_soundly(from, request);
}

bool backend::answer_soundly(connection& to, const message& request) {
    std::this_thread::sleep_for(milliseconds(this->work_ms));
    std::string body = "done " + request.header("attempt-id");
    return to.send(status_line(200) + "Attempt-Id: " + request.header("attempt-id") +
                   "\r\nResponse-Signature: s." + this->name +
                   "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

int backend::runs_of(const std::string& attempt) {
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->ran.find(attempt);
    return found == this->ran.end() ? 0 : found->second;
}

int backend::runs() {
    std::lock_guard<std::mutex> lock(this->mutex);
    int sum = 0;
    for (const auto& [attempt, count] : this->ran) {
        sum += count;
    }
    return sum;
}

std::string configuration_of(const configuration_options& options) {
    std::ostringstream text;
    std::set<std::string> services;
    text << "{\"Version\":" << options.version << ",\"Routes\":{";
    for (const route& each : options.routes) {
        services.insert(each.service);
        text << (&each == options.routes.data() ? "" : ",") << quoted(each.name)
             << ":{\"Host\":\"one.example\",\"Prefix\":"
             << quoted(each.prefix.empty() ? "/" + each.name + "/" : each.prefix)
             << ",\"Kind\":" << quoted(each.kind) << ",\"TimeoutS\":" << each.timeout_s
             << ",\"TargetLatencyS\":" << each.target_latency_s
             << ",\"Priority\":1,\"Service\":" << quoted(each.service)
             << ",\"MaxAttempts\":2,\"Anonymous\":false}";
    }
    text << "},\"Services\":{";
    for (const std::string& each : services) {
        text << (each == *services.begin() ? "" : ",") << quoted(each)
             << ":{\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false,"
                "\"ColdS\":3.0,\"ColdPerS\":31.0}";
    }
    text << "},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" << options.max_body_bytes
         << ",\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15},\"Tenants\":{\"tenant-one\":{\"ApiKeys\":[";
    for (const std::string& each : options.keys) {
        text << (&each == options.keys.data() ? "" : ",") << quoted(each);
    }
    text << "],\"Priority\":1,\"RatePerS\":1000,\"Burst\":1000}}}";
    return text.str();
}

std::string text_of(const request& sent) {
    bool has_body = sent.method != "GET";
    return sent.method + " " + sent.path +
           " HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: " + sent.attempt +
           "\r\nDeadline-Ms: " + std::to_string(sent.deadline_ms) + "\r\nAuthorization: Token " +
           sent.key + "\r\n" +
           (has_body ? "Content-Length: " + std::to_string(sent.body.size()) + "\r\n" : "") +
           "\r\n" + (has_body ? sent.body : "");
}

stage::stage(std::vector<node> given) : nodes(std::move(given)), daemons(this->nodes.size(), 0) {
    constexpr unsigned lowest_port = 12'000;
    constexpr unsigned port_groups = 4'000;
    constexpr int tries = 50;
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    std::random_device random;
    for (int i = 0; i < tries && this->platform == nullptr; ++i) {
        this->first_port = static_cast<std::uint16_t>(lowest_port + random() % port_groups * 5);
        try {
            this->platform = std::make_unique<store>(
                "127.0.0.1", static_cast<std::uint16_t>(this->first_port + 4));
        } catch (const std::runtime_error& error) {
            record::write(error.what());
        }
    }
    if (this->platform == nullptr) {
        throw std::runtime_error("no free port for the store");
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->backends.push_back(
            std::make_unique<backend>("i-" + std::to_string(i), this->ip(i), this->backend_port()));
        this->register_backend(i);
    }
}

stage::~stage() {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->kill_daemon(i);
    }
    this->backends.clear();
    this->platform.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string stage::entry_of(std::size_t index, const std::string& state) const {
    const node& described = this->nodes.at(index);
    return "{\"Service\":" + quoted(described.service) +
           ",\"Address\":" + quoted(this->ip(index) + ":" + std::to_string(this->backend_port())) +
           ",\"Zone\":" + quoted(described.zone) +
           ",\"Version\":\"v1\",\"Slots\":" + std::to_string(slots) +
           ",\"State\":" + quoted(state) + ",\"ColdLeftS\":0,\"Seq\":1}";
}

void stage::register_backend(std::size_t index, const std::string& state) {
    this->platform->put("servers/i-" + std::to_string(index), this->entry_of(index, state));
}

std::string stage::settings_of(std::size_t index) const {
    std::set<std::string> zones;
    for (const node& each : this->nodes) {
        zones.insert(each.zone);
    }
    auto address = [&](int offset) {
        return this->ip(index) + ":" + std::to_string(this->first_port + offset);
    };
    const std::map<std::string, std::string> fields = {
        {"Ip", this->ip(index)},
        {"Node", "side-" + std::to_string(index)},
        {"Zone", this->nodes[index].zone},
        {"Service", this->nodes[index].service},
        {"Listen.Outbound", address(0)},
        {"Listen.Inbound", address(1)},
        {"Listen.Ready", address(2)},
        {"AppAddr", address(3)},
        {"Platform.Address", "127.0.0.1:" + std::to_string(this->first_port + 4)},
        {"Bounds.QuotaWindowS", "5"},
        {"Bounds.QuotaOverage", "0.25"},
        {"Bounds.QuotaSlack", "20"},
        {"Bounds.RetryBudgetRatio", "0.2"},
        {"Bounds.BudgetSlack", "56"},
        {"Bounds.GraceS", "6"}};
    std::string text = expand_zones(read_file(settings_template), zones);
    for (const auto& [name, value] : fields) {
        std::string placeholder = "{{";
        placeholder += name;
        placeholder += "}}";
        text = replace_all(text, placeholder, value);
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
        throw std::runtime_error("the settings template cannot be filled in");
    }
    return text;
}

void stage::restart_backend(std::size_t index, const std::string& id, milliseconds read_pause) {
    this->backends.at(index).reset();
    this->backends.at(index) =
        std::make_unique<backend>(id, this->ip(index), this->backend_port(), read_pause);
}

void stage::start_daemon(std::size_t index) {
    std::string settings = this->folder + "/settings-" + std::to_string(index) + ".yaml";
    std::string log = this->folder + "/daemon-" + std::to_string(index) + ".log";
    std::ofstream(settings) << this->settings_of(index);
    pid_t parent = ::getpid();
    pid_t started = ::fork();
    if (started == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        if (::getppid() == parent) {
            ::execl(daemon_program, daemon_program, "--settings", settings.c_str(), nullptr);
        }
        ::_exit(127);
    }
    if (started < 0) {
        throw std::runtime_error("cannot start a daemon");
    }
    this->daemons.at(index) = started;
}

void stage::kill_daemon(std::size_t index) {
    pid_t& ended = this->daemons.at(index);
    if (ended > 0) {
        ::kill(ended, SIGKILL);
        ::waitpid(ended, nullptr, 0);
        ended = 0;
    }
}

bool stage::running(std::size_t index) {
    pid_t& watched = this->daemons.at(index);
    int status = 0;
    if (watched > 0 && ::waitpid(watched, &status, WNOHANG) == watched) {
        record::write("daemon " + std::to_string(index) + " ended by itself, wait status " +
                      std::to_string(status));
        watched = 0;
    }
    return watched > 0;
}

std::size_t stage::memory_mb(std::size_t index, const char* field) const {
    std::ifstream file("/proc/" + std::to_string(this->daemons.at(index)) + "/status");
    std::string word;
    std::size_t kib = 0;
    while (file >> word && word != field) {
    }
    file >> kib;
    return kib >> 10U;
}

bool stage::start() {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->start_daemon(i);
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (!this->wait_until_ready(i, std::chrono::seconds(20))) {
            record::write("daemon " + std::to_string(i) + " is not ready");
            return false;
        }
    }
    return true;
}

bool stage::ready(std::size_t index) {
    auto opened =
        connection::open(this->ip(index), static_cast<std::uint16_t>(this->first_port + 2));
    if (opened == nullptr || !opened->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        return false;
    }
    auto answer = opened->receive(std::chrono::seconds(1));
    return answer.has_value() && answer->second_word() == "200";
}

bool stage::wait_until_ready(std::size_t index, milliseconds limit) {
    return eventually([&] { return this->ready(index); }, limit);
}

std::unique_ptr<connection> stage::connect(std::size_t index) const {
    return connection::open(this->ip(index), this->first_port);
}

reply stage::send(std::size_t index, const request& sent, milliseconds limit) {
    auto opened = this->connect(index);
    if (opened == nullptr) {
        record::write("no connection for " + sent.attempt);
        return {};
    }
    return exchange(*opened, sent, limit);
}

reply exchange(connection& to, const request& sent, milliseconds limit) {
    auto begin = clock::now();
    record::write("sent " + sent.attempt + " " + sent.method + " " + sent.path + ", " +
                  std::to_string(sent.body.size()) + " bytes");
    to.send(text_of(sent));
    auto answer = to.receive(limit);
    reply result;
    result.took = std::chrono::duration_cast<milliseconds>(clock::now() - begin);
    if (answer.has_value()) {
        result.status = std::stoi("0" + answer->second_word());
        result.answer = std::move(*answer);
        record::write(
            "answered " + sent.attempt + " " + result.answer.first_line +
            (result.answer.header("response-signature").empty() ? ", unsigned, " : ", signed, ") +
            std::to_string(result.took.count()) + " ms");
    } else {
        result.status = to.timed_out() ? -1 : 0;
        record::write(
            (to.timed_out() ? "no answer for " : "connection ended without an answer for ") +
            sent.attempt + ", " + std::to_string(result.took.count()) + " ms");
    }
    return result;
}

bool eventually(const std::function<bool()>& condition, milliseconds limit) {
    auto end = clock::now() + limit;
    while (clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return condition();
}

int run_case(int argc, char** argv, const std::function<int()>& run) {
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return exit_not_run;
    }
    record::open(argv[1]);
    try {
        int outcome = run();
        record::write("exit " + std::to_string(outcome));
        return outcome;
    } catch (const std::exception& error) {
        record::write(error.what());
        return exit_not_run;
    }
}

}  // namespace review
