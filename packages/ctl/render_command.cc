// Implements the command `render`.

#include "ctl/render_command.h"

#include <vector>

#include "config/render.h"
#include "ctl/document_file.h"

namespace trefoil::ctl {

std::string render_command::name() const {
    return "render";
}

std::string render_command::arguments() const {
    return "BASE [OVERLAY]";
}

std::string render_command::summary() const {
    return "Print the merged configuration with all defaults; digests of keys are hidden.";
}

void render_command::add_options(boost::program_options::options_description& /*shown*/,
                                 boost::program_options::options_description& hidden) const {
    hidden.add_options()("file", boost::program_options::value<std::vector<std::string>>());
}

void render_command::add_positional_options(
    boost::program_options::positional_options_description& positions) const {
    positions.add("file", 2);
}

exit_code render_command::run(const boost::program_options::variables_map& values,
                              output_streams output) {
    std::vector<std::string> files = option_values(values, "file");
    if (files.empty()) {
        return usage_error(output, "render needs a base document");
    }
    std::string overlay = files.size() > 1 ? files[1] : std::string(no_overlay);
    auto outcome = read_snapshot(files.front(), overlay);
    if (auto* failure = std::get_if<unreadable_document>(&outcome)) {
        return usage_error(output, describe(*failure));
    }
    if (auto* failures = std::get_if<config::validation_failures>(&outcome)) {
        for (const config::validation_failure& each : *failures) {
            output.error << config::describe(each) << '\n';
        }
        return exit_code::findings;
    }
    output.out << config::render(std::get<config::snapshot>(outcome));
    return exit_code::success;
}

}  // namespace trefoil::ctl
