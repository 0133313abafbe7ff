// Tests of the choice of the pair in force.

#define BOOST_TEST_MODULE config_active_configuration
#include "config/active_configuration.h"

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "base/random.h"

namespace trefoil::config {

namespace {

// The service is named after the revision unless given, so that an overlay can require one base.
document base_document(std::uint64_t revision, const std::string& service = "s") {
    return make_document("base", revision,
                         fmt::format("fleet: {{max_instances: {}}}\nservices: {{{}: {{slots: "
                                     "1}}}}\n",
                                     revision, service));
}

document bad_base(std::uint64_t revision) {
    return make_document("base", revision, "fleet: {max_instances: 0}\n");
}

// Its route is valid only with a base that has `service`.
document overlay_document(std::uint64_t revision, const std::string& service = "s") {
    return make_document(
        "site/north", revision,
        fmt::format("routes: {{r{}: {{path_prefix: /, service: {}}}}}\n", revision, service));
}

using revisions = std::pair<std::uint64_t, std::uint64_t>;
constexpr revisions none{0, 0};

revisions in_force(const active_configuration& active) {
    auto current = active.in_force();
    return current == nullptr ? none
                              : revisions(current->base_revision(), current->overlay_revision());
}

active_configuration with(std::vector<document> documents) {
    active_configuration active("north");
    for (document& each : documents) {
        active.offer(std::move(each));
    }
    return active;
}

}  // namespace

// Guards against a base that is put into force before the site's overlay is known.
BOOST_AUTO_TEST_CASE(nothing_is_in_force_before_both_documents_are_known) {
    active_configuration active("north");
    BOOST_TEST(std::holds_alternative<held>(active.offer(base_document(7))));
    BOOST_TEST(active.in_force() == nullptr);
    BOOST_TEST(!active.last_failure().has_value());
    BOOST_TEST(std::holds_alternative<applied>(active.offer(empty_overlay("north"))));
    BOOST_TEST((in_force(active) == revisions(7, 0)));
}

// Guards against a version going back: an older document, an overlay that is reported missing, and
// a second body with the same revision.
BOOST_AUTO_TEST_CASE(older_documents_never_return) {
    active_configuration active = with({base_document(7), overlay_document(5)});
    BOOST_TEST(std::holds_alternative<ignored>(active.offer(base_document(6))));
    BOOST_TEST(std::holds_alternative<ignored>(active.offer(overlay_document(4))));
    BOOST_TEST(std::holds_alternative<ignored>(active.offer(empty_overlay("north"))));
    BOOST_TEST(std::holds_alternative<ignored>(active.offer(base_document(7))));
    BOOST_TEST(std::holds_alternative<conflicting_document>(active.offer(base_document(7, "t"))));
    BOOST_TEST((in_force(active) == revisions(7, 5)));
}

// Guards against a bad version that replaces the good one, in full or in part, and against a bad
// version that is not reported or not handed to peers.
BOOST_AUTO_TEST_CASE(bad_version_leaves_the_last_good_pair) {
    active_configuration active = with({base_document(7), overlay_document(5)});
    auto before = active.in_force();
    BOOST_TEST(std::holds_alternative<held>(active.offer(bad_base(8))));
    BOOST_TEST(active.in_force() == before);
    BOOST_TEST(active.last_failure()->base_revision == 8U);
    BOOST_TEST(!active.last_failure()->failures.empty());
    BOOST_TEST(active.newest("base")->revision == 8U);
    BOOST_TEST(active.in_force("base")->revision == 7U);
    BOOST_TEST(active.find("base", 7)->body == base_document(7).body);
    BOOST_TEST(active.find("base", 8)->body == bad_base(8).body);
    BOOST_TEST(active.find("base", 6) == nullptr);
    BOOST_TEST(std::holds_alternative<applied>(active.offer(base_document(9))));
    BOOST_TEST((in_force(active) == revisions(9, 5)));
    BOOST_TEST(!active.last_failure().has_value());
}

// Guards against crossed updates: a base and an overlay that are valid only together, arriving in
// either order.
BOOST_AUTO_TEST_CASE(documents_that_need_each_other_are_applied_together) {
    active_configuration overlay_first = with({base_document(7), overlay_document(5)});
    overlay_first.offer(overlay_document(6, "t"));
    BOOST_TEST((in_force(overlay_first) == revisions(7, 5)));
    overlay_first.offer(base_document(8, "t"));
    BOOST_TEST((in_force(overlay_first) == revisions(8, 6)));

    active_configuration base_first = with({base_document(7), overlay_document(5)});
    base_first.offer(base_document(8, "t"));
    BOOST_TEST((in_force(base_first) == revisions(7, 5)));
    base_first.offer(overlay_document(6, "t"));
    BOOST_TEST((in_force(base_first) == revisions(8, 6)));
}

// Guards against a bad overlay that holds up a good base, and the reverse.
BOOST_AUTO_TEST_CASE(one_bad_document_does_not_hold_up_the_other) {
    active_configuration active = with({base_document(7), overlay_document(5)});
    active.offer(overlay_document(6, "missing"));
    BOOST_TEST(std::holds_alternative<applied>(active.offer(base_document(8))));
    BOOST_TEST((in_force(active) == revisions(8, 5)));
    BOOST_TEST(active.last_failure()->overlay_revision == 6U);
    active.offer(bad_base(9));
    BOOST_TEST(std::holds_alternative<applied>(active.offer(overlay_document(7))));
    BOOST_TEST((in_force(active) == revisions(8, 7)));
    BOOST_TEST(active.last_failure()->base_revision == 9U);
}

// Guards against a restarted daemon that cannot join the fleet because it first heard of a newer
// invalid document, whatever the order of the other documents.
BOOST_AUTO_TEST_CASE(empty_memory_accepts_the_older_document_in_force) {
    std::vector<document> fleet = {base_document(7), bad_base(8), overlay_document(5),
                                   overlay_document(6, "missing")};
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        seeded_random random(seed);
        std::vector<document> order = fleet;
        for (std::size_t i = order.size(); i > 1; --i) {
            std::swap(order[i - 1], order[random.below(i)]);
        }
        active_configuration active = with(order);
        BOOST_TEST((in_force(active) == revisions(7, 5)), "seed " << seed);
        BOOST_TEST(active.newest("base")->revision == 8U);
    }
}

