// Implements the command `diff`.

#include "ctl/diff_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "config/difference.h"
#include "ctl/document_file.h"

namespace trefoil::ctl {

namespace {

struct file_pair {
    std::string before;
    std::string after;
};

struct site_changes {
    std::string site;
    std::vector<std::string> lines;
};

// Groups the overlay files into pairs of old and new; one of the two is `no_overlay` when a site
// gains or loses its overlay. Returns nothing for an odd number of files.
std::optional<std::vector<file_pair>> pair_overlays(const std::vector<std::string>& files) {
    if (files.size() % 2 != 0) {
        return std::nullopt;
    }
    std::vector<file_pair> pairs;
    for (std::size_t i = 0; i < files.size(); i += 2) {
        pairs.push_back({files[i], files[i + 1]});
    }
    if (pairs.empty()) {
        pairs.push_back({std::string(no_overlay), std::string(no_overlay)});
    }
    return pairs;
}

std::string site_name(const file_pair& overlays) {
    return site_from_path(overlays.after == no_overlay ? overlays.before : overlays.after);
}

// Moves the lines that occur for every site out of the sites and returns them. Returns no lines
// when only one site was given.
std::vector<std::string> extract_common_lines(std::vector<site_changes>& sites) {
    std::vector<std::string> common;
    bool one_site = sites.size() == 1 && sites.front().site != no_overlay;
    if (one_site) {
        return common;
    }
    for (const std::string& line : sites.front().lines) {
        bool everywhere = std::all_of(sites.begin(), sites.end(), [&line](const auto& each) {
            return std::find(each.lines.begin(), each.lines.end(), line) != each.lines.end();
        });
        if (everywhere) {
            common.push_back(line);
        }
    }
    for (site_changes& each : sites) {
        std::erase_if(each.lines, [&common](const std::string& line) {
            return std::find(common.begin(), common.end(), line) != common.end();
        });
    }
    return common;
}

void print_changes(const std::string& title, const std::vector<std::string>& lines,
                   std::ostream& out) {
    if (lines.empty()) {
        return;
    }
    out << title << ":\n";
    for (const std::string& line : lines) {
        out << "  " << line << '\n';
    }
}

// Builds the old or the new snapshot. On failure prints the reason and sets `failure_code`.
std::optional<config::snapshot> load_snapshot(const std::string& base, const std::string& overlay,
                                              output_streams output, exit_code& failure_code) {
    auto outcome = read_snapshot(base, overlay);
    if (auto* failure = std::get_if<unreadable_document>(&outcome)) {
        failure_code = usage_error(output, describe(*failure));
        return std::nullopt;
    }
    if (auto* failures = std::get_if<config::validation_failures>(&outcome)) {
        for (const config::validation_failure& each : *failures) {
            output.error << config::describe(each) << '\n';
        }
        failure_code = exit_code::findings;
        return std::nullopt;
    }
    return std::move(std::get<config::snapshot>(outcome));
}

std::vector<std::string> describe_changes(const config::snapshot& before,
                                          const config::snapshot& after) {
    std::vector<std::string> lines;
    for (const config::difference& each : config::compare(before, after)) {
        lines.push_back(config::describe(each));
    }
    return lines;
}

}  // namespace

std::string diff_command::name() const {
    return "diff";
}

std::string diff_command::arguments() const {
    return "OLD_BASE NEW_BASE [--overlay OLD NEW]...";
}

std::string diff_command::summary() const {
    return "Show what new documents change: routes, limits, keys by id and failure domains, by "
           "site.";
}

void diff_command::add_options(boost::program_options::options_description& shown,
                               boost::program_options::options_description& hidden) const {
    using boost::program_options::value;
    shown.add_options()("overlay", value<std::vector<std::string>>()->multitoken()->composing(),
                        "old and new overlay of one site, after the bases; - for none");
    hidden.add_options()("file", value<std::vector<std::string>>());
}

void diff_command::add_positional_options(
    boost::program_options::positional_options_description& positions) const {
    positions.add("file", 2);
}

exit_code diff_command::run(const boost::program_options::variables_map& values,
                            output_streams output) {
    std::vector<std::string> bases = option_values(values, "file");
    auto overlays = pair_overlays(option_values(values, "overlay"));
    if (bases.size() != 2 || !overlays) {
        return usage_error(output, "diff needs two base documents and overlays in pairs");
    }
    std::vector<site_changes> sites;
    exit_code failure_code = exit_code::success;
    for (const file_pair& pair : *overlays) {
        auto before = load_snapshot(bases[0], pair.before, output, failure_code);
        auto after = load_snapshot(bases[1], pair.after, output, failure_code);
        if (!before || !after) {
            return failure_code;
        }
        sites.push_back({site_name(pair), describe_changes(*before, *after)});
    }
    std::vector<std::string> common = extract_common_lines(sites);
    print_changes("all sites", common, output.out);
    bool changed = !common.empty();
    for (const site_changes& each : sites) {
        print_changes(fmt::format("site {}", each.site), each.lines, output.out);
        changed = changed || !each.lines.empty();
    }
    return changed ? exit_code::findings : exit_code::success;
}

}  // namespace trefoil::ctl
