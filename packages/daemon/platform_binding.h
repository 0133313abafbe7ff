// What a platform adapter provides to the daemon: the service that stores the configuration
// documents, and the names of the HTTP headers that callers and upstreams use on this platform.
//
// Example:
//
//     daemon::platform_binding binding = daemon::bind_documents(settings);
//     daemon::daemon process(settings, std::move(binding));

#ifndef TREFOIL_DAEMON_PLATFORM_BINDING_H_
#define TREFOIL_DAEMON_PLATFORM_BINDING_H_

#include <cstddef>
#include <memory>

#include "config/document.h"
#include "daemon/settings.h"
#include "edge/header_profile.h"
#include "source/configuration_service.h"

namespace trefoil::daemon {

struct platform_binding {
    std::unique_ptr<source::configuration_service> service;  // Never null.
    edge::header_profile headers{};
    // Maximum size of a document that the service returns.
    std::size_t max_document_bytes = config::document_bytes_max;
    // True if the service keeps a copy of the platform's documents, so that reads cause no load on
    // the platform and every daemon may watch it.
    bool mirrors = false;
};

// Binds the product's own protocol "documents": complete documents over HTTP.
platform_binding bind_documents(const settings& given);

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_PLATFORM_BINDING_H_
