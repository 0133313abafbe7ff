// Implements the event log.

#include "support/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "base/time.h"

namespace trefoil::testing {

std::int64_t now_us() {
    return to_microseconds(steady_time_source().now());
}

event_log::event_log(const std::string& path) {
    if (path.empty()) {
        return;
    }
    this->file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (this->file < 0) {
        std::perror(path.c_str());
        std::exit(2);
    }
}

event_log::~event_log() {
    if (this->file >= 0) {
        ::close(this->file);
    }
}

void event_log::write(std::int64_t time_us, const std::string& kind, nlohmann::json fields) const {
    if (this->file < 0) {
        return;
    }
    fields["t"] = time_us;
    fields["kind"] = kind;
    std::string line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    if (::write(this->file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        std::perror("event log");
        std::_Exit(2);
    }
}

}  // namespace trefoil::testing
