// Implements the command `burn`.

#include "ctl/burn_command.h"

#include <fmt/format.h>

#include <map>
#include <tuple>

#include "ctl/text_table.h"

namespace trefoil::ctl {

namespace {

using json = nlohmann::json;

struct window_counts {
    double calls = 0;
    double bad = 0;
};

struct service_burn {
    double availability = 0;
    std::map<double, window_counts> windows;  // By length in seconds.
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

// Adds up the calls of all instances of a failure domain, so that an instance with few calls does
// not weigh as much as a busy one.
burn_map sum(const std::vector<admin_report>& reports) {
    burn_map sums;
    for (const admin_report& report : reports) {
        std::string domain = text_field(report.answer, "failure_domain");
        for (const json& service : list_field(report.answer, "services")) {
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
    double allowed = 1 - availability;
    bool defined = window.calls > 0 && allowed > 0;
    return defined ? window.bad / window.calls / allowed : 0;
}

bool spends_too_fast(const service_burn& burn) {
    bool too_fast = !burn.windows.empty();
    for (const auto& [seconds, window] : burn.windows) {
        too_fast = too_fast && burn_rate(window, burn.availability) > 1;
    }
    return too_fast;
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

bool burn_command::print(const std::vector<admin_report>& reports, std::ostream* out) const {
    text_table table(
        {"FAILURE DOMAIN", "SERVICE", "WORKSPACE", "WINDOW", "CALLS", "BAD", "BURN RATE"});
    bool well = true;
    for (const auto& [key, burn] : sum(reports)) {
        for (const auto& [seconds, window] : burn.windows) {
            table.add({key.failure_domain, key.service, key.workspace,
                       fmt::format("{:.0f} s", seconds), fmt::format("{:.0f}", window.calls),
                       fmt::format("{:.0f}", window.bad),
                       fmt::format("{:.2f}", burn_rate(window, burn.availability))});
        }
        well = well && !spends_too_fast(burn);
    }
    if (out != nullptr) {
        *out << table.text();
    }
    return well;
}

}  // namespace trefoil::ctl
