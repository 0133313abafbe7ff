// Implements the scenario with a simulated fleet.

#include "dissemination/testing/undone_change.h"

#include <string>

#include "base/hash.h"
#include "dissemination/testing/fleet.h"

namespace trefoil::dissemination {

namespace {

constexpr milliseconds outage{9000};
constexpr milliseconds settle_time{15000};
constexpr milliseconds max_wait{20000};

// All documents have one counter of revisions.
struct undone_change_fleet : fleet {
    explicit undone_change_fleet(const fleet_options& given) : fleet(given) {
        this->publish("base", 2, "good");
        this->publish(this->changed, 2, "good, before");
        this->publish_list(2);
        this->run(settle_time);
    }

    void publish_next(const std::string& name, const std::string& body) {
        this->publish(name, this->store.revision() + 1, body);
    }
    // Publishes a body and returns the time in ms until all daemons hold it.
    std::int64_t publish_and_hold(const std::string& body) {
        this->publish_next(this->changed, body);
        auto holds = [&](std::size_t i) {
            return this->at(i).documents().held(overlay_index).checksum == checksum64(body);
        };
        return this->run_until_all(holds, max_wait).count();
    }
    undone_change_cost total() const {
        return {
            .bytes = this->bytes_sent, .calls = this->store.calls, .probes = this->store.probes};
    }

    const std::string changed = "site/s0";
};

undone_change_cost difference(const undone_change_cost& end, const undone_change_cost& begin) {
    return {.bytes = end.bytes - begin.bytes,
            .calls = end.calls - begin.calls,
            .probes = end.probes - begin.probes};
}

}  // namespace

undone_change_result play(const undone_change& given) {
    fleet_options options{.count = given.daemons, .domains = given.domains, .seed = 3};
    use_mirror(options.core, given.every_daemon_follows ? given.daemons : 2);
    options.one_counter = true;
    undone_change_fleet subject(options);
    subject.store.renames_at_each_load = given.new_revision_at_each_load;
    undone_change_result result;
    undone_change_cost begin = subject.total();
    subject.run(outage);
    result.calm = difference(subject.total(), begin);
    subject.publish_and_hold("good, changed");
    subject.run(settle_time);
    for (std::size_t i = 0; i < subject.size(); ++i) {
        bool lost = subject.at(i).reader() && !given.every_daemon_follows;
        subject.set_access(i, lost ? store_access::refused : store_access::served);
    }
    begin = subject.total();
    mono_time end = subject.now() + outage;
    result.time_ms = subject.publish_and_hold("good, before");
    while (subject.now() < end) {
        subject.publish_next("base", "good " + std::to_string(subject.store.version));
        subject.run(milliseconds(500));
    }
    result.lost = difference(subject.total(), begin);
    result.regressions = subject.regressions;
    return result;
}

}  // namespace trefoil::dissemination
