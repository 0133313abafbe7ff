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
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admission/demand_limiter.h"
#include "base/log.h"
#include "base/result.h"
#include "base/time.h"
#include "config/adjustment.h"
#include "config/document.h"
#include "config/validation_failure.h"
#include "config/value_limits.h"
#include "daemon/socket_address.h"

namespace trefoil::daemon {

struct listen_addresses {
    socket_address callers{};
    socket_address peers{};  // Also announced to peers, so never 0.0.0.0 or ::.
    socket_address admin{};

    friend bool operator==(const listen_addresses&, const listen_addresses&) = default;
};

// Time limits of a graceful shutdown.
struct stop_settings {
    // Time for callers and peers to learn that the instance is leaving, before it stops accepting
    // connections.
    std::chrono::milliseconds announce{2'000};
    // Maximum time for completing the requests in progress, after the announcement.
    std::chrono::milliseconds limit{60'000};
    // Total time from the signal until the platform kills the process; 0 if it does not. Reduces
    // `limit` if it is shorter.
    std::chrono::milliseconds total_limit{0};

    // Maximum time for completing the requests in progress: `limit`, or what `total_limit` leaves
    // after the announcement and `shutdown_reserve`, if that is less.
    std::chrono::milliseconds drain_limit() const;
    // Maximum time for sending the last results to peers, at the end of a shutdown that has taken
    // `elapsed` so far.
    std::chrono::milliseconds flush_limit(mono_duration elapsed) const;
    // Reserved for refusing the requests still in progress and for ending the threads; sufficient
    // with the processor share that daemons usually have.
    static constexpr std::chrono::milliseconds shutdown_reserve{300};

    friend bool operator==(const stop_settings&, const stop_settings&) = default;
};

// Retry budget of the whole fleet for one service, in any ten seconds.
struct retry_settings {
    double share = 0.1;                    // Retries per call.
    double slack = 0;                      // Retries beyond the share; divided among the daemons.
    std::uint32_t minimum_per_second = 3;  // Retries that each daemon may always make.

    friend bool operator==(const retry_settings&, const retry_settings&) = default;
};

// Bounds of the share of calls that leave their failure domain while it has a usable upstream.
struct domain_overflow_settings {
    double floor = 0;
    double limit = 1;  // At least `floor`.

    std::size_t min_upstreams = 0;  // Of a service to which the share applies.

    friend bool operator==(const domain_overflow_settings&,
                           const domain_overflow_settings&) = default;
};

struct settings {
    std::string instance{};
    std::string name{};  // For logs; defaults to the instance id.
    std::string failure_domain{};
    std::string site{};
    std::string service{};
    listen_addresses listen{};  // Three different addresses.
    socket_address upstream{};
    std::string platform{};  // URL without a trailing slash.
    // Name of the adapter that reads the platform.
    std::string platform_protocol{"documents"};
    // Maximum size of one value in the platform's store, or of one document.
    std::size_t platform_value_bytes = config::document_bytes_max;
    // Number of daemons per failure domain that watch a mirrored platform and send its documents to
    // the others; 0: every daemon watches it.
    std::size_t platform_followers = 0;
    // Listed instances of a failure domain below which every daemon watches it anyway.
    std::size_t platform_followers_min_domain = 0;
    std::map<std::string, std::string> regions{};  // By failure domain; others have no region.
    stop_settings stop{};
    retry_settings retries{};
    // Memory of the machine in millions of bytes and the descriptors that the process may open; 0:
    // as the system states them.
    std::size_t memory_mb = 0;
    std::size_t max_descriptors = 0;
    admission::limit_tolerance limits{};  // Used if the configuration counts the instance list.
    // Absent: each call compares the upstreams of all failure domains.
    std::optional<domain_overflow_settings> domain_overflow{};
    std::vector<socket_address> seeds{};
    // At least 16 characters; never logged. Empty if the network is trusted: then any process that
    // can connect to the peer address can act as a daemon.
    std::string fleet_secret{};
    trefoil::log_level log_level = trefoil::log_level::info;
    // Numbers of the platform that were out of range.
    std::vector<config::adjustment> adjustments{};

    friend bool operator==(const settings&, const settings&) = default;
};

// The settings file or the secret file is unreadable.
struct unreadable_file {
    std::string path{};
    std::string field{};   // The setting that names the file; empty for the settings file itself.
    std::string detail{};  // Message of the system error.

    friend bool operator==(const unreadable_file&, const unreadable_file&) = default;
};

using settings_failure = std::variant<unreadable_file, config::validation_failure>;
using settings_failures = std::vector<settings_failure>;

// Reads the settings file and, when it names one, the secret file. A relative secret file is looked
// up in the directory of the settings file. Never returns an empty list of failures.
result<settings, settings_failures> load_settings(const std::string& path);

// Checks the text of a settings file; `path` is used in failures and to look up the secret file.
result<settings, settings_failures> parse_settings(const std::string& path, std::string body);

// Bounds of the settings platform_value_bytes, memory_mb and max_descriptors.
inline constexpr config::value_range<std::uint32_t> value_bytes_limits{1'024, 1U << 28U};
inline constexpr config::value_range<double> memory_mb_limits{1, 1e7};
inline constexpr config::value_range<std::uint32_t> descriptors_limits{1, 16'777'216};

// Parse a value of the setting platform_value_bytes, memory_mb or max_descriptors. They return
// nothing if it is invalid.
std::optional<std::size_t> parse_value_bytes(std::string_view text);
std::optional<std::size_t> parse_memory_mb(std::string_view text);
std::optional<std::size_t> parse_max_descriptors(std::string_view text);
// Returns the whole number within `limits` that is nearest to the stated one, or nothing if the
// text is not a number of 0 or more.
std::optional<std::size_t> nearest_size(std::string_view text, config::value_range<double> limits);

// Returns one line with the field, the value and the allowed values. The secret is never included.
std::string describe(const settings_failure& failure);

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_SETTINGS_H_
