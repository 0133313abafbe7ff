// Stand-ins for the scripts of the second review: the platform's store, backends and clients on
// loopback addresses, and the daemons as processes started with the command of the deploy file.
//
// Example:
//
//     stage::record notes("record.txt");
//     stage::fleet daemons(notes, {{"zone-a", "orders"}, {"zone-b", "orders"}});
//     daemons.platform().put("op/config", text);
//     daemons.start();

#ifndef TREFOIL_REVIEW_STAGE_2_STAGE_H_
#define TREFOIL_REVIEW_STAGE_2_STAGE_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

// Whether the disruption is wanted: TROUBLE is not 0.
bool trouble();

// Writes lines with the time since the start in seconds. Safe for concurrent use.
class record {
public:
    explicit record(const std::string& path);
    void line(const std::string& text);
    double seconds() const;

private:
    std::mutex mutex;
    std::ofstream file;
    const clock::time_point begin = clock::now();
};

struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // The bytes as they were read.
    std::string raw;

    // Returns the first value of a header, or nothing.
    std::optional<std::string> header(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    // Of a response; 0 if the first line states none.
    int status() const;
};

// A connected TCP socket.
class connection {
public:
    explicit connection(int descriptor) : fd(descriptor) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // `window_bytes` bounds the receive buffer; 0: as the system chooses it.
    static std::unique_ptr<connection> open(const std::string& ip, std::uint16_t port,
                                            int window_bytes = 0);

    bool write(const std::string& bytes);
    // Reads one message. Returns nothing at the end, after a failure or after the limit.
    std::optional<message> read_request(milliseconds limit);
    std::optional<message> read_response(milliseconds limit);
    void shut_down();

private:
    bool fill(clock::time_point end);
    bool read_head(message& found, clock::time_point end);
    bool read_chunks(message& found, clock::time_point end);

    const int fd;
    std::string buffer;
};

// Accepts connections and serves each in a thread of its own.
class listener {
public:
    using server = std::function<void(connection&)>;

    listener(const std::string& ip, std::uint16_t port, server serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    bool listening() const { return this->fd >= 0; }

private:
    void run();

    int fd = -1;
    server serve;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<std::shared_ptr<connection>> open;  // Guarded by mutex.
    std::vector<std::thread> threads;               // Guarded by mutex.
    std::thread acceptor;
};

enum class store_state { up, silent, busy };

// The platform's metadata store.
class store {
public:
    store(record& notes, const std::string& ip, std::uint16_t port);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    // Return whether the store accepted the write; it accepts none while it is away.
    bool put(const std::string& key, const std::string& value);
    bool remove(const std::string& key);
    void set_state(store_state next);
    // Keeps a copy of all items. restore() returns to it and raises the era, as in a drill.
    void take_copy();
    void restore();

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<std::string> value;
    };

    void serve(connection& caller);
    bool wait_while_silent();
    bool answers_now();
    std::string range(const std::map<std::string, std::string>& query);
    std::string watch(const std::map<std::string, std::string>& query);
    std::string respond(int status, const std::string& body) const;

    record& notes;
    std::mutex mutex;
    std::condition_variable changed;
    // Guarded by mutex.
    std::map<std::string, item> items;
    std::deque<change> history;
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    std::map<std::string, item> copied_items;
    std::deque<change> copied_history;
    std::uint64_t copied_revision = 1;
    store_state state = store_state::up;
    bool stopping = false;

    std::unique_ptr<listener> socket;
};

// One process with the daemon's program.
class process {
public:
    process(const std::vector<std::string>& command, const std::string& log);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    void signal(int number) const;
    pid_t id() const { return this->pid; }
    // Whether the process has not ended.
    bool running() const;

private:
    pid_t pid = -1;
};

struct machine {
    std::string zone;
    std::string service;
};

class backend;
// Answers a request that arrived at a backend; an empty text closes the connection.
using answer = std::function<std::string(backend&, const message&)>;

// An application backend. Registers itself and writes its entry each heartbeat.
class backend {
public:
    backend(record& notes, store& platform, std::string id, machine place, std::string address);
    ~backend();
    backend(const backend&) = delete;
    backend& operator=(const backend&) = delete;

    // Starts to listen and registers the backend.
    bool start(const std::string& ip, std::uint16_t port, answer responder);
    // The backend is cold from now on. It says so in its health answers at once and in its entry
    // with the next heartbeat that the store accepts.
    void become_cold(milliseconds time);
    milliseconds cold_left() const;
    bool cold() const { return this->cold_left().count() > 0; }
    const std::string& name() const { return this->id; }
    // The requests that it began to run, by the time of arrival.
    std::vector<std::pair<clock::time_point, std::string>> arrivals() const;

private:
    void serve(connection& caller);
    std::string respond(const message& request);
    void beat();
    bool write_entry();

    record& notes;
    store& platform;
    const std::string id;
    const machine place;
    const std::string address;
    const std::uint64_t born;
    answer responder;
    mutable std::mutex mutex;
    std::condition_variable stopped;
    // Guarded by mutex.
    clock::time_point cold_until;
    std::vector<std::pair<clock::time_point, std::string>> runs;
    std::uint64_t sequence = 0;
    bool stopping = false;

    std::unique_ptr<listener> socket;
    std::thread heart;
};

// A response of a backend to `request` with the whole body.
std::string signed_response(const message& request, const std::string& body);

// The daemons with their backends and the store. Every machine has an address of its own and the
// same ports.
class fleet {
public:
    fleet(record& notes, std::vector<machine> machines);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    store& platform() { return *this->shared; }
    backend& app(std::size_t number) { return *this->apps.at(number); }
    process& daemon(std::size_t number) { return *this->daemons.at(number); }
    std::size_t size() const { return this->machines.size(); }

    // Starts the backends and the daemons and waits until all daemons are ready. Returns false if
    // they are not ready within 20 s.
    bool start(const answer& responder);
    // Opens a connection to a daemon as a client on its machine.
    std::unique_ptr<connection> call(std::size_t number, int window_bytes = 0) const;
    bool ready(std::size_t number) const;
    // Kills a daemon; start_again() starts a new process of it.
    void kill(std::size_t number);
    void start_again(std::size_t number);

private:
    std::string ip(std::size_t number) const;
    std::string settings(std::size_t number) const;
    std::unique_ptr<process> launch(std::size_t number) const;
    std::vector<std::string> command(const std::string& path) const;

    record& notes;
    const std::vector<machine> machines;
    std::string folder;
    std::string network;  // The first two numbers of the addresses.
    std::uint16_t first_port = 0;
    std::unique_ptr<store> shared;
    std::vector<std::unique_ptr<backend>> apps;
    std::vector<std::unique_ptr<process>> daemons;
};

// Waits until the condition holds. Returns false after the limit.
bool wait_for(const std::function<bool()>& condition, milliseconds limit);

}  // namespace stage

#endif  // TREFOIL_REVIEW_STAGE_2_STAGE_H_
