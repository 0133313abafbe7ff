// A small deployment on loopback addresses for the cases of the review: a stand-in of the
// platform's store, stand-ins of backends, daemons as separate processes with the settings of the
// deploy file, and a client. Uses only the standard library and POSIX.
//
// Example:
//
//     stage deployment({{.service = "dosing", .zone = "z1"}, {.service = "dosing", .zone = "z2"}});
//     deployment.configure(configuration_of({{.name = "order", .service = "dosing"}}));
//     deployment.start();
//     reply answer = deployment.send(0, {.path = "/order/1", .attempt = "a-1"});

#ifndef REVIEW_STAGE_STAGE_H_
#define REVIEW_STAGE_STAGE_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

// False if the environment variable TROUBLE is 0: the case then runs without its disruption.
bool with_trouble();

// The file record.txt of a case. Each line has the milliseconds since the start.
class record {
public:
    static void open(const std::string& path);
    static void write(const std::string& line);
};

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers;  // Names in lower case.
    std::string body;

    std::string header(const std::string& name) const;
    // The second word of the first line: the target of a request, the status of a response.
    std::string second_word() const;
};

// A connected socket, which is closed by the destructor.
class connection {
public:
    explicit connection(int descriptor) : socket(descriptor) {}
    ~connection() { this->close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Returns nothing if the connection cannot be opened.
    static std::unique_ptr<connection> open(const std::string& ip, std::uint16_t port);

    bool send(std::string_view bytes);
    // Reads one HTTP message. Returns nothing if the connection ended first or after the limit, see
    // `timed_out`.
    std::optional<message> receive(std::chrono::milliseconds limit);
    bool timed_out() const { return this->late; }
    // Whether the peer has closed the connection.
    bool closed_by_peer() const;
    void shut_down();
    // Waits after each read, so that the peer's send buffer fills.
    void set_read_pause(std::chrono::milliseconds pause) { this->read_pause = pause; }
    void close();

private:
    std::atomic<int> socket;
    std::string buffer;
    std::chrono::milliseconds read_pause{0};
    bool late = false;
};

// Listens on an address and serves each connection in a thread of its own.
class server {
public:
    // Handles one request; returns whether to keep the connection.
    using handler = std::function<bool(connection&, const message&)>;

    server(const std::string& ip, std::uint16_t port, handler serve,
           std::chrono::milliseconds read_pause = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

private:
    void accept_all();
    void serve_one(const std::shared_ptr<connection>& accepted);

    const handler serve;
    const std::chrono::milliseconds pause;
    int listener = -1;
    std::mutex mutex;
    bool stopping = false;                          // Guarded by mutex.
    std::vector<std::shared_ptr<connection>> open;  // Guarded by mutex.
    std::vector<std::thread> threads;               // Guarded by mutex.
    std::thread acceptor;
};

// The platform's store: one revision counter, items, their history, range and watch calls.
class store {
public:
    store(const std::string& ip, std::uint16_t port);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<std::string> value;  // Empty: deleted.
    };

    bool handle(connection& from, const message& request);
    std::string range(const std::map<std::string, std::string>& query);
    std::string watch(const std::map<std::string, std::string>& query);

    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::uint64_t revision = 100;
    std::map<std::string, item> items;
    std::vector<change> history;
    std::unique_ptr<server> listener;  // The last member: its threads use the others.
};

// A backend. Rejects requests for another instance with 421, runs others and answers with its
// signature, unless `answer` does something else.
class backend {
public:
    // Called for each request that runs, after it was recorded. Returns whether to keep the
    // connection.
    using answer_function = std::function<bool(backend&, connection&, const message&)>;

    backend(std::string id, const std::string& ip, std::uint16_t port,
            std::chrono::milliseconds read_pause = {});

    const std::string& id() const { return this->name; }
    void set_work(std::chrono::milliseconds time) {
        this->work_ms = static_cast<int>(time.count());
    }
    // Null: a sound answer.
    void set_answer(answer_function next);
    // `next` may reject a request before it runs and returns whether it did.
    using filter_function = std::function<bool(connection&, const message&)>;
    void set_filter(filter_function next);
    // `next` is called when a request has started to run, before its answer.
    using start_function = std::function<void(connection&, const message&)>;
    void set_before_answer(start_function next);
    // Works for the set time, then answers with 200, the signature and a body.
    bool answer_soundly(connection& to, const message& request);
    // Number of requests with this id that have run.
    int runs_of(const std::string& attempt);
    // Number of all requests that have run.
    int runs();

private:
    bool handle(connection& from, const message& request);

