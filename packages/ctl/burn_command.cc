// Implements the command `burn`.

#include "ctl/burn_command.h"

#include <fmt/format.h>

#include <map>
#include <tuple>

#include "ctl/text_table.h"

namespace trefoil::ctl {

namespace {

using json = nlohmann::json;

// Call counts of one burn-rate window.
struct window_counts {
    double calls = 0;
    double bad = 0;
};

struct service_burn {
    double availability = 0;
    std::map<double, window_counts> windows;  // Key: window length in seconds.
};

struct burn_key {
    std::string failure_domain;
    std::string service;
    std::string workspace;

    friend bool operator==(const burn_key&, const burn_key&) = default;
    friend bool operator<(const burn_key& left, const burn_key& right) {
        return std::tie(left.failure_domain, left.service, left.workspace) <
               std::tie(right.failure_domain, right.service, right.workspace);
    }
};

using burn_map = std::map<burn_key, service_burn>;

// Sums the call counts of all instances of a failure domain instead of averaging their burn rates,
// so that an instance with few calls does not weigh as much as a busy one.
burn_map sum_calls(const std::vector<admin_response>& responses) {
    burn_map sums;
    for (const admin_response& response : responses) {
        std::string domain = text_field(response.content, "failure_domain");
        for (const json& service : list_field(response.content, "services")) {
            service_burn& burn = sums[{.failure_domain = domain,
                                       .service = text_field(service, "service"),
                                       .workspace = text_field(service, "workspace")}];
            burn.availability = number_field(service, "availability");
            for (const json& window : list_field(service, "windows")) {
                double seconds = number_field(window, "seconds");
                burn.windows[seconds].calls += number_field(window, "calls");
                burn.windows[seconds].bad += number_field(window, "bad");
            }
        }
    }
    return sums;
}

double burn_rate(const window_counts& window, double availability) {
    double error_budget = 1 - availability;
    bool defined = window.calls > 0 && error_budget > 0;
    return defined ? window.bad / window.calls / error_budget : 0;
}

bool exceeds_burn_rate(const service_burn& burn) {
    bool exceeded = !burn.windows.empty();
    for (const auto& [seconds, window] : burn.windows) {
        exceeded = exceeded && burn_rate(window, burn.availability) > 1;
    }
    return exceeded;
}

}  // namespace

std::string burn_command::name() const {
    return "burn";
}

std::string burn_command::summary() const {
    return "Show how fast services spend their error budget, by failure domain and workspace.";
}

std::string burn_command::target(const boost::program_options::variables_map& /*values*/) const {
    return "/burn";
}

bool burn_command::print(const std::vector<admin_response>& responses, std::ostream* out) const {
    text_table table(
        {"FAILURE DOMAIN", "SERVICE", "WORKSPACE", "WINDOW", "CALLS", "BAD", "BURN RATE"});
    bool within_budget = true;
    for (const auto& [key, burn] : sum_calls(responses)) {
        for (const auto& [seconds, window] : burn.windows) {
            table.add_row({key.failure_domain, key.service, key.workspace,
                           fmt::format("{:.0f} s", seconds), fmt::format("{:.0f}", window.calls),
                           fmt::format("{:.0f}", window.bad),
                           fmt::format("{:.2f}", burn_rate(window, burn.availability))});
        }
        within_budget = within_budget && !exceeds_burn_rate(burn);
    }
    if (out != nullptr) {
        *out << table.to_string();
    }
    return within_budget;
}

}  // namespace trefoil::ctl
