// Implements the selection of readers. Scores are computed once per list.

#include "dissemination/reader_selection.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace trefoil::dissemination {

reader_selection::reader_selection(std::string self_id, std::string self_domain,
                                   std::size_t readers, std::size_t all_below_size)
    : self(std::move(self_id)),
      domain(std::move(self_domain)),
      reader_count(readers),
      all_below(all_below_size) {}

void reader_selection::rank(const membership::view& current) {
    this->ranked_list = current.list();
    this->higher_ranked.clear();
    this->domain_instances = 1;
    std::uint64_t own = rendezvous_score(this->domain, this->self);
    std::vector<std::pair<std::uint64_t, std::size_t>> scored;
    const auto& records = this->ranked_list->records();
    for (std::size_t i = 0; i < records.size(); ++i) {
        if (records[i].failure_domain != this->domain || records[i].id == this->self) {
            continue;
        }
        ++this->domain_instances;
        std::uint64_t score = rendezvous_score(this->domain, records[i].id);
        if (score > own || (score == own && records[i].id < this->self)) {
            scored.emplace_back(score, i);
        }
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    for (const auto& [score, index] : scored) {
        this->higher_ranked.push_back(index);
    }
}

bool reader_selection::update(const membership::view& current) {
    if (this->ranked_list != current.list()) {
        this->rank(current);
    }
    this->higher_readers.clear();
    if (current.listed().empty()) {
        return false;
    }
    if (!this->selects()) {
        return true;
    }
    for (std::size_t index : this->higher_ranked) {
        if (current.listed()[index].state == membership::instance_state::live) {
            this->higher_readers.push_back(current.listed()[index].record);
        }
        if (this->higher_readers.size() >= this->reader_count) {
            return false;
        }
    }
    return true;
}

}  // namespace trefoil::dissemination
