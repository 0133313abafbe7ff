// Adapts config::active_configuration to the document store interface of the dissemination core.
// Documents are the base document, the overlay of the site and the instance list; this store holds
// the first two.
//
// Example:
//
//     daemon::configuration_store store("north", config::document_bytes_max);
//     dissemination::core core(options, store, random, now);

#ifndef TREFOIL_DAEMON_CONFIGURATION_STORE_H_
#define TREFOIL_DAEMON_CONFIGURATION_STORE_H_

#include <cstddef>
#include <memory>
#include <string>

#include "config/active_configuration.h"
#include "dissemination/document_store.h"

namespace trefoil::daemon {

// Not safe for concurrent use; the control loop calls it under its lock.
class configuration_store final : public dissemination::document_store {
public:
    configuration_store(const std::string& site, std::size_t max_document_bytes);

    dissemination::held_document held(const std::string& name) const override;
    std::optional<std::string> body(const std::string& name, std::uint64_t revision) const override;
    void offer(const messages::document& offered) override;

    // Applies an empty overlay unless one is held already. To be called when the platform or a peer
    // of the same site reports that the site has no overlay.
    void offer_absent_overlay();

    const config::active_configuration& configuration() const { return this->active; }

private:
    void log_outcome(const config::offer_outcome& outcome, const std::string& name,
                     std::uint64_t revision) const;

    const std::string site;
    config::active_configuration active;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_CONFIGURATION_STORE_H_
