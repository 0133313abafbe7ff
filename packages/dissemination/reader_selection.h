// Decides whether this daemon is a reader, that is, watches the platform. In each failure domain
// the readers are the live instances with the highest rendezvous hash of (domain, instance) (Thaler
// and Ravishankar, "Using name-based mappings to increase hit rates", 1998). This needs no
// agreement: when the views of two daemons differ, there is an additional reader.
//
// Example:
//
//     reader_selection readers("station-1", "d1", 2);
//     bool is_reader = readers.update(*view);

#ifndef TREFOIL_DISSEMINATION_READER_SELECTION_H_
#define TREFOIL_DISSEMINATION_READER_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "membership/view.h"

namespace trefoil::dissemination {

class reader_selection {
public:
    // In a failure domain with fewer than `all_below` listed instances, all are readers.
    reader_selection(std::string self_id, std::string self_domain, std::size_t readers,
                     std::size_t all_below);

    // Returns whether this daemon is a reader of its failure domain; false without a list.
    bool update(const membership::view& current);

    // The readers of the domain that rank higher than this daemon, as of the last update. These are
    // all of its readers when this daemon is not one itself. Empty if all daemons are readers.
    const std::vector<std::shared_ptr<const membership::instance_record>>& higher_ranked_readers()
        const {
        return this->higher_readers;
    }

    // Whether only some daemons of the domain are readers, which serve the others.
    bool selects() const { return this->domain_instances >= this->all_below; }

    // Number of listed instances of the domain, including this one.
    std::size_t domain_size() const { return this->domain_instances; }

private:
    void rank(const membership::view& current);

    std::string self;
    std::string domain;
    std::size_t reader_count;
    std::size_t all_below;
    std::shared_ptr<const membership::instance_list> ranked_list;  // The list of `higher_ranked`.
    // Positions in the list of the domain's instances with a higher score than this daemon, highest
    // score first.
    std::vector<std::size_t> higher_ranked;
    std::vector<std::shared_ptr<const membership::instance_record>> higher_readers;
    std::size_t domain_instances = 1;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_READER_SELECTION_H_
