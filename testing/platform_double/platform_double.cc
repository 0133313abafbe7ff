// Test double of the platform's configuration service. Daemons read documents by long polling:
//
//   GET /documents/<name>?after=<revision>&wait_ms=<n>
//                           responds with 200 and the document as soon as its revision is newer
//                           than `after`, with 304 when none arrives within `wait_ms`
//
// Tests control it with:
//
//   PUT /documents/<name>   publishes the body as the next revision, also while reads fail
//   PUT /faults             replaces the injected faults; omitted faults end:
//                           {"down": true} fails reads with 503;
//                           {"stale": true} serves the documents as they were at this request;
//                           {"stale": true, "stale_every": 3} does so for every third read only;
//                           {"slow_ms": 200} delays reads by that time
//   GET /stats              responds with the numbers of reads since the start, in the last second
//                           and of each document:
//                           {"calls": n, "last_second": n, "documents": {"<name>": n}}

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

#include "support/event_log.h"
#include "support/http.h"
#include "support/program.h"

namespace trefoil::testing {

namespace {

const std::string documents_prefix = "/documents/";

struct stored_document {
    std::uint64_t revision = 0;
    std::string body;
};

class platform_double {
public:
    http_response handle(const http_request& request) {
        bool is_document = request.path.rfind(documents_prefix, 0) == 0;
        if (is_document && request.method == "GET") {
            return this->read(request, request.path.substr(documents_prefix.size()));
        }
        if (is_document && request.method == "PUT") {
            return this->publish(request.path.substr(documents_prefix.size()), request.body);
        }
        if (request.path == "/faults" && request.method == "PUT") {
            return this->set_faults(nlohmann::json::parse(request.body, nullptr, false));
        }
        return request.path == "/stats" ? this->stats() : http_response{.status = 404};
    }

private:
    using document_map = std::map<std::string, stored_document>;

    http_response read(const http_request& request, const std::string& name) {
        constexpr std::int64_t max_wait_ms = 30'000;
        auto after = static_cast<std::uint64_t>(request.number("after", 0));
        std::chrono::milliseconds wait(
            std::clamp<std::int64_t>(request.number("wait_ms", 0), 0, max_wait_ms));
        std::unique_lock lock(this->mutex);
        ++this->calls[name];
        this->recent_reads.push_back(now_us());
        bool may_be_stale = ++this->reads % this->stale_every == 0;
        http_response response;
        this->changed.wait_for(lock, wait, [&] {
            response = this->make_response(name, after, this->stale && may_be_stale);
            return response.status != 304;
        });
        std::chrono::milliseconds delay(this->slow_ms);
        lock.unlock();
        request.wait(delay);
        return response;
    }

    http_response make_response(const std::string& name, std::uint64_t after,
                                bool from_stale) const {
        const document_map& source = from_stale ? this->stale_documents : this->documents;
        auto found = source.find(name);
        if (this->down || found == source.end()) {
            return {.status = this->down ? 503U : 404U};
        }
        const stored_document& document = found->second;
        bool is_newer = document.revision > after;
        return {.status = is_newer ? 200U : 304U,
                .headers = {{"Revision", std::to_string(document.revision)}},
                .body = is_newer ? document.body : ""};
    }

    http_response publish(const std::string& name, const std::string& body) {
        std::lock_guard lock(this->mutex);
        stored_document& document = this->documents[name];
        document = {.revision = document.revision + 1, .body = body};
        this->changed.notify_all();
        return {.headers = {{"Revision", std::to_string(document.revision)}}};
    }

    http_response set_faults(const nlohmann::json& faults) {
        if (!faults.is_object()) {
            return {.status = 400};
        }
        std::lock_guard lock(this->mutex);
        if (!this->stale) {
            this->stale_documents = this->documents;
        }
        this->down = faults.value("down", false);
        this->stale = faults.value("stale", false);
        this->stale_every = std::max<std::uint64_t>(1, faults.value("stale_every", 1U));
        this->slow_ms = faults.value("slow_ms", 0);
        this->changed.notify_all();
        return {};
    }

    http_response stats() {
        constexpr std::int64_t second_us = 1'000'000;
        std::lock_guard lock(this->mutex);
        while (!this->recent_reads.empty() && this->recent_reads.front() < now_us() - second_us) {
            this->recent_reads.pop_front();
        }
        nlohmann::json report = {{"calls", this->reads},
                                 {"last_second", this->recent_reads.size()},
                                 {"documents", this->calls}};
        return {.body = report.dump()};
    }

    std::mutex mutex;  // Guards all members.
    std::condition_variable changed;
    document_map documents;
    document_map stale_documents;
    bool down = false;
    bool stale = false;
    std::uint64_t stale_every = 1;
    std::int64_t slow_ms = 0;
    std::uint64_t reads = 0;
    std::map<std::string, std::uint64_t> calls;  // Reads by document name.
    std::deque<std::int64_t> recent_reads;       // Start times; stats() drops those older than 1 s.
};

}  // namespace

}  // namespace trefoil::testing

int main(int argc, char** argv) {
    using namespace trefoil::testing;
    std::uint16_t port = 0;
    boost::program_options::options_description description;
    description.add_options()("port", value(&port)->required());
    return run_program(argc, argv, description, [&]() -> int {
        platform_double platform;
        serve(port, [&](const http_request& request) { return platform.handle(request); });
    });
}
