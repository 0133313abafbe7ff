// Implements the watch by comparing contents, because a rewritten file may keep its modification
// time.

#include "daemon/settings_watch.h"

#include <utility>

#include "base/log.h"

namespace trefoil::daemon {

std::optional<settings> settings_watch::check() {
    auto loaded = load_settings(this->path);
    if (const auto* failures = std::get_if<settings_failures>(&loaded)) {
        std::string failure = describe(failures->front());
        if (failure != this->reported) {
            log(log_level::error, "settings_rejected", {{"detail", failure}});
            this->reported = std::move(failure);
        }
        return std::nullopt;
    }
    this->reported.clear();
    auto& next = std::get<settings>(loaded);
    if (next == this->current) {
        return std::nullopt;
    }
    this->current = next;
    return std::move(next);
}

}  // namespace trefoil::daemon
