// The settings of one daemon, read from a YAML file and checked at start.
//
// Example:
//
//     auto outcome = daemon::load_settings("/etc/trefoil/station-1.yaml");
//     if (auto* failures = std::get_if<daemon::settings_failures>(&outcome)) {
//         for (const auto& each : *failures) { std::cerr << daemon::describe(each) << '\n'; }
//         return 2;
//     }
//
// prints, for example, `station-1.yaml:10: log_level: expected debug, info, warning, error or off,
// found "verbose"` in one line.

#ifndef TREFOIL_DAEMON_SETTINGS_H_
#define TREFOIL_DAEMON_SETTINGS_H_

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/demand_limiter.h"
#include "base/log.h"
#include "base/result.h"
#include "base/time.h"
#include "config/validation_failure.h"
#include "daemon/socket_address.h"

namespace trefoil::daemon {

struct listen_addresses {
    socket_address callers{};
    socket_address peers{};  // Also announced to peers, so never unspecified.
    socket_address admin{};

    friend bool operator==(const listen_addresses&, const listen_addresses&) = default;
};

// How a stop proceeds.
struct stop_settings {
    // How long callers and peers may take to learn that the instance leaves, before it stops
    // accepting.
    std::chrono::milliseconds announce{2'000};
    // Longest time for requests that are held, from the end of the announcement.
    std::chrono::milliseconds limit{60'000};
    // The whole time from the signal to the end, after which the process would be killed; 0 when
    // nobody kills it. A shorter one bounds `limit`.
    std::chrono::milliseconds total_limit{0};

    // Longest time for requests that are held, with `total_limit` taken into account. The last
    // `shutdown_reserve` of it is left for the refusals of what is still held.
    std::chrono::milliseconds drain_limit() const;
    // How long results may take to leave at the end of a stop that has lasted for `elapsed`.
    std::chrono::milliseconds flush_limit(mono_duration elapsed) const;
    // Enough to send the refusals and to end the threads of a daemon with its usual processor.
    static constexpr std::chrono::milliseconds shutdown_reserve{300};

    friend bool operator==(const stop_settings&, const stop_settings&) = default;
};

// Retries of the whole fleet to one service, in any ten seconds.
struct retry_settings {
    double share = 0.1;                    // Of the calls.
    double slack = 0;                      // Beyond the share; divided among the daemons.
    std::uint32_t minimum_per_second = 3;  // Of each daemon, whatever the share.

    friend bool operator==(const retry_settings&, const retry_settings&) = default;
};

struct settings {
    std::string instance{};
    std::string name{};  // For logs; the instance's id when not given.
    std::string failure_domain{};
    std::string site{};
    std::string service{};
    listen_addresses listen{};  // Three different addresses.
    socket_address upstream{};
    std::string platform{};  // URL without a trailing slash.
    // Names the adapter that reads the platform.
    std::string platform_protocol{"documents"};
    // Daemons of each failure domain that follow a mirrored platform and pass its documents on; 0:
    // every daemon follows it.
    std::size_t platform_followers = 0;
    std::map<std::string, std::string> regions{};  // By failure domain; others have no region.
    stop_settings stop{};
    retry_settings retries{};
    admission::limit_tolerance limits{};  // Where the configuration counts the instance list.
    std::vector<socket_address> seeds{};
    // At least 16 characters; never logged. Empty when the network is trusted: then any process
    // that reaches the peer address can act as a daemon.
    std::string fleet_secret{};
    trefoil::log_level log_level = trefoil::log_level::info;

    friend bool operator==(const settings&, const settings&) = default;
};

// The settings file or the secret file cannot be read.
struct unreadable_file {
    std::string path{};
    std::string field{};   // The setting that names the file; empty for the settings file itself.
    std::string detail{};  // Text of the system error.

    friend bool operator==(const unreadable_file&, const unreadable_file&) = default;
};

using settings_failure = std::variant<unreadable_file, config::validation_failure>;
using settings_failures = std::vector<settings_failure>;

// Reads the settings file and, when it names one, the secret file. A relative secret file is looked
// up in the directory of the settings file. Never returns an empty list of failures.
result<settings, settings_failures> load_settings(const std::string& path);

// Checks the text of a settings file; `path` is used in failures and to look up the secret file.
result<settings, settings_failures> parse_settings(const std::string& path, std::string body);

// Returns one line that names the field, the value and what is allowed. The secret is never shown.
std::string describe(const settings_failure& failure);

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_SETTINGS_H_
