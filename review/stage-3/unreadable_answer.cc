// Case 15: a backend spoils a header line of some of its answers. Callers must not get bytes that
// are no answer in the protocol.

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <iostream>

#include "stage.h"

namespace {

using namespace trefoil::review;

constexpr int requests = 400;
// One backend of two spoils one in 20 of its answers.
constexpr std::size_t spoiling_backend = 1;
constexpr unsigned answers_per_spoiled = 20;

constexpr std::array<const char*, 3> spoiled_lines = {
    ": 7",               // No name.
    "Ra\x01\x02k: 7",    // Control characters in the name.
    "Rack: 7\rRow: 12",  // A carriage return within the value.
};

class backends {
public:
    explicit backends(record& log) : written(log) {}

    void handle(std::size_t index, connection& caller) {
        while (auto asked = read_request(caller)) {
            if (!caller.send(this->answer(index, *asked))) {
                return;
            }
        }
    }

private:
    std::string answer(std::size_t index, const request& asked) {
        std::string attempt = asked.value_of("attempt-id");
        std::string rack = "Rack: 7";
        std::string spoiled;
        if (with_trouble() && index == spoiling_backend) {
            unsigned number = ++this->answers;
            if (number % answers_per_spoiled == 0) {
                rack = spoiled_lines[number / answers_per_spoiled % spoiled_lines.size()];
                spoiled = ", with a spoiled header line";
            }
        }
        this->written.add("backend i-" + std::to_string(index) + " answers " + attempt + spoiled);
        std::string text = "HTTP/1.1 200 OK\r\nAttempt-Id: ";
        text.append(attempt).append("\r\nResponse-Signature: signed-").append(attempt);
        return text.append("\r\n").append(rack).append("\r\nContent-Length: 4\r\n\r\ndone");
    }

    record& written;
    std::atomic<unsigned> answers{0};
};

// RFC 9112, section 5: a name of token characters, a colon, and a value without control characters.
bool is_header_line(const std::string& line) {
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    std::size_t colon = line.find(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    auto value = line.begin() + static_cast<std::ptrdiff_t>(colon);
    auto in_name = [&](unsigned char c) {
        return std::isalnum(c) != 0 || symbols.find(static_cast<char>(c)) != std::string_view::npos;
    };
    auto in_value = [](unsigned char c) { return c == '\t' || (c >= ' ' && c != 0x7f); };
    return std::all_of(line.begin(), value, in_name) && std::all_of(value, line.end(), in_value);
}

struct answer {
    std::string status;        // The status line; empty without an answer.
    std::string not_a_header;  // A line that is no header; empty if there is none.
};

answer ask(const fleet& run, std::size_t index, const std::string& attempt) {
    auto caller = connection::open(fleet::ip(index), run.port(port_of::callers),
                                   std::chrono::milliseconds(4000));
    std::string text = "GET /read/level HTTP/1.1\r\nHost: ";
    text.append(route_host).append("\r\nAttempt-Id: ").append(attempt);
    text.append("\r\nDeadline-Ms: 2000\r\nAuthorization: Token ").append(tenant_key);
    text.append("\r\nConnection: close\r\n\r\n");
    answer read;
    if (caller == nullptr || !caller->send(text) || !caller->read_line(read.status)) {
        return {};
    }
    std::string line;
    while (caller->read_line(line) && !line.empty()) {
        if (!is_header_line(line)) {
            read.not_a_header = line;
        }
    }
    caller->read_rest();
    return read;
}

std::string printable(std::string text) {
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c > '~'; }, '?');
    return text;
}

int play(fleet& run, record& log) {
    run.items.put("op/config", configuration(1, "station", "dosing"));
    static backends servers(log);
    if (!run.start([](std::size_t index, connection& caller) { servers.handle(index, caller); })) {
        log.add("a daemon did not get ready");
        return could_not_run;
    }
    int answered = 0;
    int broken = 0;
    for (int i = 0; i < requests; ++i) {
        std::string attempt = "attempt-" + std::to_string(i);
        std::size_t index = static_cast<std::size_t>(i) % run.size();
        answer got = ask(run, index, attempt);
        answered += got.status.empty() ? 0 : 1;
        std::string line = "client of machine " + std::to_string(index);
        line.append(" sent ").append(attempt).append(", got ").append(got.status);
        log.add(line);
        if (!got.not_a_header.empty()) {
            ++broken;
            line = "MIXED: " + attempt;
            log.add(
                line.append(" was answered with the line ").append(printable(got.not_a_header)));
        }
    }
    log.add(std::to_string(answered) + " of " + std::to_string(requests) + " answered, " +
            std::to_string(broken) + " of them with bytes that are no answer in the protocol");
    if (answered < requests / 2) {
        return could_not_run;
    }
    return broken > 0 ? rule_broken : rule_held;
}

}  // namespace

// Arguments: the daemon, the template of its settings, the file for the record.
int main(int argc, char** argv) {
    if (argc != 4) {
        std::cerr << "usage: unreadable_answer TREFOILD TEMPLATE RECORD\n";
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