// Guards against a daemon that missed a version and ignores it once it knows a newer invalid one.
BOOST_AUTO_TEST_CASE(missed_version_is_accepted_below_an_invalid_one) {
    active_configuration active =
        with({base_document(7), overlay_document(5), bad_base(9), overlay_document(7, "missing")});
    active.offer(base_document(8, "t"));
    BOOST_TEST((in_force(active) == revisions(7, 5)));
    active.offer(overlay_document(6, "t"));
    BOOST_TEST((in_force(active) == revisions(8, 6)));
    BOOST_TEST(active.newest("base")->revision == 9U);
}

// Guards against damaged bodies and documents of other sites.
BOOST_AUTO_TEST_CASE(foreign_and_damaged_documents_are_refused) {
    active_configuration active("north");
    document damaged = base_document(7);
    damaged.body += "#";
    BOOST_TEST(std::holds_alternative<damaged_document>(active.offer(damaged)));
    BOOST_TEST(
        std::holds_alternative<unknown_document>(active.offer(make_document("site/south", 1, ""))));
    BOOST_TEST(std::holds_alternative<unknown_document>(active.offer(base_document(0))));
    BOOST_TEST(std::holds_alternative<unknown_document>(active.offer(overlay_document(0))));
    BOOST_TEST(active.newest("base") == nullptr);
}

// Guards against mixed snapshots and versions that go back under any order of offers: the pair in
// force is always a valid pair of offered documents, and neither of its revisions ever decreases.
BOOST_AUTO_TEST_CASE(random_offers_keep_the_invariants) {
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        seeded_random random(seed);
        active_configuration active("north");
        revisions last = none;
        for (int step = 0; step < 60; ++step) {
            std::uint64_t revision = random.below(20);
            // The content depends on the revision, as on the platform.
            std::string service = revision % 3 == 0 ? "t" : "s";
            bool offer_base = random.below(2) == 0;
            if (offer_base) {
                active.offer(revision % 5 == 4 ? bad_base(revision)
                                               : base_document(revision, service));
            } else {
                active.offer(revision == 0 ? empty_overlay("north")
                                           : overlay_document(revision, service));
            }
            revisions now = in_force(active);
            BOOST_TEST(now.first >= last.first, "seed " << seed);
            BOOST_TEST(now.second >= last.second, "seed " << seed);
            last = now;
            auto current = active.in_force();
            if (current == nullptr) {
                continue;
            }
            BOOST_TEST(current->fleet().max_instances == now.first);
            BOOST_TEST(active.in_force("base")->revision == now.first);
            BOOST_TEST(active.in_force("site/north")->revision == now.second);
            for (const route& each : current->contents().routes.routes()) {
                BOOST_TEST(each.name == fmt::format("r{}", now.second));
                BOOST_TEST(current->find_service(each.service) != nullptr);
            }
        }
    }
}

}  // namespace trefoil::config