    const std::string name;
    std::atomic<int> work_ms{20};
    std::mutex mutex;
    answer_function answer;            // Guarded by mutex.
    filter_function filter;            // Guarded by mutex.
    start_function before_answer;      // Guarded by mutex.
    std::map<std::string, int> ran;    // By attempt id. Guarded by mutex.
    std::unique_ptr<server> listener;  // The last member: its threads use the others.
};

struct route {
    std::string name;
    std::string service;
    std::string kind = "non_idempotent";
    std::string prefix = {};  // Empty: "/NAME/".
    double timeout_s = 2;
    double target_latency_s = 0.4;
};

struct configuration_options {
    int version = 1;
    std::vector<route> routes;
    std::vector<std::string> keys = {"key-one"};
    std::uint64_t max_body_bytes = 67108864;
};

// The text of `op/config`.
std::string configuration_of(const configuration_options& options);

struct request {
    std::string path;
    std::string attempt;
    std::string method = "POST";
    std::string key = "key-one";
    std::string body = "x";
    int deadline_ms = 2500;
};

// The bytes of a request.
std::string text_of(const request& sent);

struct reply {
    int status = 0;  // 0: the connection ended without a complete answer, -1: no answer in time.
    message answer;
    std::chrono::milliseconds took{};
};

struct node {
    std::string service;
    std::string zone;
};

// Node i has the address 127.0.0.(i + 2) and the backend id "i-<i>".
class stage {
public:
    explicit stage(std::vector<node> nodes);
    ~stage();
    stage(const stage&) = delete;
    stage& operator=(const stage&) = delete;

    void configure(const std::string& configuration) {
        this->items().put("op/config", configuration);
    }
    // Writes the store entry of a backend.
    void register_backend(std::size_t index, const std::string& state = "ready");
    std::string entry_of(std::size_t index, const std::string& state) const;
    // Starts all daemons and waits until they are ready. Returns false if they are not within 20 s.
    bool start();
    void start_daemon(std::size_t index);
    void kill_daemon(std::size_t index);
    void stop_backend(std::size_t index) { this->backends.at(index).reset(); }
    void restart_backend(std::size_t index, const std::string& id,
                         std::chrono::milliseconds read_pause = {});
    bool wait_until_ready(std::size_t index, std::chrono::milliseconds limit);
    bool ready(std::size_t index);
    // Whether the process of a daemon runs. If it has ended, its status is recorded.
    bool running(std::size_t index);
    // Resident memory of a daemon, now and at its peak, in MB.
    std::size_t memory_mb(std::size_t index, const char* field = "VmRSS:") const;

    // Sends one request on a new connection to a daemon and waits for the answer.
    reply send(std::size_t index, const request& sent,
               std::chrono::milliseconds limit = std::chrono::seconds(6));
    std::unique_ptr<connection> connect(std::size_t index) const;

    store& items() { return *this->platform; }
    backend& backend_of(std::size_t index) { return *this->backends.at(index); }
    std::string ip(std::size_t index) const { return "127.0.0." + std::to_string(index + 2); }
    std::uint16_t backend_port() const { return static_cast<std::uint16_t>(this->first_port + 3); }

private:
    std::string settings_of(std::size_t index) const;

    const std::vector<node> nodes;
    std::string folder;            // Temporary; removed by the destructor.
    std::uint16_t first_port = 0;  // Callers, peers, readiness and backend.
    std::unique_ptr<store> platform;
    std::vector<std::unique_ptr<backend>> backends;
    std::vector<pid_t> daemons;  // 0: not running.
};

// Sends a request on an open connection and waits for the answer.
reply exchange(connection& to, const request& sent, std::chrono::milliseconds limit);

// Polls until `condition` holds. Returns false if it does not within the limit.
bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit);

// Opens the record named by the first argument and runs the case. An exception ends it with
// exit_not_run.
int run_case(int argc, char** argv, const std::function<int()>& run);

}  // namespace review

#endif  // REVIEW_STAGE_STAGE_H_
