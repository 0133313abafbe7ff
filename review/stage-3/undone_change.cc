// Case 11: a backend joins and leaves again while the store turns away the few machines that read
// it for the others. A backend that has left must get no requests after DrainS.

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "stage.h"

namespace {

using namespace trefoil::review;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t machines_per_zone = 10;
constexpr std::size_t joining = 9;  // In the first zone.
constexpr milliseconds drain_time{2000};
// From here on the machines of a zone that don't read the store have stopped to.
constexpr milliseconds settle_time{8000};
constexpr milliseconds cold_time{3000};
// A watch of a reader ends before.
constexpr milliseconds watch_period{2700};
constexpr milliseconds outage_before_leaving{300};
constexpr milliseconds outage{8800};
constexpr milliseconds served_after_leaving{8000};
constexpr milliseconds work{20};
constexpr milliseconds pause_between_orders{50};
constexpr std::size_t max_turned_away = 7;  // 0.35 of 20 machines.
constexpr std::size_t callers = 4;

class orders {
public:
    explicit orders(record& log) : written(log) {}

    void leave() {
        std::lock_guard lock(this->mutex);
        this->left = steady_clock::now();
    }

    // False once the backend has exited.
    bool run(std::size_t index, const request& asked) {
        std::lock_guard lock(this->mutex);
        auto now = steady_clock::now();
        auto since = now - this->left.value_or(now);
        if (index == joining && since > served_after_leaving) {
            return false;
        }
        std::string line = "backend i-" + std::to_string(index) + " runs ";
        this->written.add(line.append(asked.value_of("attempt-id")));
        this->runs += index == joining ? 1 : 0;
        if (index == joining && since > drain_time) {
            ++this->late;
            auto ago = std::chrono::duration_cast<milliseconds>(since);
            line = "DRAIN: " + asked.value_of("attempt-id") + " reached a backend that had left ";
            this->written.add(line.append(std::to_string(ago.count())).append(" ms ago"));
        }
        return true;
    }

    int runs_at_joining() {
        std::lock_guard lock(this->mutex);
        return this->runs;
    }

    int late_runs() {
        std::lock_guard lock(this->mutex);
        return this->late;
    }

private:
    record& written;
    std::mutex mutex;
    std::optional<steady_clock::time_point> left;
    int runs = 0;
    int late = 0;
};

void serve_backend(orders& all, std::size_t index, connection& caller) {
    while (auto asked = read_request(caller)) {
        if (!all.run(index, *asked)) {
            return;
        }
        std::this_thread::sleep_for(work);
        std::string answer = "HTTP/1.1 200 OK\r\nAttempt-Id: ";
        answer.append(asked->value_of("attempt-id"));
        answer.append("\r\nResponse-Signature: signed\r\nContent-Length: 4\r\n\r\ndone");
        if (!caller.send(answer)) {
            return;
        }
    }
}

void send_orders(const fleet& run, record& log, std::size_t index, const std::atomic<bool>& ended) {
    for (int i = 0; !ended; ++i) {
        std::string attempt = std::to_string(index);
        attempt.append("-").append(std::to_string(i));
        std::string text = "POST /order/dose HTTP/1.1\r\nHost: ";
        text.append(route_host).append("\r\nAttempt-Id: ").append(attempt);
        text.append("\r\nDeadline-Ms: 1200\r\nAuthorization: Token ").append(tenant_key);
        text.append("\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndose");
        auto caller =
            connection::open(fleet::ip(index), run.port(port_of::callers), milliseconds(3000));
        std::string status;
        if (caller != nullptr && caller->send(text) && caller->read_line(status)) {
            caller->read_rest();
        }
        std::string line = "client of machine " + std::to_string(index);
        line.append(" sent ").append(attempt).append(", got ");
        log.add(line.append(status.empty() ? "no answer" : status));
        std::this_thread::sleep_for(pause_between_orders);
    }
}

std::string list_of(const std::set<std::size_t>& machines) {
    std::string text;
    for (std::size_t each : machines) {
        text.append(" ").append(std::to_string(each));
    }
    return text;
}

int play(fleet& run, record& log) {
    run.items.put("op/config", configuration(1, "station", "dosing"));
    static orders all(log);
    bool started = run.start(
        [](std::size_t index, connection& caller) { serve_backend(all, index, caller); }, joining);
    if (!started) {
        log.add("a daemon did not get ready");
        return could_not_run;
    }
    std::this_thread::sleep_for(settle_time);
    log.add("backend i-9 joins, cold at first");
    run.register_backend(joining, "3.0");
    std::this_thread::sleep_for(cold_time);
    run.register_backend(joining);
    std::this_thread::sleep_for(settle_time);
    std::set<std::size_t> readers = run.items.readers(watch_period);
    log.add("machines that read the store:" + list_of(readers));
    if (readers.contains(joining) || readers.size() > max_turned_away) {
        log.add("more machines than expected read the store");
        return could_not_run;
    }
    static std::atomic<bool> ended{false};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; clients.size() < callers && i < joining; ++i) {
        if (!readers.contains(i)) {
            clients.emplace_back([&run, &log, i] { send_orders(run, log, i, ended); });
        }
    }
    std::this_thread::sleep_for(drain_time);
    if (with_trouble()) {
        log.add("the store turns away the machines" + list_of(readers));
        run.items.turn_away(readers);
    }
    std::this_thread::sleep_for(outage_before_leaving);
    run.items.remove("servers/i-9");
    all.leave();
    log.add("the store has accepted that the entry of backend i-9 is removed");
    std::this_thread::sleep_for(outage / 2);
    int ready = 0;
    for (std::size_t i = 0; i < run.size(); ++i) {
        ready += !readers.contains(i) && run.ready(i) ? 1 : 0;
    }
    log.add(std::to_string(ready) + " of the other " + std::to_string(run.size() - readers.size()) +
            " machines are ready");
    std::this_thread::sleep_for(outage - outage / 2 - outage_before_leaving);
    run.items.turn_away({});
    log.add("the store serves all machines");
    std::this_thread::sleep_for(drain_time);
    ended = true;
    for (std::thread& each : clients) {
        each.join();
    }
    log.add(std::to_string(all.runs_at_joining()) + " orders ran at backend i-9, " +
            std::to_string(all.late_runs()) + " of them more than 2 s after it had left");
    if (all.runs_at_joining() == 0) {
        return could_not_run;
    }
    return all.late_runs() > 0 ? rule_broken : rule_held;
}

}  // namespace

// Arguments: the daemon, the template of its settings, the file for the record.
int main(int argc, char** argv) {
    if (argc != 4) {
        std::cerr << "usage: undone_change TREFOILD TEMPLATE RECORD\n";
        return could_not_run;
    }
    record log(argv[3]);
    std::vector<machine> machines;
    for (const char* zone : {"zone-a", "zone-b"}) {
        machines.insert(machines.end(), machines_per_zone - 1, {"station", zone});
        machines.push_back({"dosing", zone});
    }
    fleet run({.trefoild = argv[1], .settings_template = argv[2]}, machines);
    int status = play(run, log);
    run.stop();
    std::_Exit(status);
}
