// Tests of the selection of the pair in force.

#define BOOST_TEST_MODULE config_active_configuration
#include "config/active_configuration.h"

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "base/random.h"

namespace trefoil::config {

namespace {

// Returns a base that defines `service`, so that an overlay can require a base with a certain
// service. The revision is also the maximum number of instances, so that a snapshot shows which
// base it was built from.
document base_document(std::uint64_t revision, const std::string& service = "s") {
    return make_document("base", revision,
                         fmt::format("fleet: {{max_instances: {}}}\nservices: {{{}: {{slots: "
                                     "1}}}}\n",
                                     revision, service));
}

document invalid_base(std::uint64_t revision) {
    return make_document("base", revision, "fleet: {max_instances: 0}\n");
}

// Returns an overlay with a route that is valid only with a base that defines `service`.
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

active_configuration offer_all(std::vector<document> documents) {
    active_configuration active("north");
    for (document& each : documents) {
        active.offer(std::move(each));
    }
    return active;
}

}  // namespace

// Guards against a base that comes into force before the site's overlay is known.
BOOST_AUTO_TEST_CASE(nothing_is_in_force_before_both_documents_are_known) {
    active_configuration active("north");
    BOOST_TEST(std::holds_alternative<stored>(active.offer(base_document(7))));
    BOOST_TEST(active.in_force() == nullptr);
    BOOST_TEST(!active.last_failure().has_value());
    BOOST_TEST(std::holds_alternative<applied>(active.offer(empty_overlay("north"))));
    BOOST_TEST((in_force(active) == revisions(7, 0)));
}

// Guards against a return to an earlier version by an older document, by an overlay that is
// reported missing or by another body with the same revision.
BOOST_AUTO_TEST_CASE(older_documents_are_ignored) {
    active_configuration active = offer_all({base_document(7), overlay_document(5)});
    BOOST_TEST(std::holds_alternative<ignored>(active.offer(base_document(6))));
    BOOST_TEST(std::holds_alternative<ignored>(active.offer(overlay_document(4))));
    BOOST_TEST(std::holds_alternative<ignored>(active.offer(empty_overlay("north"))));
    BOOST_TEST(std::holds_alternative<ignored>(active.offer(base_document(7))));
    BOOST_TEST(std::holds_alternative<conflicting_document>(active.offer(base_document(7, "t"))));
    BOOST_TEST((in_force(active) == revisions(7, 5)));
}

// Guards against an invalid version that replaces the valid one, in full or in part, and against an
// invalid version that is not reported or not available to peers.
BOOST_AUTO_TEST_CASE(invalid_version_leaves_the_last_valid_pair) {
    active_configuration active = offer_all({base_document(7), overlay_document(5)});
    auto before = active.in_force();
    BOOST_TEST(std::holds_alternative<stored>(active.offer(invalid_base(8))));
    BOOST_TEST(active.in_force() == before);
    BOOST_TEST(active.last_failure()->base_revision == 8U);
    BOOST_TEST(!active.last_failure()->failures.empty());
    BOOST_TEST(active.newest("base")->revision == 8U);
    BOOST_TEST(active.in_force("base")->revision == 7U);
    BOOST_TEST(active.find("base", 7)->body == base_document(7).body);
    BOOST_TEST(active.find("base", 8)->body == invalid_base(8).body);
    BOOST_TEST(active.find("base", 6) == nullptr);
    BOOST_TEST(std::holds_alternative<applied>(active.offer(base_document(9))));
    BOOST_TEST((in_force(active) == revisions(9, 5)));
    BOOST_TEST(!active.last_failure().has_value());
}

// Guards against updates that are never applied: a base and an overlay that are valid only together
// and arrive in either order.
BOOST_AUTO_TEST_CASE(documents_that_need_each_other_are_applied_together) {
    active_configuration overlay_first = offer_all({base_document(7), overlay_document(5)});
    overlay_first.offer(overlay_document(6, "t"));
    BOOST_TEST((in_force(overlay_first) == revisions(7, 5)));
    overlay_first.offer(base_document(8, "t"));
    BOOST_TEST((in_force(overlay_first) == revisions(8, 6)));

    active_configuration base_first = offer_all({base_document(7), overlay_document(5)});
    base_first.offer(base_document(8, "t"));
    BOOST_TEST((in_force(base_first) == revisions(7, 5)));
    base_first.offer(overlay_document(6, "t"));
    BOOST_TEST((in_force(base_first) == revisions(8, 6)));
}

// Guards against an invalid overlay that blocks a valid base, and the reverse.
BOOST_AUTO_TEST_CASE(invalid_document_does_not_block_the_other) {
    active_configuration active = offer_all({base_document(7), overlay_document(5)});
    active.offer(overlay_document(6, "missing"));
    BOOST_TEST(std::holds_alternative<applied>(active.offer(base_document(8))));
    BOOST_TEST((in_force(active) == revisions(8, 5)));
    BOOST_TEST(active.last_failure()->overlay_revision == 6U);
    active.offer(invalid_base(9));
    BOOST_TEST(std::holds_alternative<applied>(active.offer(overlay_document(7))));
    BOOST_TEST((in_force(active) == revisions(8, 7)));
    BOOST_TEST(active.last_failure()->base_revision == 9U);
}

// Guards against a restarted daemon that never gets a configuration because it received a newer
// invalid document before the valid one, in any order of the documents.
BOOST_AUTO_TEST_CASE(restarted_daemon_accepts_the_older_valid_document) {
    std::vector<document> fleet = {base_document(7), invalid_base(8), overlay_document(5),
                                   overlay_document(6, "missing")};
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        seeded_random random(seed);
        std::vector<document> order = fleet;
        for (std::size_t i = order.size(); i > 1; --i) {
            std::swap(order[i - 1], order[random.below(i)]);
        }
        active_configuration active = offer_all(order);
        BOOST_TEST((in_force(active) == revisions(7, 5)), "seed " << seed);
        BOOST_TEST(active.newest("base")->revision == 8U);
    }
}

// Guards against a daemon that ignores a version it missed because it already has a newer invalid
// one.
BOOST_AUTO_TEST_CASE(missed_version_is_accepted_below_an_invalid_one) {
    active_configuration active = offer_all(
        {base_document(7), overlay_document(5), invalid_base(9), overlay_document(7, "missing")});
    active.offer(base_document(8, "t"));
    BOOST_TEST((in_force(active) == revisions(7, 5)));
    active.offer(overlay_document(6, "t"));
    BOOST_TEST((in_force(active) == revisions(8, 6)));
    BOOST_TEST(active.newest("base")->revision == 9U);
}

// Guards against damaged bodies and documents of other sites that are stored.
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

// Guards against snapshots of mixed versions and against decreasing revisions, for any order of
// offers: the pair in force is always a valid pair of offered documents, and neither of its
// revisions ever decreases.
BOOST_AUTO_TEST_CASE(random_offers_keep_the_invariants) {
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        seeded_random random(seed);
        active_configuration active("north");
        revisions last = none;
        for (int step = 0; step < 60; ++step) {
            std::uint64_t revision = random.below(20);
            // As on the platform, equal revisions have equal content.
            std::string service = revision % 3 == 0 ? "t" : "s";
            bool offer_base = random.below(2) == 0;
            if (offer_base) {
                active.offer(revision % 5 == 4 ? invalid_base(revision)
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
