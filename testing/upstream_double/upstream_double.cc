// Test double of an upstream instance: a fixed number of slots, a service time, a cold start that
// fails under full load, and faults that a test sets. It reports each request that it starts and
// ends as an event.
//
//   any path          ?service_ms=<n> replaces the service time, ?size=<n> pads the answer,
//                     ?call=<path> makes a nested call through the daemon beside this instance
//   POST /control     {"cold": true} starts a cold start now; {"slow_ms": n} adds to each service
//                     time; {"fail_every": n} fails each n-th request (0: none)
//
// The answer is JSON: instance, request (identifier), body_checksum, headers, padding, nested.

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "support/event_log.h"
#include "support/http_client.h"
#include "support/http_server.h"
#include "support/program.h"

namespace trefoil::testing {

namespace {

// All keys of test runs start like this, so that an upstream recognises one anywhere in a request.
const std::string test_key_prefix = "test-key-";

struct upstream_options {
    std::uint16_t port = 0;
    std::string instance;
    int slots = 12;
    std::int64_t service_ms = 5;
    std::int64_t warmup_ms = 0;  // 0: never cold.
    std::string daemon;          // "ip:port" for nested calls.
    std::string events;
};

// Place of one request among those that run.
struct admission {
    bool shed = false;
    bool overloaded = false;       // This request made the instance fall over.
    std::uint64_t generation = 0;  // Changes when the instance falls over.
    bool failing = false;
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
        admission place = this->start(request);
        if (place.shed) {
            return {.status = 503, .body = this->echo(request, nullptr)};
        }
        bool connected =
            place.overloaded || request.wait(std::chrono::milliseconds(place.service_ms));
        nlohmann::json nested = connected ? this->call_nested(request) : nullptr;
        unsigned status = this->finish(request, place, connected);
        return {.status = status,
                .headers = {{"Content-Type", "application/json"}},
                .body = this->echo(request, nested)};
    }

private:
    static bool carries_key(const http_request& request) {
        auto contains_key = [](const auto& field) {
            return field.first == "authorization" ||
                   field.second.find(test_key_prefix) != std::string::npos;
        };
        return std::any_of(request.headers.begin(), request.headers.end(), contains_key) ||
               std::any_of(request.query.begin(), request.query.end(), contains_key) ||
               request.body.find(test_key_prefix) != std::string::npos;
    }

    // Concurrent requests that the instance can handle now: grows evenly from 1 to all slots.
    int capacity(std::int64_t now) const {
        double warm = this->options.warmup_ms == 0
                          ? 1.0
                          : static_cast<double>(now - this->cold_since) /
                                (1000.0 * static_cast<double>(this->options.warmup_ms));
        return 1 + static_cast<int>((this->options.slots - 1) * std::min(1.0, warm));
    }

    admission start(const http_request& request) {
        std::lock_guard lock(this->mutex);
        std::int64_t now = now_us();
        int capacity_now = this->capacity(now);
        bool warm = capacity_now >= this->options.slots;
        nlohmann::json fields = {
            {"instance", this->options.instance}, {"request", request.header("request-id")},
            {"method", request.method},           {"path", request.path},
            {"key_seen", carries_key(request)},   {"capacity", capacity_now}};
        if (warm && this->running >= this->options.slots) {
            fields["running"] = this->running;
            this->events.write(now, "shed", std::move(fields));
            return {.shed = true};
        }
        ++this->running;
        bool overloaded = this->running > capacity_now;
        if (overloaded) {
            ++this->generation;
            this->cold_since = now;
        }
        ++this->requests;
        fields["running"] = this->running;
        this->events.write(now, "start", std::move(fields));
        return {
            .overloaded = overloaded,
            .generation = this->generation,
            .failing = this->fail_every > 0 && this->requests % this->fail_every == 0,
            .service_ms = this->slow_ms + request.number("service_ms", this->options.service_ms)};
    }

    unsigned finish(const http_request& request, const admission& place, bool connected) {
        std::lock_guard lock(this->mutex);
        std::int64_t now = now_us();
        bool failed = place.overloaded || place.failing || place.generation != this->generation;
        unsigned status = failed ? 500 : 200;
        --this->running;
        this->events.write(now, "end",
                           {{"instance", this->options.instance},
                            {"request", request.header("request-id")},
                            {"status", connected ? status : 0},
                            {"running", this->running},
                            {"capacity", this->capacity(now)}});
        return status;
    }

    // Makes the nested call that the request asks for, on behalf of the same workspace.
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
        bool whole =
            answer.is_object() && (answer.contains("outcome") || answer.value("request", "") == id);
        nlohmann::json result = {{"request", id},
                                 {"status", reply.status},
                                 {"reason", reply.header("trefoil-reason")},
                                 {"outcome", reply.header("trefoil-outcome")},
                                 {"error", reply.error},
                                 {"whole", whole}};
        this->events.write(now_us(), "outcome", result);
        return result;
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
        nlohmann::json wanted = nlohmann::json::parse(body, nullptr, false);
        if (!wanted.is_object()) {
            return {.status = 400};
        }
        std::lock_guard lock(this->mutex);
        this->slow_ms = wanted.value("slow_ms", this->slow_ms);
        this->fail_every = wanted.value("fail_every", this->fail_every);
        if (wanted.value("cold", false)) {
            this->cold_since = now_us();
            this->events.write(this->cold_since, "cold", {{"instance", this->options.instance}});
        }
        return {};
    }

    const upstream_options options;
    const event_log events;
    std::mutex mutex;  // Guards the members below; events are written under it, in their order.
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
