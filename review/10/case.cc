// A new version of the configuration takes a key away and states an idle timeout of a quarter of an
// hour. The key may not be served any longer than the bound allows.

#include <exception>
#include <iostream>

#include "../stage-2/deployment.h"
#include "../stage-2/stage.h"

namespace {

using namespace stage;

constexpr milliseconds config_bound{2000};  // ConfigS
constexpr milliseconds revoke_bound{5000};  // RevokeS
constexpr milliseconds answer_limit{3000};
const std::string other_key = "s989anu6wsjnbanfqasn";

std::string ask(fleet& machines, std::size_t number, const std::string& attempt) {
    auto client = machines.call(number);
    if (client == nullptr) {
        return "no connection";
    }
    client->write(request_head("POST", "/order/a", attempt) + "Content-Length: 0\r\n\r\n");
    auto got = client->read_response(answer_limit);
    return got.has_value() ? got->first_line : "no answer";
}

int run(record& notes) {
    fleet machines(notes, four_machines());
    const std::string both = "\"" + key + "\",\"" + other_key + "\"";
    machines.platform().put("op/config", configuration({.version = 5, .keys = both}));
    if (!machines.start(
            [](backend&, const message& request) { return signed_response(request, "done"); })) {
        return could_not_run;
    }
    for (std::size_t i = 0; i < machines.size(); ++i) {
        std::string got = ask(machines, i, "before-" + std::to_string(i));
        notes.line("client: before the change: " + got);
        if (got.find(" 200 ") == std::string::npos) {
            return could_not_run;
        }
    }
    std::string idle = trouble() ? "900" : "15";
    machines.platform().put(
        "op/config",
        configuration({.version = 7, .idle_timeout_s = idle, .keys = "\"" + other_key + "\""}));
    notes.line("operator: version 7 without the key, IdleTimeoutS " + idle + ", acknowledged");
    std::this_thread::sleep_for(std::max(config_bound, revoke_bound) + milliseconds(1000));
    int served = 0;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        std::string got = ask(machines, i, "after-" + std::to_string(i));
        bool ran = got.find(" 200 ") != std::string::npos;
        served += ran ? 1 : 0;
        notes.line(
            std::string(ran ? "CONFIG: " : "") +
            "client: 6 s after the acknowledgement, with the key that was taken away: " + got);
    }
    return served > 0 ? broken : held;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        stage::record notes(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
        int outcome = run(notes);
        notes.line("outcome: " + std::to_string(outcome));
        return outcome;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return stage::could_not_run;
    }
}
