// A configuration service for tests, with revisions and watches. It can be unavailable or stale.

#ifndef TREFOIL_DISSEMINATION_TESTING_FAKE_PLATFORM_H_
#define TREFOIL_DISSEMINATION_TESTING_FAKE_PLATFORM_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "dissemination/platform_answer.h"

namespace trefoil::dissemination {

class fake_platform {
public:
    using reply = std::function<void(const platform_answer&)>;

    void publish(const std::string& name, std::uint64_t revision, const std::string& body) {
        this->documents[name] = {revision, body};
        if (this->stale) {
            return;
        }
        auto waiting = std::exchange(this->watches, {});
        for (watch& each : waiting) {
            --this->reads;  // The call below counts the watch again.
            // Watches of other documents continue.
            this->read(mono_time::min(), each.until, each.name, each.after, each.answer);
        }
    }

    // Answers at once, or keeps a watch until a newer document or expire().
    void read(mono_time now, mono_time until, const std::string& name, std::uint64_t after,
              const reply& answer) {
        ++this->reads;
        if (this->down) {
            answer(platform_unavailable{});
            return;
        }
        const auto& source = this->stale ? this->frozen : this->documents;
        auto found = source.find(name);
        if (found == source.end()) {
            answer(platform_absent{});
        } else if (found->second.revision > after) {
            answer(platform_document{found->second.revision, found->second.body});
        } else if (until <= now) {
            answer(platform_unchanged{found->second.revision});
        } else {
            this->watches.push_back({until, name, after, answer});
        }
    }

    // Ends the watches whose wait is over.
    void expire(mono_time now) {
        auto waiting = std::exchange(this->watches, {});
        for (watch& each : waiting) {
            if (each.until > now && !this->down) {
                this->watches.push_back(std::move(each));
            } else {
                --this->reads;  // The call below counts the watch again.
                this->read(now, now, each.name, each.after, each.answer);
            }
        }
    }

    // Makes all later answers contain the documents as of now, whatever is published afterwards.
    void freeze() {
        this->frozen = this->documents;
        this->stale = true;
    }

    std::uint64_t reads = 0;
    bool down = false;
    bool stale = false;

private:
    struct entry {
        std::uint64_t revision = 0;
        std::string body;
    };
    struct watch {
        mono_time until;
        std::string name;
        std::uint64_t after;
        reply answer;
    };
    std::map<std::string, entry> documents;
    std::map<std::string, entry> frozen;
    std::vector<watch> watches;
};

}  // namespace trefoil::dissemination

#endif  // TREFOIL_DISSEMINATION_TESTING_FAKE_PLATFORM_H_
