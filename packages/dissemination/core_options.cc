// Implements the settings for a mirrored platform.

#include "dissemination/core_options.h"

namespace trefoil::dissemination {

void use_mirror(core_options& options, std::size_t followers) {
    constexpr std::size_t every_daemon = 1'000'000;
    constexpr milliseconds short_interval{200};
    options.readers_per_domain = followers == 0 ? every_daemon : followers;
    options.read_interval = short_interval;
    options.max_backoff = short_interval;
    options.first_read_jitter = short_interval;
    options.start_timeout = milliseconds(500);
    // The platform brings a change to all readers within some ten milliseconds.
    options.refresh_after = milliseconds(300);
    options.pull_delay = milliseconds(700);
    if (followers > 0) {
        options.mirrored = true;
        // Reads of the mirror cost nothing, so they are short and confirm often.
        options.watch_wait = milliseconds(500);
        // Changes must be in force everywhere within 1 s; a reader's follower adds up to 150 ms.
        options.min_announcement_interval = milliseconds(400);
    }
}

}  // namespace trefoil::dissemination
