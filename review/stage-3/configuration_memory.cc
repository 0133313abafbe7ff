// Case 12: callers hold three large bodies just short of their end while operators write versions
// of a large configuration. Each process must stay within the memory of its machine.

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "stage.h"

namespace {

using namespace trefoil::review;
using std::chrono::milliseconds;

constexpr std::size_t machine_memory = std::size_t{260} << 20U;  // MemoryMb, taken as MiB.
constexpr std::size_t routes = 5800;
constexpr std::size_t max_value_bytes = 1048576;  // ValueBytes.
constexpr int versions = 28;
constexpr milliseconds version_gap{180};
// MaxBodyBytes is 67108864.
constexpr int large_uploads = 3;
constexpr std::size_t large_upload_bytes = 57'000'000;
constexpr int small_uploads = 380;
constexpr std::size_t small_upload_bytes = 35'000;
constexpr std::size_t held_back_bytes = 1000;
constexpr milliseconds time_to_read_large_uploads{1500};
constexpr std::size_t callers = 30;
constexpr milliseconds work{120};
constexpr milliseconds memory_check_interval{5};
constexpr int allowed_losses = 3;

// A version in which each route has another prefix than in the one before.
std::string large_configuration(std::uint64_t version) {
    std::string text = R"({"Version":)" + std::to_string(version) + R"(,"Routes":{)";
    auto route = [&text](const std::string& name, const std::string& prefix, const char* kind,
                         const char* service) {
        text.append("\"").append(name).append(R"(":{"Host":")").append(route_host);
        text.append(R"(","Prefix":")").append(prefix).append(R"(","Kind":")").append(kind);
        text.append(R"(","TimeoutS":2,"TargetLatencyS":0.3,"Priority":1,"MaxAttempts":2,)");
        text.append(R"("Anonymous":false,"Service":")").append(service).append(R"("},)");
    };
    for (std::size_t i = 0; i < routes; ++i) {
        std::string prefix = "/idle/" + std::to_string(i);
        prefix.append("-").append(std::to_string(version)).append("/");
        route("r-" + std::to_string(i), prefix, "idempotent", "station");
    }
    route("r-order", "/order/", "non_idempotent", "dosing");
    text.pop_back();
    text.append(R"(},"Services":{)");
    for (const char* service : {"station", "dosing"}) {
        text.append("\"").append(service);
        text.append(R"(":{"HealthPath":"/healthz","MaxConns":110,"ColdS":3.0,"ColdPerS":31.0},)");
    }
    text.pop_back();
    text.append(
        R"(},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,)");
    text.append(R"("IdleTimeoutS":15},"Tenants":{"tenant-1":{"ApiKeys":[")").append(tenant_key);
    return text.append(R"("],"Priority":1,"RatePerS":0,"Burst":0}}})");
}

class orders {
public:
    explicit orders(record& log) : written(log) {}

    void sent(const std::string& attempt) { this->written.add("caller sent " + attempt); }

    void ran(const std::string& attempt) {
        this->written.add("backend ran " + attempt);
        std::lock_guard lock(this->mutex);
        this->run.insert(attempt);
    }

    // The connection of a caller ended without an answer to an order that it had sent whole.
    void unanswered(const std::string& attempt) {
        std::lock_guard lock(this->mutex);
        bool passed_on = this->run.contains(attempt);
        this->lost += passed_on ? 1 : 0;
        std::string line = passed_on ? "LOST: " : "not passed on, no answer: ";
        this->written.add(line.append(attempt));
    }

    void answered(const std::string& attempt) {
        this->written.add("caller got the answer of " + attempt);
        ++this->answers;
    }
    int answered_in_all() const { return this->answers; }

    int lost_in_all() {
        std::lock_guard lock(this->mutex);
        return this->lost;
    }

private:
    record& written;
    std::mutex mutex;
    std::set<std::string> run;
    int lost = 0;
    std::atomic<int> answers{0};
};

void serve_backend(orders& all, connection& caller) {
    while (auto asked = read_request(caller)) {
        all.ran(asked->value_of("attempt-id"));
        std::this_thread::sleep_for(work);
        std::string answer = "HTTP/1.1 200 OK\r\nAttempt-Id: ";
        answer.append(asked->value_of("attempt-id"));
        answer.append("\r\nResponse-Signature: signed\r\nContent-Length: 4\r\n\r\ndone");
        if (!caller.send(answer)) {
            return;
        }
    }
}

std::string order_head(const std::string& attempt, std::size_t bytes) {
    std::string text = "POST /order/dose HTTP/1.1\r\nHost: ";
    text.append(route_host).append("\r\nAttempt-Id: ").append(attempt);
    text.append("\r\nDeadline-Ms: 2000\r\nAuthorization: Token ").append(tenant_key);
    return text.append("\r\nContent-Length: ").append(std::to_string(bytes)).append("\r\n\r\n");
}

