// Implements the preset for a mirrored platform.

#include "dissemination/core_options.h"

namespace trefoil::dissemination {

void use_mirror(core_options& options, std::size_t followers, std::size_t min_domain) {
    constexpr std::size_t every_daemon = 1'000'000;
    constexpr milliseconds short_interval{200};
    options.readers_per_domain = followers == 0 ? every_daemon : followers;
    options.all_read_below = min_domain;
    options.read_interval = short_interval;
    options.max_backoff = short_interval;
    options.first_read_jitter = short_interval;
    options.start_timeout = milliseconds(500);
    // A change reaches all readers from the platform within about 10 ms.
    options.refresh_after = milliseconds(300);
    options.pull_delay = milliseconds(700);
    if (followers > 0) {
        options.mirrored = true;
        // Reads of the mirror are free, so short watches are used to confirm often.
        options.watch_wait = milliseconds(500);
        // Changes must be in force everywhere within 1 s, and the mirror of a reader adds up to 150
        // ms.
        options.min_announcement_interval = milliseconds(400);
    }
}

}  // namespace trefoil::dissemination
