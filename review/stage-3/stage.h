// Stand-ins of the platform for the scripts of this review: a store that can only be read, backends
// and clients on raw sockets, and a small fleet of daemons that are started with the command and
// the settings template of the deploy file.
//
// Example:
//
//     fleet run({.trefoild = argv[1], .settings_template = argv[2]}, {{"pumps", "zone-a"}});
//     run.items.put("op/config", configuration(1));
//     run.start();
//     auto caller = connection::open(run.ip(0), run.port(port_of::callers));

#ifndef TREFOIL_REVIEW_STAGE_3_STAGE_H_
#define TREFOIL_REVIEW_STAGE_3_STAGE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "../../testing/support/process.h"

namespace trefoil::review {

// A blocking TCP connection. Reads fail after a timeout.
class connection {
public:
    explicit connection(int opened, std::chrono::milliseconds read_timeout);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    // Null if the peer does not accept the connection.
    static std::unique_ptr<connection> open(const std::string& ip, std::uint16_t port,
                                            std::chrono::milliseconds read_timeout);

    bool send(std::string_view bytes) const;
    // Reads a line without its CRLF. False at the end of the stream or after the timeout.
    bool read_line(std::string& line);
    bool read_exactly(std::size_t bytes, std::string& text);
    // Reads up to the end of the stream or the timeout.
    std::string read_rest();

private:
    bool fill();

    const int descriptor;
    std::string received;  // Bytes that were read and not returned yet.
};

struct header {
    std::string name;
    std::string value;
};

struct request {
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;

    // The value of the first header with this name in lower case; empty if there is none.
    std::string value_of(std::string_view name) const;
};

// Reads a request with a Content-Length or without a body.
std::optional<request> read_request(connection& from);

// Accepts connections and serves each in a thread of its own until the process ends.
void serve(const std::string& ip, std::uint16_t port, std::function<void(connection&)> handler);

// The platform's store as PROTOCOL.md describes it. It can turn single machines away with 503.
class store {
public:
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // Answers these machines, and the watches that they wait in, with 503 from now on, and all
    // others as usual.
    void turn_away(std::set<std::size_t> machines);
    // The machines that have called within the given time.
    std::set<std::size_t> readers(std::chrono::milliseconds within);
    void handle(std::size_t machine, connection& reader);

private:
    // A write of an item; without a value it was removed.
    struct item {
        std::optional<std::string> value;
        std::uint64_t revision = 0;
    };

    void write(const std::string& key, std::optional<std::string> value);

    // Return nothing for a machine that is turned away.
    std::optional<std::string> range(std::size_t machine, const std::string& prefix,
                                     const std::string& after);
    std::optional<std::string> watch(std::size_t machine, const std::string& prefix,
                                     std::uint64_t after, std::chrono::milliseconds wait);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;  // Without those that were removed.
    std::vector<std::pair<std::string, item>> history;
    std::uint64_t revision = 1;
    std::set<std::size_t> turned_away;
    std::map<std::size_t, std::chrono::steady_clock::time_point> last_calls;
};

// What was sent, answered and run, in order.
class record {
public:
    explicit record(const std::string& path) : file(path) {}
    void add(const std::string& line);

private:
    std::mutex mutex;
    std::ofstream file;
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
};

enum class port_of { callers, peers, readiness, backend, store };

struct machine {
    std::string service;
    std::string zone;
};

struct fleet_options {
    std::string trefoild;           // Path of the daemon's executable.
    std::string settings_template;  // Path of the template of its settings.
};

// Machine i has the address 127.0.0.(i + 2), and its backend the id "i-<i>".
class fleet {
public:
    fleet(fleet_options given, std::vector<machine> of);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    // Starts the store, the backends and the daemons. The backend of `unregistered` has no entry in
    // the store yet. False if a daemon is not ready in time.
    bool start(const std::function<void(std::size_t, connection&)>& backend,
               std::optional<std::size_t> unregistered = std::nullopt);
    // Writes the entry of a machine's backend.
    void register_backend(std::size_t index, const std::string& cold_left_s = "0");
    // Whether the daemon says that it is ready.
    bool ready(std::size_t index) const;
    // Resident memory of a daemon without pages of files; 0 after its end.
    std::size_t memory_bytes(std::size_t index) const;
    // Kills a daemon, as the platform does beyond the limit of its memory.
    void kill(std::size_t index) { this->daemons.at(index)->signal(SIGKILL); }
    // Kills the daemons and removes their files. The threads of the stand-ins run on, so the
    // process has to end without destructors.
    void stop();
    static std::string ip(std::size_t index) { return "127.0.0." + std::to_string(index + 2); }
    std::uint16_t port(port_of use) const;
    std::string address(std::size_t index, port_of use) const;
    std::size_t size() const { return this->machines.size(); }

    store items;

private:
    std::string settings(std::size_t index) const;
    const fleet_options options;
    const std::vector<machine> machines;
    std::string folder;
    std::uint16_t first_port = 0;
    std::vector<std::unique_ptr<trefoil::testing::process>> daemons;
};

// A version of the configuration with an idempotent route "/read/" of `first` and a non-idempotent
// route "/order/" of `second`, and one tenant.
std::string configuration(std::uint64_t version, const std::string& first,
                          const std::string& second);

inline constexpr const char* route_host = "mesh.example";
inline constexpr const char* tenant_key = "key-of-the-tenant";

// Whether the script runs with its disruption (the variable TROUBLE is not 0).
bool with_trouble();

// Exit statuses of a script.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

}  // namespace trefoil::review

#endif  // TREFOIL_REVIEW_STAGE_3_STAGE_H_
