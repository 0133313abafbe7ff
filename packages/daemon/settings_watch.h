// Detects changes of the settings file, which some platforms rewrite without sending SIGHUP.
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

    // Reads the file and returns its settings if they differ from the current ones. An unreadable
    // or invalid file is logged once per distinct failure, and the current settings stay.
    std::optional<settings> check();

private:
    const std::string path;
    settings current;
    std::string reported;  // The last failure that was logged; empty after a successful read.
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_SETTINGS_WATCH_H_
