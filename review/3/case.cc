// The configuration grows by many API keys and one key is revoked in the same version. Its text is
// below ValueBytes. Checks that the revoked key stops working after ConfigS, and that the daemons
// serve again after all of them were killed.

#include <string>
#include <thread>
#include <vector>

#include "../stage/stage.h"

namespace {

using std::chrono::seconds;

constexpr int many_keys = 12'000;
constexpr int few_keys = 12;
constexpr std::size_t value_bytes = 1'048'576;
constexpr std::size_t nodes = 4;

std::vector<std::string> keys_without_the_revoked_one(int count) {
    constexpr std::uint64_t first = 1'000'000'000'000'000'000;  // 19 characters a key.
    std::vector<std::string> keys = {"key-two"};
    for (int i = 0; i < count; ++i) {
        keys.push_back("k" + std::to_string(first + static_cast<std::uint64_t>(i)));
    }
    return keys;
}

int run() {
    review::stage deployment({{.service = "dosing", .zone = "z1"},
                              {.service = "dosing", .zone = "z2"},
                              {.service = "gateway", .zone = "z1"},
                              {.service = "gateway", .zone = "z2"}});
    review::configuration_options options{
        .version = 1,
        .routes = {{.name = "order", .service = "dosing", .timeout_s = 1.2},
                   {.name = "pump", .service = "gateway"}},
        .keys = {"key-one", "key-two"}};
    deployment.configure(review::configuration_of(options));
    if (!deployment.start()) {
        return review::exit_not_run;
    }
    options.version = 2;
    options.keys = keys_without_the_revoked_one(review::with_trouble() ? many_keys : few_keys);
    std::string text = review::configuration_of(options);
    if (text.size() > value_bytes) {
        return review::exit_not_run;
    }
    deployment.configure(text);
    review::record::write("the store has accepted version 2 without key-one, " +
                          std::to_string(text.size()) + " bytes");
    std::this_thread::sleep_for(seconds(5));  // ConfigS is 2.
    int revoked = 0;
    int refused = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
        std::string name = std::to_string(i);
        int status = deployment.send(i, {.path = "/order/1", .attempt = "revoked-" + name}).status;
        revoked += status == 200 ? 1 : 0;
        status =
            deployment
                .send(i, {.path = "/order/1", .attempt = "new-" + name, .key = options.keys.back()})
                .status;
        refused += status == 401 ? 1 : 0;
    }
    review::record::write(
        "CONFIG: requests with the revoked key that ran: " + std::to_string(revoked) +
        ", with a new key that got 401: " + std::to_string(refused));
    for (std::size_t i = 0; i < nodes; ++i) {
        deployment.kill_daemon(i);
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        deployment.start_daemon(i);
    }
    review::record::write("all daemons were killed and started again");
    std::this_thread::sleep_for(seconds(16));  // RecoverS is 15.
    int served = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
        int status = deployment
                         .send(i, {.path = "/order/1",
                                   .attempt = "restarted-" + std::to_string(i),
                                   .key = "key-two"})
                         .status;
        served += status == 200 ? 1 : 0;
    }
    review::record::write("RECOVER: machines of " + std::to_string(nodes) +
                          " that serve: " + std::to_string(served));
    bool broken = revoked > 0 || refused > 0 || served * 4 < static_cast<int>(nodes);
    return broken ? review::exit_broken : review::exit_held;
}

}  // namespace

int main(int argc, char** argv) {
    return review::run_case(argc, argv, run);
}
