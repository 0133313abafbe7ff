// Implements the redaction of hexadecimal text.

#include "config/redaction.h"

#include <algorithm>

namespace trefoil::config {

namespace {

bool is_hex_digit(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

}  // namespace

std::string hide_hex_runs(std::string_view text, std::size_t min_digits) {
    std::string shown;
    const char* position = text.data();
    const char* end = text.data() + text.size();
    while (position != end) {
        const char* run = std::find_if(position, end, is_hex_digit);
        const char* run_end = std::find_if_not(run, end, is_hex_digit);
        shown.append(position, run);
        bool hidden = static_cast<std::size_t>(run_end - run) >= min_digits;
        if (hidden) {
            shown += "<hidden>";
        } else {
            shown.append(run, run_end);
        }
        position = run_end;
    }
    return shown;
}

}  // namespace trefoil::config
