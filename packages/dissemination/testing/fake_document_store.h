// A document store for tests. A body that starts with "bad" is invalid. Each document is validated
// on its own, not as a pair.

#ifndef TREFOIL_DISSEMINATION_TESTING_FAKE_DOCUMENT_STORE_H_
#define TREFOIL_DISSEMINATION_TESTING_FAKE_DOCUMENT_STORE_H_

#include <map>
#include <optional>
#include <string>

#include "base/hash.h"
#include "dissemination/document_store.h"

namespace trefoil::dissemination {

class fake_document_store final : public document_store {
public:
    held_document held(const std::string& name) const override {
        auto found = this->entries.find(name);
        return found == this->entries.end() ? held_document{} : found->second.state;
    }

    std::optional<std::string> body(const std::string& name,
                                    std::uint64_t revision) const override {
        auto found = this->entries.find(name);
        if (found == this->entries.end() || revision == 0) {
            return std::nullopt;
        }
        const entry& item = found->second;
        if (revision == item.state.revision) {
            return item.newest;
        }
        return revision == item.state.revision_in_force ? std::optional<std::string>(item.in_force)
                                                        : std::nullopt;
    }

    void offer(const messages::document& offered) override {
        entry& item = this->entries[offered.name];
        if (offered.revision > item.state.revision) {
            item.state.revision = offered.revision;
            item.state.checksum = offered.checksum;
            item.newest = offered.body;
        }
        bool valid = offered.body.rfind("bad", 0) != 0;
        if (valid && offered.revision > item.state.revision_in_force) {
            item.state.revision_in_force = offered.revision;
            item.in_force = offered.body;
        }
    }

private:
    struct entry {
        held_document state;
        std::string newest;
        std::string in_force;
    };
    std::map<std::string, entry> entries;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_TESTING_FAKE_DOCUMENT_STORE_H_
