// Test double of an upstream: a fixed number of slots, a configurable service time, a cold start
// with reduced capacity, and fault injection. It writes an event for each request that it starts,
// ends or sheds. A request above the capacity of a cold upstream fails, together with all running
// requests, and the cold start begins again.
//
//   any path          ?service_ms=<n> replaces the service time, ?size=<n> pads the response,
//                     ?call=<path> makes a nested call through the daemon of the same instance
//   POST /control     {"cold": true} starts a cold start now; {"slow_ms": n} adds to each service
//                     time; {"fail_every": n} fails every n-th request (0: none)
//
// The response is JSON: instance, request (identifier), body_checksum, headers, padding, nested.

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "support/event_log.h"
#include "support/http.h"
#include "support/program.h"

namespace trefoil::testing {

namespace {

// Prefix of all keys in test runs, by which an upstream detects a key anywhere in a request.
const std::string test_key_prefix = "test-key-";

struct upstream_options {
    std::uint16_t port = 0;
    std::string instance;
    int slots = 12;
    std::int64_t service_ms = 5;
    std::int64_t warmup_ms = 0;  // Duration of a cold start; 0: none.
    std::string daemon;          // "ip:port" for nested calls.
    std::string events;
};

// State of one request between its start and its end.
struct request_slot {
    bool shed = false;
    bool failing = false;
    bool overloaded = false;  // This request exceeded the capacity of a cold upstream.
    // Value of upstream_double::generation when the request started. An overload increments that
    // counter, and running requests of earlier generations fail.
    std::uint64_t generation = 0;
    std::int64_t service_ms = 0;
};

class upstream_double {
public:
    explicit upstream_double(upstream_options chosen)
        : options(std::move(chosen)), events(this->options.events), cold_since(now_us()) {}

    http_response handle(const http_request& request) {
        if (request.path == "/control") {
            return this->control(request.body);
        }
        request_slot slot = this->start(request);
        if (slot.shed) {
            return {.status = 503, .body = this->echo(request, nullptr)};
        }
        bool connected =
            slot.overloaded || request.wait(std::chrono::milliseconds(slot.service_ms));
        nlohmann::json nested = connected ? this->call_nested(request) : nullptr;
        unsigned status = this->finish(request, slot, connected);
        return {.status = status, .body = this->echo(request, nested)};
    }

private:
    static bool carries_key(const http_request& request) {
        std::string all = nlohmann::json{request.headers, request.query}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
        all += request.path + request.body;
        return request.headers.count("authorization") > 0 ||
               all.find(test_key_prefix) != std::string::npos;
    }

    // Concurrent requests that the upstream can handle at `now`: grows linearly from 1 to all slots
    // during the cold start.
    int capacity(std::int64_t now) const {
        double warm_fraction = this->options.warmup_ms == 0
                                   ? 1.0
                                   : static_cast<double>(now - this->cold_since) /
                                         (1000.0 * static_cast<double>(this->options.warmup_ms));
        return 1 + static_cast<int>((this->options.slots - 1) * std::min(1.0, warm_fraction));
    }

    request_slot start(const http_request& request) {
        std::lock_guard lock(this->mutex);
        std::int64_t now = now_us();
        int current_capacity = this->capacity(now);
        if (current_capacity >= this->options.slots && this->running >= this->options.slots) {
            this->write(now, "shed", request, 503);
            return {.shed = true};
        }
        ++this->running;
        ++this->requests;
        this->write(now, "start", request, 0);
        bool overloaded = this->running > current_capacity;
        if (overloaded) {
            ++this->generation;
            this->cold_since = now;
        }
        return {
            .failing = this->fail_every > 0 && this->requests % this->fail_every == 0,
            .overloaded = overloaded,
            .generation = this->generation,
            .service_ms = this->slow_ms + request.number("service_ms", this->options.service_ms)};
    }

    unsigned finish(const http_request& request, const request_slot& slot, bool connected) {
        std::lock_guard lock(this->mutex);
        bool failed = slot.overloaded || slot.failing || slot.generation != this->generation;
        unsigned status = failed ? 500 : 200;
        --this->running;
        this->write(now_us(), "end", request, connected ? status : 0);
        return status;
    }

    // The caller must hold `mutex`, so that events are written in the order of their counts.
    void write(std::int64_t now, const char* kind, const http_request& request,
               unsigned status) const {
        nlohmann::json fields = {{"instance", this->options.instance}, {"status", status}};
        fields.update({{"request", request.header("request-id")}, {"path", request.path}});
        fields.update({{"running", this->running}, {"capacity", this->capacity(now)}});
        fields["key_seen"] = carries_key(request);
        this->events.write(now, kind, std::move(fields));
    }

    // Makes the nested call that ?call= requests, with the caller's context header, so that it runs
    // on behalf of the same workspace. Returns its outcome, or null without ?call=.
    nlohmann::json call_nested(const http_request& request) const {
        auto path = request.query.find("call");
        if (path == request.query.end()) {
            return nullptr;
        }
        std::string id = request.header("request-id") + ".1";
        http_client client;
        http_reply reply =
            client.perform({.url = "http://" + this->options.daemon + path->second,
                            .headers = {"Trefoil-Context: " + request.header("trefoil-context"),
                                        "Request-Id: " + id},
                            .fresh_connection = true});
        nlohmann::json answer = nlohmann::json::parse(reply.body, nullptr, false);
        nlohmann::json outcome = outcome_fields(reply, id);
        outcome["whole"] =
            answer.is_object() && (answer.contains("outcome") || answer.value("request", "") == id);
        this->events.write(now_us(), "outcome", outcome);
        return outcome;
    }

    std::string echo(const http_request& request, const nlohmann::json& nested) const {
        nlohmann::json answer = {
            {"instance", this->options.instance},
            {"request", request.header("request-id")},
            {"body_checksum", checksum64(request.body)},
            {"headers", request.headers},
            {"nested", nested},
            {"padding", std::string(static_cast<std::size_t>(request.number("size", 0)), 'x')}};
        return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    http_response control(const std::string& body) {
        nlohmann::json settings = nlohmann::json::parse(body, nullptr, false);
        if (!settings.is_object()) {
            return {.status = 400};
        }
        std::lock_guard lock(this->mutex);
        this->slow_ms = settings.value("slow_ms", this->slow_ms);
        this->fail_every = settings.value("fail_every", this->fail_every);
        if (settings.value("cold", false)) {
            this->cold_since = now_us();
            this->events.write(this->cold_since, "cold", {{"instance", this->options.instance}});
        }
        return {};
    }

    const upstream_options options;
    const event_log events;
    std::mutex mutex;  // Guards the members below.
    std::int64_t cold_since;
    int running = 0;
    std::uint64_t generation = 0;
    std::uint64_t requests = 0;
    std::uint64_t fail_every = 0;
    std::int64_t slow_ms = 0;
};

}  // namespace

}  // namespace trefoil::testing

int main(int argc, char** argv) {
    using namespace trefoil::testing;
    upstream_options chosen;
    boost::program_options::options_description description;
    auto add = description.add_options();
    add("port", value(&chosen.port)->required());
    add("instance", value(&chosen.instance)->required());
    add("slots", value(&chosen.slots));
    add("service-ms", value(&chosen.service_ms));
    add("warmup-ms", value(&chosen.warmup_ms));
    add("daemon", value(&chosen.daemon));
    add("events", value(&chosen.events));
    return run_program(argc, argv, description, [&]() -> int {
        upstream_double upstream(chosen);
        serve(chosen.port, [&](const http_request& request) { return upstream.handle(request); });
    });
}
