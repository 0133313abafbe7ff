// Another writer puts an entry below `servers/` whose address has no host. Checks that a backend
// that reports `draining` afterwards gets no requests from DrainS on.

#include <string>
#include <thread>

#include "../stage/stage.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds drain_time{2000};  // DrainS
constexpr int orders = 40;
constexpr std::size_t leaving = 0;
constexpr std::size_t client_node = 2;
constexpr const char* foreign_entry =
    R"({"Service":"metrics-exporter","Address":":9100","Zone":"z1","State":"ready"})";

int run() {
    review::stage deployment({{.service = "dosing", .zone = "z1"},
                              {.service = "dosing", .zone = "z2"},
                              {.service = "gateway", .zone = "z1"},
                              {.service = "gateway", .zone = "z2"}});
    deployment.configure(review::configuration_of(
        {.routes = {{.name = "order", .service = "dosing", .timeout_s = 1.2},
                    {.name = "pump", .service = "gateway"}}}));
    if (!deployment.start()) {
        return review::exit_not_run;
    }
    for (int i = 0; i < orders; ++i) {
        deployment.send(
            client_node,
            {.path = "/order/1", .attempt = "before-" + std::to_string(i), .deadline_ms = 1200});
    }
    if (review::with_trouble()) {
        deployment.items().put("servers/exporter-1", foreign_entry);
        review::record::write(std::string("another writer puts ") + foreign_entry);
    }
    std::this_thread::sleep_for(seconds(4));  // StabilityS and more.
    deployment.register_backend(leaving, "draining");
    review::record::write("the store has accepted that i-0 is draining");
    std::this_thread::sleep_for(drain_time + milliseconds(1000));
    int late = 0;
    for (int i = 0; i < orders; ++i) {
        std::string attempt = "late-" + std::to_string(i);
        deployment.send(client_node, {.path = "/order/1", .attempt = attempt, .deadline_ms = 1200});
        if (deployment.backend_of(leaving).runs_of(attempt) > 0) {
            ++late;
            review::record::write("DRAIN: " + attempt + " reaches i-0");
        }
    }
    review::record::write("requests that reached the leaving backend: " + std::to_string(late));
    if (review::with_trouble()) {
        // Not judged here: the same entry keeps a fleet that starts anew from serving.
        for (std::size_t i = 0; i <= 3; ++i) {
            deployment.kill_daemon(i);
        }
        for (std::size_t i = 0; i <= 3; ++i) {
            deployment.start_daemon(i);
        }
        bool ready = deployment.wait_until_ready(client_node, seconds(18));
        review::record::write(std::string("after a restart of all daemons, daemon 2 is ") +
                              (ready ? "ready" : "not ready within 18 s"));
    }
    return late > 0 ? review::exit_broken : review::exit_held;
}

}  // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
