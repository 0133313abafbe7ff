// Load generator: concurrent callers send requests to daemons, or directly to an upstream double,
// and verify each response against its request. Requests and outcomes are written as events for the
// history checker, and a JSON summary is printed at the end.
//
// The key file has one line per key, "<label> <workspace> <key>". A workspace of "-" marks a key
// that is not valid, and a key of "-" sends no key. Caller i uses line i modulo the number of
// lines. Events contain the label of a key and never the key itself.

#include <algorithm>
#include <cmath>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "base/random.h"
#include "load_client/persistent_connection.h"
#include "support/event_log.h"
#include "support/http.h"
#include "support/program.h"

namespace trefoil::testing {

namespace {

struct key_entry {
    std::string label = "none";
    std::string workspace = "-";
    std::string key = "-";
};

struct load_options {
    std::vector<std::string> targets;  // "ip:port"
    std::vector<std::string> paths;
    std::string method = "GET";
    std::string key_file;
    std::vector<std::string> headers;
    double rate = 0;  // Requests per second, all callers together; 0: closed loop without pauses.
    int callers = 1;
    double seconds = 5;
    std::uint64_t seed = 1;
    std::size_t body_bytes = 0;
    // Above 0, each caller uses one persistent_connection and pauses for a random time of at most
    // this length between requests. 0: the pauses follow `rate`, and libcurl pools connections.
    std::int64_t max_idle_ms = 0;
    std::string events;
};

// Results of all callers.
struct load_summary {
    std::mutex mutex;  // Guards the members below.
    std::map<std::string, std::uint64_t> results;
    std::vector<std::int64_t> latencies_us;

    void add(const http_reply& reply, std::int64_t latency_us) {
        std::string reason = reply.header("trefoil-reason");
        std::string answered = reason.empty() ? std::to_string(reply.status) : reason;
        std::lock_guard lock(this->mutex);
        ++this->results[reply.error.empty() ? answered : reply.error];
        if (reply.error.empty() && reply.status == 200) {
            this->latencies_us.push_back(latency_us);
        }
    }

    // Nearest-rank quantile of the latencies of responses with status 200, in microseconds; 0 when
    // there are none. `latencies_us` must be sorted.
    std::int64_t quantile(double fraction) const {
        double rank = std::ceil(fraction * static_cast<double>(this->latencies_us.size()));
        return rank < 1 ? 0 : this->latencies_us[static_cast<std::size_t>(rank) - 1];
    }
};

// Whether the body is the complete response to this request. The body of a refusal must state the
// same reason and outcome as its headers.
bool is_complete_response(const http_reply& reply, const std::string& request,
                          const std::string& body, const std::string& path) {
    nlohmann::json answer = nlohmann::json::parse(reply.body, nullptr, false);
    if (!reply.error.empty() || !answer.is_object()) {
        return false;
    }
    if (!reply.header("trefoil-reason").empty()) {
        return answer.value("error", "") == reply.header("trefoil-reason") &&
               answer.value("outcome", "") == reply.header("trefoil-outcome");
    }
    std::size_t size_parameter = path.find("size=");
    std::size_t size =
        size_parameter == std::string::npos ? 0 : std::stoull(path.substr(size_parameter + 5));
    return answer.value("request", "") == request &&
           answer.value("body_checksum", std::uint64_t{0}) == checksum64(body) &&
           answer.value("padding", "").size() == size;
}

// One caller, on a thread of its own, with one outstanding request at a time. It moves on to the
// next target after an error.
struct caller {
    const load_options& options;
    std::size_t number;
    key_entry key;
    const event_log& events;
    load_summary& totals;
    seeded_random random;
    http_client client = {};
    persistent_connection persistent = {};
    std::size_t target_switches = 0;

    void run(std::int64_t end_us) {
        std::string prefix = std::to_string(entropy_seed()) + "-";
        std::int64_t next_us = now_us() + this->pause_us();
        for (std::uint64_t sequence = 1; next_us < end_us; ++sequence) {
            std::this_thread::sleep_for(std::chrono::microseconds(next_us - now_us()));
            this->send(prefix + std::to_string(sequence));
            // A caller has one outstanding request, so a slow response delays the next request.
            next_us = std::max(next_us + this->pause_us(), now_us());
        }
    }

