// A soak of decision cores with a mirrored store: a document changes and changes back in random
// order while daemons lose the store, are paused and are restarted, several of them at once.
//
// The seeds 1 to 5 are played; "dissemination_undone_change_soak_test -- 60" plays 60.

#define BOOST_TEST_MODULE dissemination_undone_change_soak
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "base/hash.h"
#include "dissemination/testing/fleet.h"

namespace trefoil::dissemination {

namespace {

constexpr std::size_t daemons = 12;
constexpr int default_seeds = 5;
constexpr milliseconds step{50};
constexpr milliseconds trouble_time{40'000};
constexpr milliseconds longest_pause{1'500};
constexpr milliseconds settle_time{15'000};

fleet_options soak_options(std::uint64_t seed) {
    fleet_options options{.count = daemons, .domains = 2, .seed = seed, .loss = 0.01};
    use_mirror(options.core, 2);
    options.one_counter = true;
    return options;
}

struct soak : fleet {
    explicit soak(std::uint64_t seed) : fleet(soak_options(seed)), random(seed) {
        this->publish("base", 2, "good");
        this->publish_content();
        this->publish_list(2);
        this->run(settle_time);
    }

    // One of three contents, so that earlier ones return.
    void publish_content() {
        std::string body = "good " + std::to_string(this->random.below(3));
        this->publish(this->name, this->store.revision() + 1, body);
        this->history.push_back({this->now(), checksum64(body)});
    }

    // Lets one or several daemons lose the store or return to it.
    void change_access() {
        constexpr store_access ways[] = {store_access::served, store_access::refused,
                                         store_access::ignored};
        store_access way = ways[this->random.below(3)];
        bool readers = this->random.below(2) == 0;
        for (std::size_t i = 0; i < this->size(); ++i) {
            if (readers ? this->at(i).reader() : this->random.below(3) == 0) {
                this->set_access(i, way);
            }
        }
    }

    void pause_or_resume() {
        std::size_t index = this->random.below(this->size());
        if (this->paused[index]) {
            this->resume(index);
        } else {
            this->pause(index);
        }
        this->paused[index] = !this->paused[index];
    }

    void make_trouble() {
        switch (this->random.below(8)) {
            case 0:
            case 1:
            case 2:
                this->publish_content();
                break;
            case 3:
                this->publish("base", this->store.revision() + 1, "good");
                break;
            case 4:
                this->change_access();
                break;
            case 5:
                this->store.down = !this->store.down;
                break;
            case 6:
                this->pause_or_resume();
                break;
            default:
                this->restart_one();
        }
    }
    void restart_one() {
        std::size_t index = this->random.below(this->size());
        if (!this->paused[index]) {
            this->restart(index);
        }
    }
    void end_trouble() {
        this->store.down = false;
        for (std::size_t i = 0; i < this->size(); ++i) {
            this->set_access(i, store_access::served);
            if (this->paused[i]) {
                this->resume(i);
                this->paused[i] = false;
            }
        }
    }

    std::uint64_t held_content(std::size_t index) const {
        return this->at(index).documents().held(overlay_index).checksum;
    }
    // Whether the store has had the content at some time since `from`.
    bool stored_since(mono_time from, std::uint64_t content) const {
        for (std::size_t i = this->history.size(); i-- > 0;) {
            if (this->history[i].content == content) {
                return true;
            }
            // A reading at the time of a change may have come before it.
            if (this->history[i].since < from) {
                return false;
            }
        }
        return false;
    }
    // How many daemons claim that the platform has confirmed a content at a time since when it has
    // not had it.
    std::size_t wrong_claims() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->size(); ++i) {
            auto at = this->at(i).confirmation_state().platform_confirmed_at();
            bool claims = at.has_value() && !this->paused[i];
            count += claims && !this->stored_since(*at, this->held_content(i)) ? 1 : 0;
        }
        return count;
    }

    struct stored_content {
        mono_time since;
        std::uint64_t content = 0;
    };
    const std::string name = "site/s0";
    seeded_random random;
    std::vector<stored_content> history;
    std::vector<bool> paused = std::vector<bool>(daemons, false);
};

void play(std::uint64_t seed) {
    soak subject(seed);
    std::size_t wrong = 0;
    mono_time end = subject.now() + trouble_time;
    while (subject.now() < end) {
        subject.make_trouble();
        auto pause = milliseconds(subject.random.below(longest_pause.count()));
        for (milliseconds passed{0}; passed <= pause; passed += step) {
            subject.run(step);
            wrong += subject.wrong_claims();
        }
    }
    subject.end_trouble();
    subject.run(settle_time);
    BOOST_TEST(wrong == 0U);
    BOOST_TEST(subject.regressions == 0U);
    std::uint64_t stored = subject.history.back().content;
    BOOST_TEST(subject.all_match([&](std::size_t i) { return subject.held_content(i) == stored; }));
    BOOST_TEST(subject.all_match([&](std::size_t i) { return subject.confirmed(i); }));
}

}  // namespace

// Guards against daemons that claim a content which the store no longer has, and against daemons
// that never agree again, whatever is lost, paused and restarted while a document changes back and
// forth.
BOOST_AUTO_TEST_CASE(no_loss_leaves_an_undone_change_in_force) {
    const auto& arguments = boost::unit_test::framework::master_test_suite();
    int seeds = arguments.argc > 1 ? std::atoi(arguments.argv[1]) : default_seeds;
    for (int seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            play(static_cast<std::uint64_t>(seed));
        }
    }
}

}  // namespace trefoil::dissemination
