// trefoild: the daemon that runs beside one upstream.

#include <pthread.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/allocator.h"
#include "base/lock_checks.h"
#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "daemon/settings_watch.h"
#include "platform/binding.h"

namespace {

namespace program_options = boost::program_options;

constexpr int exit_good = 0;
constexpr int exit_start_failed = 1;
constexpr int exit_usage = 2;

// Maximum time for writing the queued log lines when the process ends.
constexpr std::chrono::milliseconds log_flush_limit{200};
// Interval at which the settings file is checked without SIGHUP.
constexpr timespec settings_interval{.tv_sec = 1, .tv_nsec = 0};

// Blocks the signals that the daemon handles before any thread starts, so that only the main thread
// takes them.
sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// Returns the binding of the platform protocol that the settings name, or nothing if this build has
// no adapter for it.
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

// An option of the command line that overrides a setting. A deployment that does not know the value
// passes an empty text.
struct setting_override {
    const char* option = "";
    const char* expected = "";
    std::optional<std::size_t> (*parse)(std::string_view text) = nullptr;
    trefoil::config::value_range<double> limits;
    std::size_t trefoil::daemon::settings::*target = nullptr;

    // Uses the nearest bound for a size out of range. Prints the reason and returns false if the
    // value is no size.
    bool apply(const program_options::variables_map& given,
               trefoil::daemon::settings& settings) const {
        std::string text =
            given.count(this->option) > 0 ? given[this->option].as<std::string>() : "";
        if (text.empty()) {
            return true;
        }
        auto parsed = this->parse(text);
        if (!parsed.has_value()) {
            parsed = trefoil::daemon::nearest_size(text, this->limits);
            settings.adjustments.push_back(
                {.path = this->option, .found = text, .used = std::to_string(parsed.value_or(0))});
        }
        if (!parsed.has_value()) {
            std::cerr << "trefoild: --" << this->option << ": expected " << this->expected
                      << ", found \"" << text << "\"\n";
            return false;
        }
        settings.*(this->target) = *parsed;
        return true;
    }
};

constexpr trefoil::config::value_range<double> to_double(
    trefoil::config::value_range<std::uint32_t> limits) {
    return {static_cast<double>(limits.min), static_cast<double>(limits.max)};
}

constexpr setting_override overrides[] = {
    {"platform-value-bytes", "an integer from 1024 to 268435456",
     &trefoil::daemon::parse_value_bytes, to_double(trefoil::daemon::value_bytes_limits),
     &trefoil::daemon::settings::platform_value_bytes},
    {"memory-mb", "a number from 1 to 10000000", &trefoil::daemon::parse_memory_mb,
     trefoil::daemon::memory_mb_limits, &trefoil::daemon::settings::memory_mb},
    {"max-descriptors", "an integer from 1 to 16777216", &trefoil::daemon::parse_max_descriptors,
     to_double(trefoil::daemon::descriptors_limits), &trefoil::daemon::settings::max_descriptors},
};

// Returns false if an option is invalid.
bool apply_overrides(const program_options::variables_map& given,
                     trefoil::daemon::settings& settings) {
    return std::all_of(std::begin(overrides), std::end(overrides),
                       [&](const setting_override& each) { return each.apply(given, settings); });
}

void log_adjustments(const trefoil::daemon::settings& settings) {
    for (const trefoil::config::adjustment& each : settings.adjustments) {
        trefoil::log(trefoil::log_level::warning, "setting_adjusted",
                     {{"path", each.path}, {"found", each.found}, {"used", each.used}});
    }
}

// Applies changed settings until SIGTERM or SIGINT arrives.
void wait_for_end(const sigset_t& signals, const std::string& path,
                  const trefoil::daemon::settings& in_file,
                  const program_options::variables_map& given, trefoil::daemon::daemon& process) {
    trefoil::daemon::settings_watch watch(path, in_file);
    while (true) {
        int received = sigtimedwait(&signals, nullptr, &settings_interval);
        if (received == SIGTERM || received == SIGINT) {
            return;
        }
        if (auto changed = watch.check()) {
            apply_overrides(given, *changed);
            log_adjustments(*changed);
            process.reload(*changed);
        } else if (received == SIGHUP) {
            trefoil::log(trefoil::log_level::info, "settings_unchanged");
        }
    }
}

int run(const std::string& path, const trefoil::daemon::settings& in_file,
        const program_options::variables_map& given) {
    trefoil::daemon::settings settings = in_file;
    if (!apply_overrides(given, settings)) {
        return exit_usage;
    }
    sigset_t signals = block_signals();
    trefoil::set_log_level(settings.log_level);
    trefoil::start_log_writer({});
    log_adjustments(settings);
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
    wait_for_end(signals, path, in_file, given, process);
    process.drain_and_stop();
    if (!trefoil::flush_log(log_flush_limit)) {
        // Standard output is blocked, so the log writer's thread would never end.
        std::_Exit(exit_good);
    }
    return exit_good;
}

}  // namespace

int main(int argc, char** argv) {
    trefoil::release_large_blocks();
    trefoil::disable_lock_order_checks();
    program_options::options_description options("trefoild --settings FILE");
    options.add_options()("help", "print this text")(
        "settings", program_options::value<std::string>(), "YAML file with the settings")(
        "platform-value-bytes", program_options::value<std::string>()->implicit_value(""),
        "maximum size of a value in the platform's store; overrides platform_value_bytes")(
        "memory-mb", program_options::value<std::string>()->implicit_value(""),
        "memory of the machine in millions of bytes; overrides memory_mb")(
        "max-descriptors", program_options::value<std::string>()->implicit_value(""),
        "descriptors that the process may open; overrides max_descriptors");
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
    auto path = given["settings"].as<std::string>();
    auto loaded = trefoil::daemon::load_settings(path);
    if (const auto* failures = std::get_if<trefoil::daemon::settings_failures>(&loaded)) {
        std::cerr << "trefoild: " << trefoil::daemon::describe(failures->front()) << '\n';
        return exit_usage;
    }
    return run(path, std::get<trefoil::daemon::settings>(loaded), given);
}