// Reads an answer with a Content-Length. False if the connection ends before.
bool read_answer(connection& from) {
    std::string line;
    std::string body;
    std::size_t length = 0;
    if (!from.read_line(line)) {
        return false;
    }
    while (true) {
        if (!from.read_line(line)) {
            return false;
        }
        if (line.empty()) {
            return from.read_exactly(length, body);
        }
        const std::string name = "Content-Length: ";
        length = line.starts_with(name) ? std::stoul(line.substr(name.size())) : length;
    }
}

// An ordinary caller on a kept connection.
void send_orders(const fleet& run, orders& all, std::size_t number,
                 const std::atomic<bool>& ended) {
    auto caller = connection::open(fleet::ip(0), run.port(port_of::callers), milliseconds(4000));
    for (int i = 0; !ended && caller != nullptr; ++i) {
        std::string attempt = std::to_string(number);
        attempt.append("-").append(std::to_string(i));
        if (!caller->send(order_head(attempt, 4) + "dose")) {
            return;
        }
        all.sent(attempt);
        if (!read_answer(*caller)) {
            all.unanswered(attempt);
            return;
        }
        all.answered(attempt);
    }
}

// Kills the daemon when it exceeds the memory of its machine. Returns its peak.
std::size_t watch_memory(fleet& run, record& log, const std::atomic<bool>& ended) {
    std::size_t peak = 0;
    while (!ended) {
        std::size_t used = run.memory_bytes(0);
        peak = std::max(peak, used);
        if (used > machine_memory) {
            run.kill(0);
            log.add("daemon 0 has " + std::to_string(used >> 20U) +
                    " MiB of memory and is killed by the platform");
            return peak;
        }
        std::this_thread::sleep_for(memory_check_interval);
    }
    return peak;
}

int play(fleet& run, record& log) {
    std::string first = large_configuration(1);
    log.add("a configuration of " + std::to_string(first.size()) + " bytes");
    if (first.size() > max_value_bytes) {
        return could_not_run;
    }
    run.items.put("op/config", first);
    static orders all(log);
    if (!run.start([](std::size_t, connection& caller) { serve_backend(all, caller); })) {
        log.add("a daemon did not get ready");
        return could_not_run;
    }
    static std::atomic<bool> ended{false};
    std::size_t peak = 0;
    std::thread platform([&] { peak = watch_memory(run, log, ended); });
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < callers; ++i) {
        clients.emplace_back([&run, i] { send_orders(run, all, i, ended); });
    }
    std::vector<std::unique_ptr<connection>> held;
    for (int i = 0; with_trouble() && i < large_uploads + small_uploads; ++i) {
        if (i == large_uploads) {
            // While small bodies are held, the account has less room for large ones.
            std::this_thread::sleep_for(time_to_read_large_uploads);
        }
        std::size_t bytes = i < large_uploads ? large_upload_bytes : small_upload_bytes;
        held.push_back(
            connection::open(fleet::ip(0), run.port(port_of::callers), milliseconds(1000)));
        bool sent = held.back() != nullptr &&
                    held.back()->send(order_head("upload-" + std::to_string(i), bytes)) &&
                    held.back()->send(std::string(bytes - held_back_bytes, 'x'));
        log.add("upload " + std::to_string(i) + (sent ? ": all but 1000 bytes sent" : ": ended"));
    }
    std::this_thread::sleep_for(milliseconds(1000));
    log.add("memory of daemon 0: " + std::to_string(run.memory_bytes(0) >> 20U) + " MiB");
    for (int i = 0; i < versions; ++i) {
        run.items.put("op/config", large_configuration(static_cast<std::uint64_t>(i) + 2));
        std::this_thread::sleep_for(version_gap);
    }
    std::this_thread::sleep_for(milliseconds(1500));
    ended = true;
    for (std::thread& each : clients) {
        each.join();
    }
    platform.join();
    log.add(std::to_string(all.answered_in_all()) + " orders answered, " +
            std::to_string(all.lost_in_all()) +
            " ran and ended without an answer; peak memory of their daemon " +
            std::to_string(peak >> 20U) + " MiB");
    if (all.answered_in_all() == 0) {
        return could_not_run;
    }
    return all.lost_in_all() > allowed_losses ? rule_broken : rule_held;
}

}  // namespace

// Arguments: the daemon, the template of its settings, the file for the record.
int main(int argc, char** argv) {
    if (argc != 4) {
        std::cerr << "usage: configuration_memory TREFOILD TEMPLATE RECORD\n";
        return could_not_run;
    }
    record log(argv[3]);
    fleet run(
        {.trefoild = argv[1], .settings_template = argv[2]},
        {{"station", "zone-a"}, {"dosing", "zone-a"}, {"station", "zone-b"}, {"dosing", "zone-b"}});
    int status = play(run, log);
    run.stop();
    std::_Exit(status);
}
