// Makes config::active_configuration available to the dissemination core as a document store.
//
// Example:
//
//     daemon::configuration_store store("north");
//     dissemination::core core(options, store, random, now);

#ifndef TREFOIL_DAEMON_CONFIGURATION_STORE_H_
#define TREFOIL_DAEMON_CONFIGURATION_STORE_H_

#include <memory>
#include <string>

#include "config/active_configuration.h"
#include "dissemination/document_store.h"

namespace trefoil::daemon {

// Not safe for concurrent use; the control loop calls it under its lock.
class configuration_store final : public dissemination::document_store {
public:
    explicit configuration_store(const std::string& site);

    dissemination::held_document held(const std::string& name) const override;
    std::optional<std::string> body(const std::string& name, std::uint64_t revision) const override;
    void offer(const messages::document& offered) override;

    // The platform or a peer of the same site says that the site has no overlay.
    void offer_absent_overlay();

    const config::active_configuration& configuration() const { return this->active; }

private:
    void report(const config::offer_outcome& outcome, const std::string& name,
                std::uint64_t revision) const;

    const std::string site;
    config::active_configuration active;
};

}  // namespace trefoil::daemon

#endif  // TREFOIL_DAEMON_CONFIGURATION_STORE_H_
