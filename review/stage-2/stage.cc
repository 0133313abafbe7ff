// Implements the stand-ins.

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
#include <cstring>
#include <filesystem>
#include <random>
#include <sstream>
#include <stdexcept>

namespace stage {

namespace {

constexpr milliseconds heartbeat{1500};
constexpr std::size_t page_items = 500;

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return std::tolower(static_cast<unsigned char>(a)) ==
                      std::tolower(static_cast<unsigned char>(b));
           });
}

std::string trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    return std::string(text);
}

std::string word(const std::string& line, std::size_t number) {
    std::istringstream words(line);
    std::string found;
    for (std::size_t i = 0; i <= number; ++i) {
        found.clear();
        words >> found;
    }
    return found;
}

sockaddr_in socket_address(const std::string& ip, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string base64(const std::string& bytes) {
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U;
            group += j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U;
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += j <= count ? digits[(group >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return text;
}

std::string percent_decoded(const std::string& text) {
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
    std::istringstream rest(question == std::string::npos ? "" : target.substr(question + 1));
    std::string pair;
    while (std::getline(rest, pair, '&')) {
        std::size_t equals = std::min(pair.find('='), pair.size());
        query[pair.substr(0, equals)] =
            equals < pair.size() ? percent_decoded(pair.substr(equals + 1)) : "";
    }
    return query;
}

std::uint64_t number_in(const std::map<std::string, std::string>& query, const char* name) {
    auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string text_in(const std::map<std::string, std::string>& query, const char* name) {
    auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

std::string response(int status, const std::string& reason, const std::string& headers,
                     const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
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

// Renders the section of the zones, which are all in one region.
std::string render_zones(const std::string& text, const std::vector<machine>& machines) {
    const std::string begin = "{{#Zones}}";
    const std::string end = "{{/Zones}}";
    std::size_t from = text.find(begin);
    std::size_t to = text.find(end);
    if (from == std::string::npos || to == std::string::npos) {
        return text;
    }
    std::map<std::string, bool> zones;
    for (const machine& each : machines) {
        zones[each.zone] = true;
    }
    std::string section = text.substr(from + begin.size(), to - from - begin.size());
    std::string all;
    std::size_t left = zones.size();
    for (const auto& [zone, unused] : zones) {
        std::string entry = replace_all(section, "{{@}}", zone);
        entry = replace_all(entry, "{{.}}", "region-1");
        all += replace_all(entry, "{{,}}", --left > 0 ? "," : "");
    }
    return text.substr(0, from) + all + text.substr(to + end.size());
}

std::uint64_t unix_milliseconds() {
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

}  // namespace

bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

bool wait_for(const std::function<bool()>& condition, milliseconds limit) {
    constexpr milliseconds step{20};
    auto end = clock::now() + limit;
    while (!condition()) {
        if (clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(step);
    }
    return true;
}

record::record(const std::string& path) : file(path) {}

double record::seconds() const {
    return std::chrono::duration<double>(clock::now() - this->begin).count();
}

void record::line(const std::string& text) {
    std::lock_guard lock(this->mutex);
    this->file << std::fixed << this->seconds() << ' ' << text << std::endl;
}

std::optional<std::string> message::header(std::string_view name) const {
    for (const auto& [each, value] : this->headers) {
        if (equal_ignoring_case(each, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::string message::method() const {
    return word(this->first_line, 0);
}

std::string message::target() const {
    return word(this->first_line, 1);
}

int message::status() const {
    return std::atoi(word(this->first_line, 1).c_str());
}

connection::~connection() {
    ::close(this->fd);
}

std::unique_ptr<connection> connection::open(const std::string& ip, std::uint16_t port,
                                             int window_bytes) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (window_bytes > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes));
    }
    sockaddr_in address = socket_address(ip, port);
    if (fd < 0 || ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        if (fd >= 0) {
            ::close(fd);
        }
        return nullptr;
    }
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<connection>(fd);
}

void connection::shut_down() {
    ::shutdown(this->fd, SHUT_RDWR);
}

bool connection::write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill(clock::time_point end) {
    auto left = std::chrono::ceil<milliseconds>(end - clock::now());
    pollfd waited{.fd = this->fd, .events = POLLIN, .revents = 0};
    if (left.count() <= 0 || ::poll(&waited, 1, static_cast<int>(left.count())) <= 0) {
        return false;
    }
    char bytes[16384];
    ssize_t count = ::recv(this->fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool connection::read_head(message& found, clock::time_point end) {
    std::size_t size = std::string::npos;
    while ((size = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(end)) {
            return false;
        }
    }
    found.raw = this->buffer.substr(0, size + 4);
    this->buffer.erase(0, size + 4);
    std::istringstream lines(found.raw);
    std::string line;
    std::getline(lines, line);
    found.first_line = trimmed(line);
    while (std::getline(lines, line) && !trimmed(line).empty()) {
        std::size_t colon = std::min(line.find(':'), line.size() - 1);
        found.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    return true;
}

bool connection::read_chunks(message& found, clock::time_point end) {
    while (true) {
        std::size_t line = std::string::npos;
        while ((line = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill(end)) {
                return false;
            }
        }
        std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
        while (this->buffer.size() < line + 2 + size + 2) {
            if (!this->fill(end)) {
                return false;
            }
        }
        found.raw += this->buffer.substr(0, line + 2 + size + 2);
        found.body += this->buffer.substr(line + 2, size);
        this->buffer.erase(0, line + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

std::optional<message> connection::read_request(milliseconds limit) {
    auto end = clock::now() + limit;
    message found;
    if (!this->read_head(found, end)) {
        return std::nullopt;
    }
    if (equal_ignoring_case(found.header("Transfer-Encoding").value_or(""), "chunked")) {
        return this->read_chunks(found, end) ? std::optional(found) : std::nullopt;
    }
    std::size_t length =
        std::strtoul(found.header("Content-Length").value_or("0").c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
        if (!this->fill(end)) {
            return std::nullopt;
        }
    }
    found.body = this->buffer.substr(0, length);
    found.raw += found.body;
    this->buffer.erase(0, length);
    return found;
}

std::optional<message> connection::read_response(milliseconds limit) {
    return this->read_request(limit);
}

listener::listener(const std::string& ip, std::uint16_t port, server given)
    : serve(std::move(given)) {
    constexpr int backlog = 1024;
    int created = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(created, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = socket_address(ip, port);
    bool listens = ::bind(created, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
                   ::listen(created, backlog) == 0;
    if (!listens) {
        ::close(created);
        return;
    }
    this->fd = created;
    this->acceptor = std::thread([this] { this->run(); });
}

listener::~listener() {
    this->stopping = true;
    if (this->acceptor.joinable()) {
        this->acceptor.join();
    }
    std::vector<std::thread> ended;
    {
        std::lock_guard lock(this->mutex);
        for (const auto& each : this->open) {
            each->shut_down();
        }
        ended.swap(this->threads);
    }
    for (std::thread& each : ended) {
        each.join();
    }
    if (this->fd >= 0) {
        ::close(this->fd);
    }
}

void listener::run() {
    constexpr int step_ms = 20;
    while (!this->stopping) {
        pollfd waited{.fd = this->fd, .events = POLLIN, .revents = 0};
        if (::poll(&waited, 1, step_ms) <= 0) {
            continue;
        }
        int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto caller = std::make_shared<connection>(accepted);
        std::lock_guard lock(this->mutex);
        this->open.push_back(caller);
        this->threads.emplace_back([this, caller] {
            this->serve(*caller);
            caller->shut_down();
        });
    }
}

store::store(record& given, const std::string& ip, std::uint16_t port) : notes(given) {
    this->socket =
        std::make_unique<listener>(ip, port, [this](connection& each) { this->serve(each); });
    if (!this->socket->listening()) {
        throw std::runtime_error("no free port for the store");
    }
}

store::~store() {
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->socket.reset();
}

bool store::put(const std::string& key, const std::string& value) {
    std::lock_guard lock(this->mutex);
    if (this->state != store_state::up) {
        return false;
    }
    ++this->revision;
    this->items[key] = {.value = value, .revision = this->revision};
    this->history.push_back({.key = key, .revision = this->revision, .value = value});
    this->changed.notify_all();
    return true;
}

bool store::remove(const std::string& key) {
    std::lock_guard lock(this->mutex);
    if (this->state != store_state::up || this->items.erase(key) == 0) {
        return false;
    }
    ++this->revision;
    this->history.push_back({.key = key, .revision = this->revision, .value = std::nullopt});
    this->changed.notify_all();
    return true;
}

void store::set_state(store_state next) {
    {
        std::lock_guard lock(this->mutex);
        this->state = next;
    }
    this->changed.notify_all();
    this->notes.line(next == store_state::up       ? "store: up"
                     : next == store_state::silent ? "store: silent"
                                                   : "store: busy (503)");
}

void store::take_copy() {
    std::lock_guard lock(this->mutex);
    this->copied_items = this->items;
    this->copied_history = this->history;
    this->copied_revision = this->revision;
}

void store::restore() {
    {
        std::lock_guard lock(this->mutex);
        this->items = this->copied_items;
        this->history = this->copied_history;
        this->revision = this->copied_revision;
        ++this->era;
    }
    this->changed.notify_all();
    this->notes.line("store: returned to the copy, the era has risen");
}

// Called with the mutex held.
std::string store::respond(int status, const std::string& body) const {
    return response(
        status, status == 200 ? "OK" : "Other",
        "Content-Type: application/json\r\nStore-Era: " + std::to_string(this->era) + "\r\n", body);
}

// Holds a call while the store is silent. Returns false if the call is not to be answered: what was
// asked while the store was silent gets no answer.
bool store::wait_while_silent() {
    std::unique_lock lock(this->mutex);
    bool was_silent = this->state == store_state::silent;
    this->changed.wait(lock,
                       [this] { return this->stopping || this->state != store_state::silent; });
    return !this->stopping && !was_silent;
}

void store::serve(connection& caller) {
    constexpr milliseconds idle{60'000};
    while (auto request = caller.read_request(idle)) {
        if (!this->wait_while_silent()) {
            return;
        }
        auto query = query_of(request->target());
        std::string reply = request->target().starts_with("/api/kv-watch") ? this->watch(query)
                                                                           : this->range(query);
        {
            std::lock_guard lock(this->mutex);
            if (this->state == store_state::busy) {
                reply = this->respond(503, "{}");
            }
        }
        // What was asked before the store fell silent gets no answer either.
        if (!this->answers_now()) {
            this->wait_while_silent();
            return;
        }
        if (!caller.write(reply)) {
            return;
        }
    }
}

bool store::answers_now() {
    std::lock_guard lock(this->mutex);
    return this->state != store_state::silent;
}

std::string store::range(const std::map<std::string, std::string>& query) {
    std::string prefix = text_in(query, "Prefix");
    std::lock_guard lock(this->mutex);
    std::string list;
    std::size_t count = 0;
    bool more = false;
    for (auto each = this->items.upper_bound(text_in(query, "after")); each != this->items.end();
         ++each) {
        if (!each->first.starts_with(prefix)) {
            continue;
        }
        if (++count > page_items) {
            more = true;
            break;
        }
        std::string number = std::to_string(each->second.revision);
        list += list.empty() ? "" : ",";
        list += "{\"Key\":\"";
        list += each->first;
        list += "\",\"Value\":\"";
        list += base64(each->second.value);
        list += "\",\"Revision\":" + number;
        list += ",\"Created\":" + number + ",\"Lease\":0}";
    }
    return this->respond(200, "{\"items\":[" + list + "],\"HasMore\":" + (more ? "true" : "false") +
                                  ",\"At\":" + std::to_string(this->revision) + "}");
}

std::string store::watch(const std::map<std::string, std::string>& query) {
    std::uint64_t after = number_in(query, "after");
    std::string prefix = text_in(query, "Prefix");
    auto end = clock::now() + milliseconds(number_in(query, "WaitMs"));
    std::unique_lock lock(this->mutex);
    auto newer = [&] {
        return std::any_of(this->history.begin(), this->history.end(), [&](const change& each) {
            return each.revision > after && each.key.starts_with(prefix);
        });
    };
    this->changed.wait_until(
        lock, end, [&] { return this->stopping || this->state != store_state::up || newer(); });
    std::string list;
    for (const change& each : this->history) {
        if (each.revision <= after || !each.key.starts_with(prefix)) {
            continue;
        }
        list += list.empty() ? "" : ",";
        list += "{\"Key\":\"";
        list += each.key;
        list += "\",\"Revision\":" + std::to_string(each.revision);
        list += each.value.has_value() ? ",\"Value\":\"" + base64(*each.value) + "\"}"
                                       : ",\"Deleted\":true}";
    }
    return this->respond(
        200, "{\"events\":[" + list + "],\"At\":" + std::to_string(this->revision) + "}");
}

process::process(const std::vector<std::string>& command, const std::string& log) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& each : command) {
        arguments.push_back(const_cast<char*>(each.c_str()));
    }
    arguments.push_back(nullptr);
    this->pid = ::fork();
    if (this->pid == 0) {
        // The daemon ends with the script, also when the script is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
}

process::~process() {
    this->signal(SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
}

void process::signal(int number) const {
    ::kill(this->pid, number);
}

bool process::running() const {
    siginfo_t ended{};
    ::waitid(P_PID, static_cast<id_t>(this->pid), &ended, WEXITED | WNOHANG | WNOWAIT);
    return ended.si_pid == 0;
}

backend::backend(record& given, store& used, std::string own_id, machine where, std::string own)
    : notes(given),
      platform(used),
      id(std::move(own_id)),
      place(std::move(where)),
      address(std::move(own)),
      born(unix_milliseconds()) {}

backend::~backend() {
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->stopped.notify_all();
    if (this->heart.joinable()) {
        this->heart.join();
    }
    this->socket.reset();
}

bool backend::start(const std::string& ip, std::uint16_t port, answer given) {
    this->responder = std::move(given);
    this->socket =
        std::make_unique<listener>(ip, port, [this](connection& each) { this->serve(each); });
    if (!this->socket->listening()) {
        return false;
    }
    this->write_entry();
    this->heart = std::thread([this] { this->beat(); });
    return true;
}

void backend::beat() {
    std::unique_lock lock(this->mutex);
    while (!this->stopped.wait_for(lock, heartbeat, [this] { return this->stopping; })) {
        lock.unlock();
        this->write_entry();
        lock.lock();
    }
}

bool backend::write_entry() {
    std::string cold = std::to_string(std::chrono::duration<double>(this->cold_left()).count());
    std::uint64_t number = 0;
    {
        std::lock_guard lock(this->mutex);
        number = ++this->sequence;
    }
    return this->platform.put(
        "servers/" + this->id,
        "{\"Service\":\"" + this->place.service + "\",\"Address\":\"" + this->address +
            "\",\"Zone\":\"" + this->place.zone +
            "\",\"Version\":\"v1\",\"Slots\":12,\"State\":\"ready\",\"ColdLeftS\":" + cold +
            ",\"Seq\":" + std::to_string(number) + ",\"born\":" + std::to_string(this->born) + "}");
}

void backend::become_cold(milliseconds time) {
    {
        std::lock_guard lock(this->mutex);
        this->cold_until = clock::now() + time;
    }
    this->notes.line("backend " + this->id + ": cold from now on");
    this->write_entry();
}

milliseconds backend::cold_left() const {
    std::lock_guard lock(this->mutex);
    auto left = std::chrono::ceil<milliseconds>(this->cold_until - clock::now());
    return std::max(left, milliseconds(0));
}

std::vector<std::pair<clock::time_point, std::string>> backend::arrivals() const {
    std::lock_guard lock(this->mutex);
    return this->runs;
}

void backend::serve(connection& caller) {
    constexpr milliseconds idle{10'000};
    while (auto request = caller.read_request(idle)) {
        std::string reply = this->respond(*request);
        if (reply.empty() || !caller.write(reply)) {
            return;
        }
    }
}

std::string backend::respond(const message& request) {
    if (request.target() == "/healthz") {
        std::string headers = "Instance-Id: " + this->id + "\r\n";
        if (this->cold()) {
            headers += "Cold-Ms: " + std::to_string(this->cold_left().count()) + "\r\n";
        }
        return response(200, "OK", headers, "");
    }
    if (request.header("Target-Instance").value_or(this->id) != this->id) {
        return response(421, "Misdirected Request", "Instance-Id: " + this->id + "\r\n", "");
    }
    std::string attempt = request.header("Attempt-Id").value_or("");
    if (attempt.empty()) {
        return response(400, "Bad Request", "Not-Executed: 1\r\n", "");
    }
    {
        std::lock_guard lock(this->mutex);
        this->runs.emplace_back(clock::now(), attempt);
    }
    this->notes.line("backend " + this->id + ": runs " + attempt + " " + request.first_line);
    return this->responder(*this, request);
}

std::string signed_response(const message& request, const std::string& body) {
    return response(200, "OK",
                    "Attempt-Id: " + request.header("Attempt-Id").value_or("") +
                        "\r\nResponse-Signature: s" + std::to_string(body.size()) + "\r\n",
                    body);
}

fleet::fleet(record& given, std::vector<machine> wanted)
    : notes(given), machines(std::move(wanted)) {
    constexpr int tries = 50;
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    std::random_device random;
    for (int i = 0; i < tries && this->shared == nullptr; ++i) {
        this->network = "127." + std::to_string(20 + random() % 200);
        this->first_port = static_cast<std::uint16_t>(10'000 + random() % 20'000);
        try {
            this->shared =
                std::make_unique<store>(this->notes, this->network + ".0.1", this->first_port);
        } catch (const std::runtime_error&) {
            this->shared = nullptr;
        }
    }
    if (this->shared == nullptr) {
        throw std::runtime_error("no free port for the store");
    }
}

fleet::~fleet() {
    this->daemons.clear();
    this->apps.clear();
    this->shared.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string fleet::ip(std::size_t number) const {
    return this->network + ".1." + std::to_string(number + 1);
}

std::string fleet::settings(std::size_t number) const {
    auto address = [&](int offset) {
        return this->ip(number) + ":" + std::to_string(this->first_port + offset);
    };
    std::string text = render_zones(read_file("deploy/settings.yaml"), this->machines);
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"Ip", this->ip(number)},
        {"Node", "side-" + std::to_string(number + 1)},
        {"Zone", this->machines[number].zone},
        {"Service", this->machines[number].service},
        {"Listen.Outbound", address(1)},
        {"Listen.Inbound", address(2)},
        {"Listen.Ready", address(3)},
        {"AppAddr", address(4)},
        {"Platform.Address", this->network + ".0.1:" + std::to_string(this->first_port)},
        {"Bounds.QuotaWindowS", "5"},
        {"Bounds.QuotaOverage", "0.25"},
        {"Bounds.QuotaSlack", "20"},
        {"Bounds.RetryBudgetRatio", "0.2"},
        {"Bounds.BudgetSlack", "56"},
        {"Bounds.GraceS", "6"}};
    for (const auto& [name, value] : fields) {
        std::string placeholder = "{{";
        placeholder += name;
        placeholder += "}}";
        text = replace_all(text, placeholder, value);
    }
    return text;
}

// Returns the command of the deploy file with the figures of a small deployment.
std::vector<std::string> fleet::command(const std::string& path) const {
    std::string text = read_file("deploy/system.toml");
    std::size_t begin = text.find("\nrun = \"") + 8;
    std::istringstream words(text.substr(begin, text.find('"', begin) - begin));
    std::vector<std::string> found;
    std::string each;
    while (words >> each) {
        each = replace_all(each, "/etc/trefoilcleat/settings.toml", path);
        each = replace_all(each, "{{Platform.ValueBytes}}", "1048576");
        each = replace_all(each, "{{Limits.MemoryMb}}", "260");
        found.push_back(replace_all(each, "{{Limits.MaxFds}}", "4100"));
    }
    return found;
}

bool fleet::start(const answer& responder) {
    constexpr milliseconds limit{20'000};
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
        auto port = static_cast<std::uint16_t>(this->first_port + 4);
        this->apps.push_back(
            std::make_unique<backend>(this->notes, *this->shared, "i-" + std::to_string(i + 1),
                                      this->machines[i], this->ip(i) + ":" + std::to_string(port)));
        if (!this->apps.back()->start(this->ip(i), port, responder)) {
            return false;
        }
    }
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
        this->daemons.push_back(this->launch(i));
    }
    bool all = wait_for(
        [this] {
            for (std::size_t i = 0; i < this->machines.size(); ++i) {
                if (!this->ready(i)) {
                    return false;
                }
            }
            return true;
        },
        limit);
    this->notes.line(all ? "all daemons are ready" : "the daemons are not ready");
    return all;
}

std::unique_ptr<process> fleet::launch(std::size_t number) const {
    std::string path = this->folder + "/settings-" + std::to_string(number) + ".yaml";
    std::ofstream(path) << this->settings(number);
    return std::make_unique<process>(this->command(path),
                                     this->folder + "/daemon-" + std::to_string(number) + ".log");
}

void fleet::kill(std::size_t number) {
    this->daemons.at(number).reset();
    this->notes.line("daemon " + std::to_string(number + 1) + " is killed");
}

void fleet::start_again(std::size_t number) {
    this->daemons.at(number) = this->launch(number);
    this->notes.line("daemon " + std::to_string(number + 1) + " is started again");
}

std::unique_ptr<connection> fleet::call(std::size_t number, int window_bytes) const {
    return connection::open(this->ip(number), static_cast<std::uint16_t>(this->first_port + 1),
                            window_bytes);
}

bool fleet::ready(std::size_t number) const {
    constexpr milliseconds limit{1000};
    auto asked =
        connection::open(this->ip(number), static_cast<std::uint16_t>(this->first_port + 3));
    if (asked == nullptr || !asked->write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        return false;
    }
    auto found = asked->read_response(limit);
    return found.has_value() && found->status() == 200;
}

}  // namespace stage
