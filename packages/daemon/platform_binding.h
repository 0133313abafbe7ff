// What a platform adapter brings to the daemon: where documents come from, and the vocabulary that
// callers and upstreams use there.
//
// Example:
//
//     daemon::platform_binding binding = daemon::bind_documents(settings);
//     daemon::daemon process(settings, std::move(binding));

#ifndef TREFOIL_DAEMON_PLATFORM_BINDING_H_
#define TREFOIL_DAEMON_PLATFORM_BINDING_H_

#include <memory>

#include "daemon/settings.h"
#include "edge/header_profile.h"
#include "source/configuration_service.h"

namespace trefoil::daemon {

struct platform_binding {
    std::unique_ptr<source::configuration_service> service;  // Never null.
    edge::header_profile headers{};
    // True: the service keeps a copy of the platform's documents, so that reads cost the platform
    // nothing and every daemon may watch.
    bool mirrors = false;
};

// The product's own protocol: whole documents over HTTP.
platform_binding bind_documents(const settings& given);

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_PLATFORM_BINDING_H_
