// Notices changes of the settings file, which some platforms rewrite without telling the daemon.
//
// Example:
//
//     daemon::settings_watch watch(path, current);
//     if (auto changed = watch.check()) { process.reload(*changed); }

#ifndef TREFOIL_DAEMON_SETTINGS_WATCH_H_
#define TREFOIL_DAEMON_SETTINGS_WATCH_H_

#include <optional>
#include <string>

#include "daemon/settings.h"

namespace trefoil::daemon {

// Used by one thread.
class settings_watch {
public:
    settings_watch(std::string settings_path, settings loaded)
        : path(std::move(settings_path)), current(std::move(loaded)) {}

    // Reads the file again. Returns settings that differ from the last ones. A file that cannot be
    // read or is invalid is reported in the log once, and the last settings stay.
    std::optional<settings> check();

private:
    const std::string path;
    settings current;
    std::string reported;  // The failure that was logged last; empty after a good reading.
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_SETTINGS_WATCH_H_
