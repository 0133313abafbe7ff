// trefoild: the daemon beside one upstream instance.

#include <pthread.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <variant>

#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "platform/binding.h"

namespace {

namespace program_options = boost::program_options;

constexpr int exit_good = 0;
constexpr int exit_start_failed = 1;
constexpr int exit_usage = 2;

// Blocks the signals that end the daemon before any thread starts, so that only the main thread
// takes them.
sigset_t block_end_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// The adapters that this build knows.
std::optional<trefoil::daemon::platform_binding> bind_platform(
    const trefoil::daemon::settings& settings) {
    if (settings.platform_protocol == "documents") {
        return trefoil::daemon::bind_documents(settings);
    }
    if (settings.platform_protocol == "metadata_store") {
        return trefoil::metadata_store::bind(settings);
    }
    return std::nullopt;
}

int run(const trefoil::daemon::settings& settings) {
    sigset_t signals = block_end_signals();
    trefoil::set_log_level(settings.log_level);
    auto binding = bind_platform(settings);
    if (!binding.has_value()) {
        std::cerr << "trefoild: platform_protocol: expected documents or metadata_store, found \""
                  << settings.platform_protocol << "\"\n";
        return exit_usage;
    }
    trefoil::daemon::daemon process(settings, std::move(*binding));
    auto outcome = process.start();
    if (const auto* failure = std::get_if<trefoil::daemon::start_failure>(&outcome)) {
        std::cerr << "trefoild: " << failure->field << ": cannot listen on " << failure->address
                  << '\n';
        return exit_start_failed;
    }
    int received = 0;
    sigwait(&signals, &received);
    process.drain_and_stop();
    return exit_good;
}

}  // namespace

int main(int argc, char** argv) {
    program_options::options_description options("trefoild --settings FILE");
    options.add_options()("help", "print this text")(
        "settings", program_options::value<std::string>(), "YAML file with the settings");
    program_options::variables_map given;
    try {
        program_options::store(program_options::parse_command_line(argc, argv, options), given);
    } catch (const program_options::error& error) {
        std::cerr << "trefoild: " << error.what() << '\n';
        return exit_usage;
    }
    if (given.count("help") > 0) {
        std::cout << options;
        return exit_good;
    }
    if (given.count("settings") == 0) {
        std::cerr << "trefoild: --settings FILE is required\n";
        return exit_usage;
    }
    auto loaded = trefoil::daemon::load_settings(given["settings"].as<std::string>());
    if (const auto* failures = std::get_if<trefoil::daemon::settings_failures>(&loaded)) {
        std::cerr << "trefoild: " << trefoil::daemon::describe(failures->front()) << '\n';
        return exit_usage;
    }
    return run(std::get<trefoil::daemon::settings>(loaded));
}
