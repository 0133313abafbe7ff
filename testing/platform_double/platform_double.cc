// Test double of the platform's configuration service: the protocol of section 4 of the design
// page for daemons, and a control side for tests.
//
//   GET /documents/<name>?after=<revision>&wait_ms=<n>  as in the design page
//   PUT /documents/<name>   publishes the body as the next revision, also while reads fail
//   PUT /faults             {"down": true} answers reads with 503;
//                           {"stale": true} answers reads with the documents of this moment;
//                           {"stale": true, "stale_every": 3} does so for every third read only;
//                           {"slow_ms": 200} delays reads; faults that are not named end
//   GET /stats              {"calls": n, "last_second": n, "documents": {"<name>": n}}

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "support/event_log.h"
#include "support/http_server.h"

namespace trefoil::testing {

namespace {

constexpr std::int64_t second_us = 1'000'000;
constexpr std::int64_t longest_wait_ms = 30'000;
const std::string documents_prefix = "/documents/";

struct stored_document {
    std::uint64_t revision = 0;
    std::string body;
};

struct fault_settings {
    bool down = false;
    bool stale = false;
    std::int64_t stale_every = 1;
    std::int64_t slow_ms = 0;
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
            return this->set_faults(request.body);
        }
        if (request.path == "/stats" && request.method == "GET") {
            return this->stats();
        }
        return {.status = 404};
    }

private:
    http_response read(const http_request& request, const std::string& name) {
        auto after = static_cast<std::uint64_t>(request.number("after", 0));
        std::chrono::milliseconds wait(
            std::clamp<std::int64_t>(request.number("wait_ms", 0), 0, longest_wait_ms));
        std::unique_lock lock(this->mutex);
        bool sees_stale = this->count_read(name);
        std::int64_t slow_ms = this->faults.slow_ms;
        auto answered_now = [&] {
            const stored_document* document = this->visible(name, sees_stale);
            return this->faults.down || document == nullptr || document->revision > after;
        };
        this->changed.wait_for(lock, wait, answered_now);
        http_response response = this->answer(this->visible(name, sees_stale), after);
        lock.unlock();
        request.wait(std::chrono::milliseconds(slow_ms));
        return response;
    }

    // Returns whether this read sees the frozen documents.
    bool count_read(const std::string& name) {
        ++this->calls;
        ++this->calls_by_document[name];
        this->recent.push_back(now_us());
        return this->calls % static_cast<std::uint64_t>(this->faults.stale_every) == 0;
    }

    const stored_document* visible(const std::string& name, bool sees_stale) const {
        const auto& source =
            this->faults.stale && sees_stale ? this->frozen_documents : this->documents;
        auto found = source.find(name);
        return found == source.end() ? nullptr : &found->second;
    }

    http_response answer(const stored_document* document, std::uint64_t after) const {
        if (this->faults.down) {
            return {.status = 503};
        }
        if (document == nullptr) {
            return {.status = 404};
        }
        std::map<std::string, std::string> headers = {
            {"Revision", std::to_string(document->revision)}};
        if (document->revision <= after) {
            return {.status = 304, .headers = headers};
        }
        return {.headers = headers, .body = document->body};
    }

    http_response publish(const std::string& name, const std::string& body) {
        std::lock_guard lock(this->mutex);
        stored_document& document = this->documents[name];
        ++document.revision;
        document.body = body;
        this->changed.notify_all();
        return {.headers = {{"Revision", std::to_string(document.revision)}}};
    }

    http_response set_faults(const std::string& body) {
        nlohmann::json wanted = nlohmann::json::parse(body, nullptr, false);
        if (!wanted.is_object()) {
            return {.status = 400};
        }
        std::lock_guard lock(this->mutex);
        bool was_stale = this->faults.stale;
        this->faults = {
            .down = wanted.value("down", false),
            .stale = wanted.value("stale", false),
            .stale_every = std::max<std::int64_t>(1, wanted.value("stale_every", 1)),
            .slow_ms = wanted.value("slow_ms", 0),
        };
        if (this->faults.stale && !was_stale) {
            this->frozen_documents = this->documents;
        }
        this->changed.notify_all();
        return {};
    }

    http_response stats() {
        std::lock_guard lock(this->mutex);
        std::int64_t oldest = now_us() - second_us;
        while (!this->recent.empty() && this->recent.front() < oldest) {
            this->recent.pop_front();
        }
        nlohmann::json report = {{"calls", this->calls},
                                 {"last_second", this->recent.size()},
                                 {"documents", this->calls_by_document}};
        return {.body = report.dump()};
    }

    std::mutex mutex;  // Guards all members.
    std::condition_variable changed;
    std::map<std::string, stored_document> documents;
    std::map<std::string, stored_document> frozen_documents;
    fault_settings faults;
    std::uint64_t calls = 0;
    std::map<std::string, std::uint64_t> calls_by_document;
    std::deque<std::int64_t> recent;  // Times of reads, at least those of the last second.
};

int run(int argc, char** argv) {
    namespace options = boost::program_options;
    std::uint16_t port = 0;
    options::options_description description("platform_double");
    description.add_options()("port", options::value(&port)->required());
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    block_stop_signals();
    platform_double platform;
    http_server server(port, [&](const http_request& request) { return platform.handle(request); });
    wait_for_stop_signal();
    // Waiting long polls would delay an orderly end by seconds.
    std::_Exit(0);
}

}  // namespace

}  // namespace trefoil::testing

int main(int argc, char** argv) {
    try {
        return trefoil::testing::run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return 2;
    }
}
