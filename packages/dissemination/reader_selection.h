// Decides whether this daemon watches the platform. In each failure domain the live instances with
// the highest rendezvous hash of (domain, instance) do (Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", 1998). No agreement is needed: differing views add a reader.
//
// Example:
//
//     reader_selection readers("station-1", "d1", 2);
//     bool watch = readers.update(*view);

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
    reader_selection(std::string self_id, std::string self_domain, std::size_t readers);

    // Returns whether this daemon is one of the readers of its domain. Without a list it is not.
    bool update(const membership::view& current);

    // The readers of the domain that rank before this daemon, as of the last update: all of them
    // when this daemon is none.
    const std::vector<std::shared_ptr<const membership::instance_record>>& higher_ranked_readers()
        const {
        return this->higher_readers;
    }

    // Listed instances of the domain, with this one.
    std::size_t domain_size() const { return this->domain_instances; }

private:
    void rank(const membership::view& current);

    std::string self;
    std::string domain;
    std::size_t reader_count;
    std::shared_ptr<const membership::instance_list>
        ranked_list;  // The list that `higher` is from.
    // Positions in the list of the domain's instances whose score is higher than this daemon's,
    // highest first.
    std::vector<std::size_t> higher_ranked;
    std::vector<std::shared_ptr<const membership::instance_record>> higher_readers;
    std::size_t domain_instances = 1;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_READER_SELECTION_H_