    // Time to the next request: exponentially distributed, so that the requests of all callers form
    // a Poisson process; uniformly distributed for persistent connections; 0 in a closed loop.
    std::int64_t pause_us() {
        if (this->options.max_idle_ms > 0) {
            auto max_pause_us = static_cast<double>(this->options.max_idle_ms * 1000);
            return static_cast<std::int64_t>(max_pause_us * this->random.uniform());
        }
        double mean_us = 1e6 * this->options.callers / this->options.rate;
        return this->options.rate <= 0
                   ? 0
                   : static_cast<std::int64_t>(-mean_us * std::log(1.0 - this->random.uniform()));
    }

    void send(const std::string& request) {
        const auto& [targets, paths] = std::tie(this->options.targets, this->options.paths);
        const std::string& target =
            targets[(this->number + this->target_switches) % targets.size()];
        const std::string& path = paths[this->random.below(paths.size())];
        bool use_persistent = this->options.max_idle_ms > 0;
        if (use_persistent && !this->persistent.open(target)) {
            ++this->target_switches;
            return;
        }
        bool idempotent = this->options.method == "GET";
        http_call call{.method = this->options.method,
                       .url = "http://" + target + path,
                       .headers = this->options.headers,
                       .body = idempotent ? "" : this->make_body(),
                       .fresh_connection = !idempotent};
        call.headers.push_back("Request-Id: " + request);
        if (this->key.key != "-") {
            call.headers.push_back("Authorization: Bearer " + this->key.key);
        }
        nlohmann::json sent = {{"request", request}, {"target", target}, {"path", path}};
        sent.update({{"key", this->key.label}, {"workspace", this->key.workspace}});
        sent["idempotent"] = idempotent;
        std::int64_t sent_us = now_us();
        this->events.write(sent_us, "call", sent);
        http_reply reply =
            use_persistent ? this->persistent.perform(call) : this->client.perform(call);
        std::int64_t received_us = now_us();
        nlohmann::json outcome = outcome_fields(reply, request);
        outcome["whole"] = is_complete_response(reply, request, call.body, path);
        this->events.write(received_us, "outcome", outcome);
        this->totals.add(reply, received_us - sent_us);
        if (!reply.error.empty()) {
            // Fails over to the next target after a back-off, as a production caller would.
            ++this->target_switches;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    std::string make_body() {
        std::string body(this->options.body_bytes, ' ');
        std::generate(body.begin(), body.end(),
                      [this] { return static_cast<char>('a' + this->random.below(26)); });
        return body;
    }
};

std::vector<key_entry> read_keys(const std::string& path) {
    std::vector<key_entry> keys;
    std::ifstream file(path);
    for (key_entry line; file >> line.label >> line.workspace >> line.key;) {
        keys.push_back(line);
    }
    return keys.empty() ? std::vector<key_entry>(1) : keys;
}

int run(const load_options& options) {
    std::vector<key_entry> keys = read_keys(options.key_file);
    event_log events(options.events);
    load_summary totals;
    std::int64_t end_us = now_us() + static_cast<std::int64_t>(options.seconds * 1e6);
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < static_cast<std::size_t>(options.callers); ++number) {
        threads.emplace_back([&, number] {
            seeded_random random(options.seed * 1000003 + number);
            caller{options, number, keys[number % keys.size()], events, totals, random}.run(end_us);
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    std::sort(totals.latencies_us.begin(), totals.latencies_us.end());
    double answered = static_cast<double>(totals.latencies_us.size());
    nlohmann::json report = {{"results", totals.results},
                             {"answered_per_second", answered / options.seconds},
                             {"p50_us", totals.quantile(0.5)},
                             {"p99_us", totals.quantile(0.99)}};
    std::cout << report.dump() << std::endl;
    return 0;
}

}  // namespace

}  // namespace trefoil::testing

int main(int argc, char** argv) {
    using namespace trefoil::testing;
    load_options chosen;
    boost::program_options::options_description description;
    auto add = description.add_options();
    add("target", value(&chosen.targets)->required()->composing());
    add("path", value(&chosen.paths)->required()->composing());
    add("method", value(&chosen.method));
    add("key-file", value(&chosen.key_file));
    add("header", value(&chosen.headers)->composing());
    add("rate", value(&chosen.rate));
    add("callers", value(&chosen.callers));
    add("seconds", value(&chosen.seconds));
    add("seed", value(&chosen.seed));
    add("body-bytes", value(&chosen.body_bytes));
    add("kept-idle-ms", value(&chosen.max_idle_ms));
    add("events", value(&chosen.events));
    return run_program(argc, argv, description, [&] { return run(chosen); });
}
