// Implements the command `completion`.

#include "ctl/completion_command.h"

namespace trefoil::ctl {

namespace {

constexpr std::string_view bash_script = R"(# Completion of trefoilctl for bash.
_trefoilctl() {
    local word=${COMP_WORDS[COMP_CWORD]}
    local options=--help
    COMPREPLY=()
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "check render diff status explain burn completion help" -- "$word"))
        return
    fi
    case ${COMP_WORDS[1]} in
        check | render) ;;
        diff) options="--overlay --help" ;;
        status | burn) options="--admin --json --help" ;;
        explain) options="--admin --json --method --path --workspace --help" ;;
        completion) options="bash --help" ;;
        *) return ;;
    esac
    case ${COMP_WORDS[1]}:$word in
        check:[!-]* | check: | render:[!-]* | render: | diff:[!-]* | diff:)
            COMPREPLY=($(compgen -f -- "$word"))
            ;;
        *) COMPREPLY=($(compgen -W "$options" -- "$word")) ;;
    esac
}
complete -o filenames -F _trefoilctl trefoilctl
)";

}  // namespace

std::string completion_command::name() const {
    return "completion";
}

std::string completion_command::arguments() const {
    return "bash";
}

std::string completion_command::summary() const {
    return "Print a completion script; load it with: source <(trefoilctl completion bash)";
}

void completion_command::add_options(boost::program_options::options_description& /*shown*/,
                                     boost::program_options::options_description& hidden) const {
    hidden.add_options()("shell", boost::program_options::value<std::vector<std::string>>());
}

void completion_command::add_positional_options(
    boost::program_options::positional_options_description& positions) const {
    positions.add("shell", 1);
}

exit_code completion_command::run(const boost::program_options::variables_map& values,
                                  output_streams output) {
    if (option_values(values, "shell") != std::vector<std::string>{"bash"}) {
        return usage_error(output, "completion supports one shell: bash");
    }
    output.out << bash_script;
    return exit_code::success;
}

}  // namespace trefoil::ctl
