// Case 14: callers send targets with characters that HTTP doesn't allow there. Such a request may
// be refused. If it runs, its target must be the one that was sent.

#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>

#include "stage.h"

namespace {

using namespace trefoil::review;

constexpr int rounds = 10;
constexpr std::chrono::milliseconds answer_timeout{2500};

struct target {
    const char* method;
    const char* as_sent;  // Not escaped.
    const char* escaped;
};

constexpr target targets[] = {
    {.method = "POST", .as_sent = "/order/pump#7/start", .escaped = "/order/pump%237/start"},
    {.method = "GET", .as_sent = "/read/level?well=A#2", .escaped = "/read/level?well=A%232"},
    {.method = "GET", .as_sent = "/read/niv\xc3\xa9l", .escaped = "/read/niv%C3%A9l"},
};

class ledger {
public:
    explicit ledger(record& log) : written(log) {}

    void sent(const std::string& attempt, const std::string& target) {
        std::lock_guard lock(this->mutex);
        this->targets[attempt] = target;
    }

    void ran(std::size_t index, const request& asked) {
        std::string attempt = asked.value_of("attempt-id");
        std::string line = "backend i-" + std::to_string(index);
        line.append(" ran ").append(attempt).append(": ").append(asked.method).append(" ");
        std::lock_guard lock(this->mutex);
        this->written.add(line.append(asked.target));
        ++this->runs;
        if (this->targets[attempt] != asked.target) {
            ++this->changed;
            line = "UNASKED: " + attempt;
            this->written.add(line.append(" was sent to ").append(this->targets[attempt]));
        }
    }

    int runs_in_all() {
        std::lock_guard lock(this->mutex);
        return this->runs;
    }

    int changed_in_all() {
        std::lock_guard lock(this->mutex);
        return this->changed;
    }

private:
    record& written;
    std::mutex mutex;
    std::map<std::string, std::string> targets;
    int runs = 0;
    int changed = 0;
};

void serve_backend(ledger& runs, std::size_t index, connection& caller) {
    while (auto asked = read_request(caller)) {
        runs.ran(index, *asked);
        std::string attempt = asked->value_of("attempt-id");
        std::string answer = "HTTP/1.1 200 OK\r\nAttempt-Id: ";
        answer.append(attempt).append("\r\nResponse-Signature: signed-").append(attempt);
        answer.append("\r\nContent-Length: 4\r\n\r\ndone");
        if (!caller.send(answer)) {
            return;
        }
    }
}

void send_request(const fleet& run, ledger& all, record& log, const target& chosen, int number) {
    std::string attempt = "attempt-" + std::to_string(number);
    std::string sent = with_trouble() ? chosen.as_sent : chosen.escaped;
    std::size_t index = static_cast<std::size_t>(number) % run.size();
    all.sent(attempt, sent);
    std::string text = chosen.method;
    text.append(" ").append(sent).append(" HTTP/1.1\r\nHost: ").append(route_host);
    text.append("\r\nAttempt-Id: ").append(attempt);
    text.append("\r\nDeadline-Ms: 2000\r\nAuthorization: Token ").append(tenant_key);
    text.append("\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    auto caller = connection::open(fleet::ip(index), run.port(port_of::callers), answer_timeout);
    std::string status;
    if (caller != nullptr && caller->send(text)) {
        caller->read_line(status);
        caller->read_rest();
    }
    std::string line = "client of machine " + std::to_string(index);
    line.append(" sent ").append(attempt).append(": ").append(chosen.method).append(" ");
    log.add(line.append(sent).append(", got ").append(status.empty() ? "no answer" : status));
}

int play(fleet& run, record& log) {
    run.items.put("op/config", configuration(1, "station", "dosing"));
    static ledger all(log);
    bool started =
        run.start([](std::size_t index, connection& caller) { serve_backend(all, index, caller); });
    if (!started) {
        log.add("a daemon did not get ready");
        return could_not_run;
    }
    int number = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const target& each : targets) {
            send_request(run, all, log, each, number++);
        }
    }
    log.add(std::to_string(number) + " requests were sent, " + std::to_string(all.runs_in_all()) +
            " ran, " + std::to_string(all.changed_in_all()) + " of them with another target");
    if (!with_trouble() && all.runs_in_all() < number) {
        return could_not_run;
    }
    return all.changed_in_all() > 0 ? rule_broken : rule_held;
}

}  // namespace

// Arguments: the daemon, the template of its settings, the file for the record.
int main(int argc, char** argv) {
    if (argc != 4) {
        std::cerr << "usage: changed_target TREFOILD TEMPLATE RECORD\n";
        return could_not_run;
    }
    record log(argv[3]);
    fleet run(
        {.trefoild = argv[1], .settings_template = argv[2]},
        {{"station", "zone-a"}, {"station", "zone-b"}, {"dosing", "zone-a"}, {"dosing", "zone-b"}});
    int status = play(run, log);
    run.stop();
    std::_Exit(status);
}
