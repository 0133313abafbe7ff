// Tests of the dissemination core with fleets under injected failures. Where an option turns a
// mechanism off, the test also shows that the check fails without the mechanism.

#define BOOST_TEST_MODULE dissemination_core
#include "dissemination/core.h"

#include <boost/test/unit_test.hpp>

#include "dissemination/testing/fleet.h"

namespace trefoil::dissemination {

namespace {

// Returns a fleet that holds revision 2 of every document and has run for 15 s.
std::unique_ptr<fleet> converged_fleet(fleet_options options) {
    auto result = std::make_unique<fleet>(options);
    result->publish("base", 2, "good");
    for (std::size_t site = 0; site < options.sites; ++site) {
        result->publish("site/s" + std::to_string(site), 2, "good");
    }
    result->publish_list(2);
    result->run(milliseconds(15000));
    return result;
}

bool all_hold(const fleet& subject, const std::string& name, std::uint64_t revision) {
    return subject.all_match(
        [&](std::size_t i) { return subject.held_revision(i, name) == revision; });
}

// Restarts a third of the fleet while the platform returns the stale revision 2 of `base`. Returns
// whether all daemons converge on the previously accepted revision 3.
bool keeps_revision_with_stale_platform(bool gossip) {
    fleet_options options{.count = 24, .seed = 7};
    options.core.gossip = gossip;
    auto subject = converged_fleet(options);
    subject->platform.freeze();
    subject->platform.stale = false;
    subject->publish("base", 3, "good");
    subject->run(milliseconds(8000));
    subject->platform.stale = true;
    for (std::size_t i = 0; i < 8; ++i) {
        subject->restart(i);
    }
    subject->run(milliseconds(15000));
    BOOST_TEST(subject->regressions == 0U);
    return all_hold(*subject, "base", 3);
}

// Returns the number of daemons that are unconfirmed at any time during 30 s without the platform.
std::size_t unconfirmed_without_platform(bool by_majority) {
    fleet_options options{.count = 40, .seed = 3, .loss = 0.01};
    options.core.confirm_by_majority = by_majority;
    auto subject = converged_fleet(options);
    subject->platform.down = true;
    std::set<std::size_t> lost;
    for (int step = 0; step < 300; ++step) {
        subject->run(milliseconds(100));
        for (std::size_t i = 0; i < subject->size(); ++i) {
            if (!subject->confirmed(i)) {
                lost.insert(i);
            }
        }
    }
    return lost.size();
}

// Returns whether a paused reader is unconfirmed after it resumed and handled its queued messages,
// including the answers to its watches.
bool is_unconfirmed_after_pause(bool confirm_from_request) {
    fleet_options options{.count = 12, .seed = 5};
    options.core.confirm_from_request = confirm_from_request;
    auto subject = converged_fleet(options);
    std::size_t reader = 0;
    while (!subject->at(reader).reader()) {
        ++reader;
    }
    BOOST_REQUIRE(subject->confirmed(reader));
    subject->pause(reader);
    // Shorter than the time after which the core gives up a request.
    subject->run(milliseconds(8000));
    BOOST_TEST(!subject->confirmed(reader));
    subject->resume(reader);
    bool unconfirmed = !subject->confirmed(reader);
    subject->run(milliseconds(5000));
    BOOST_TEST(subject->confirmed(reader));
    return unconfirmed;
}

// Returns whether a daemon that starts after an invalid revision was published gets the revision
// that is in force at its peers.
bool gets_last_good_revision(bool enabled) {
    fleet_options options{.count = 12, .seed = 9};
    options.core.pull_last_good = enabled;
    auto subject = converged_fleet(options);
    subject->publish("base", 3, "bad");
    subject->run(milliseconds(5000));
    BOOST_TEST(all_hold(*subject, "base", 3));
    subject->restart(6);
    subject->run(milliseconds(10000));
    BOOST_TEST(subject->held_revision(6, "base") == 3U);
    return subject->in_force_revision(6, "base") == 2 && subject->at(6).ready();
}

// Returns the maximum number of platform reads in a second after 200 daemons restart at once.
std::uint64_t reads_after_simultaneous_restart(std::size_t readers, milliseconds jitter) {
    fleet_options options{.count = 200, .domains = 10, .seed = 13};
    options.core.readers_per_domain = readers;
    options.core.first_read_jitter = jitter;
    auto subject = converged_fleet(options);
    for (std::size_t i = 0; i < subject->size(); ++i) {
        subject->restart(i);
    }
    std::uint64_t most = 0;
    for (int second = 0; second < 15; ++second) {
        std::uint64_t before = subject->platform.reads;
        subject->run(milliseconds(1000));
        most = std::max(most, subject->platform.reads - before);
    }
    BOOST_TEST(all_hold(*subject, "base", 2));
    BOOST_TEST(subject->all_match([&](std::size_t i) { return subject->at(i).ready(); }));
    return most;
}

// Returns the longest time until two documents that are updated at once are held everywhere, with
// message loss.
milliseconds time_of_concurrent_updates() {
    fleet_options options{.count = 40, .seed = 17, .loss = 0.05};
    options.longest_delay = milliseconds(300);
    auto subject = converged_fleet(options);
    milliseconds longest{0};
    for (std::uint64_t revision = 3; revision < 8; ++revision) {
        subject->publish("base", revision, "good");
        subject->publish("site/s0", revision, "good");
        auto holds = [&](std::size_t i) {
            return subject->held_revision(i, "base") == revision &&
                   subject->held_revision(i, "site/s0") == revision;
        };
        longest = std::max(longest, subject->run_until_all(holds, milliseconds(10000)));
    }
    BOOST_TEST(subject->regressions == 0U);
    return longest;
}

}  // namespace

// Guards against a document without content, such as an overlay that overrides nothing, that counts
// as an answer without a document.
BOOST_AUTO_TEST_CASE(an_empty_document_is_adopted) {
    auto subject = converged_fleet({.count = 4, .domains = 2});
    subject->publish("site/s0", 3, "");
    subject->run(milliseconds(5000));
    BOOST_TEST(all_hold(*subject, "site/s0", 3));
    BOOST_TEST(subject->all_match([&](std::size_t i) { return subject->confirmed(i); }));
}

// Guards against a return to an older revision when restarted daemons read from a stale platform.
BOOST_AUTO_TEST_CASE(revision_never_decreases_with_a_stale_platform) {
    BOOST_TEST(keeps_revision_with_stale_platform(true));
    BOOST_TEST(!keeps_revision_with_stale_platform(false));
}

// Guards against a fleet that refuses calls because the platform alone is down.
BOOST_AUTO_TEST_CASE(majority_stays_confirmed_without_the_platform) {
    BOOST_TEST(unconfirmed_without_platform(true) == 0U);
    BOOST_TEST(unconfirmed_without_platform(false) == 40U);
}

// Guards against a partitioned minority that accepts a revoked key for longer than 4 s, and against
// daemons that do not catch up after the partition heals.
BOOST_AUTO_TEST_CASE(minority_is_unconfirmed_within_4_s_and_catches_up) {
    auto subject = converged_fleet({.count = 40, .seed = 21});
    for (std::size_t i = 0; i < 12; ++i) {
        subject->set_partition(i, 1);
    }
    subject->run(milliseconds(4100));
    for (std::size_t i = 0; i < subject->size(); ++i) {
        BOOST_TEST(subject->confirmed(i) == (i >= 12), "instance " << i);
    }
    subject->publish("base", 3, "good");
    subject->run(milliseconds(40000));
    BOOST_TEST(subject->held_revision(0, "base") == 2U);
    for (std::size_t i = 0; i < 12; ++i) {
        subject->set_partition(i, 0);
    }
    auto healed = [&](std::size_t i) {
        return subject->held_revision(i, "base") == 3 && subject->confirmed(i);
    };
    BOOST_TEST(subject->run_until_all(healed, milliseconds(20000)).count() < 10000);
}

// Guards against a process that, after a pause, serves with revoked keys because messages from
// before the pause confirm its documents.
BOOST_AUTO_TEST_CASE(paused_daemon_is_unconfirmed_when_it_resumes) {
    BOOST_TEST(is_unconfirmed_after_pause(true));
    BOOST_TEST(!is_unconfirmed_after_pause(false));
}

// Guards against a restarted daemon that cannot serve because the newest revision is invalid.
BOOST_AUTO_TEST_CASE(last_good_revision_is_pulled_when_the_newest_is_invalid) {
    BOOST_TEST(gets_last_good_revision(true));
    BOOST_TEST(!gets_last_good_revision(false));
}

// Guards against concurrent updates that overwrite or block each other. There is no comparison run
// without gossip, because every daemon is a reader in such a fleet, so the platform alone suffices.
BOOST_AUTO_TEST_CASE(concurrent_updates_converge) {
    BOOST_TEST(time_of_concurrent_updates().count() < 5000);
}

// Guards against overload of the platform when all daemons restart at once.
BOOST_AUTO_TEST_CASE(simultaneous_restart_has_bounded_platform_reads) {
    BOOST_TEST(reads_after_simultaneous_restart(2, milliseconds(2000)) < 250U);
    BOOST_TEST(reads_after_simultaneous_restart(1000, milliseconds(0)) >= 600U);
}

// Guards against a restarted daemon that stays out of service during a platform outage, and against
// one that serves with the documents of a minority partition.
BOOST_AUTO_TEST_CASE(start_without_the_platform_needs_a_majority) {
    auto subject = converged_fleet({.count = 40, .seed = 27});
    subject->platform.down = true;
    // Each partition contains a seed.
    subject->set_partition(2, 1);
    for (std::size_t i = 0; i < 11; ++i) {
        subject->set_partition(29 + i, 1);
    }
    subject->run(milliseconds(5000));
    subject->restart(30);
    subject->restart(20);
    subject->run(milliseconds(10000));
    BOOST_TEST(subject->in_force_revision(20, "base") == 2U);
    BOOST_TEST(subject->at(20).ready());
    BOOST_TEST(subject->confirmed(20));
    BOOST_TEST(subject->in_force_revision(30, "base") == 2U);
    BOOST_TEST(!subject->at(30).ready());
    BOOST_TEST(subject->at(30).waiting_for() == "platform");
}

// Guards against a reader that stops watching before other daemons know that it leaves.
BOOST_AUTO_TEST_CASE(leaving_reader_keeps_watching_until_it_is_replaced) {
    auto subject = converged_fleet({.count = 12, .domains = 2, .seed = 29});
    auto readers = [&] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < subject->size(); ++i) {
            count += subject->at(i).reader() ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(readers() == 4U);
    std::size_t leaving_reader = 0;
    while (!subject->at(leaving_reader).reader()) {
        ++leaving_reader;
    }
    subject->at(leaving_reader).set_leaving(subject->now());
    subject->run(milliseconds(2000));
    BOOST_TEST(readers() >= 4U);
}

// Guards against calls that peers send to a stopping instance, because they are connected to it but
// are not among the few peers to which new documents are announced.
BOOST_AUTO_TEST_CASE(leaving_is_announced_at_once_to_every_connected_peer) {
    constexpr int early_peers = 90;
    fake_document_store store;
    seeded_random random(37);
    mono_time now(std::chrono::hours(1));
    core_options options;
    options.instance = "x";
    options.site = "s0";
    core subject(options, store, random, now);
    auto connect = [&](int number) {
        membership::instance_record peer;
        peer.id = "peer-" + std::to_string(number);
        subject.on_connection_opened(now, peer, "");
    };
    auto peers_told = [&] {
        std::set<std::string> peers;
        for (const action& each : subject.take_actions()) {
            const auto* sent = std::get_if<send_message>(&each);
            const auto* digest =
                sent == nullptr ? nullptr : std::get_if<messages::digest>(&sent->message);
            if (digest != nullptr && digest->leaving) {
                peers.insert(sent->peer);
            }
        }
        return peers.size();
    };
    for (int i = 0; i < early_peers; ++i) {
        connect(i);
    }
    subject.set_leaving(now);
    BOOST_TEST(peers_told() == static_cast<std::size_t>(early_peers));
    connect(early_peers);
    BOOST_TEST(peers_told() == 1U);
}

// Guards against a document that is applied although its checksum does not match, and against a
// pull that is not retried afterwards.
BOOST_AUTO_TEST_CASE(document_with_wrong_checksum_is_rejected_and_requested_again) {
    fake_document_store store;
    seeded_random random(31);
    mono_time now(std::chrono::hours(1));
    core_options options;
    options.instance = "x";
    options.site = "s0";
    core subject(options, store, random, now);
    membership::instance_record peer;
    peer.id = "y";
    subject.on_connection_opened(now, peer, "");
    messages::document good{
        .name = "base", .revision = 4, .checksum = checksum64("b"), .body = "b"};
    messages::digest announcement;
    announcement.documents = {{"base", 4, good.checksum, 4}};
    auto requests = [&] {
        std::size_t count = 0;
        for (const action& each : subject.take_actions()) {
            const auto* message = std::get_if<send_message>(&each);
            count += message != nullptr &&
                             std::holds_alternative<messages::document_request>(message->message)
                         ? 1
                         : 0;
        }
        return count;
    };
    subject.receive(now, "y", announcement);
    BOOST_TEST(requests() == 1U);
    messages::document damaged = good;
    damaged.body = "c";
    subject.receive(now, "y", damaged);
    BOOST_TEST(store.held("base").revision == 0U);
    BOOST_TEST(subject.counts().damaged_documents == 1U);
    subject.tick(now + milliseconds(1100));
    BOOST_TEST(requests() == 1U);
    subject.receive(now, "y", good);
    BOOST_TEST(store.held("base").revision == 4U);
    good.revision = 3;
    subject.receive(now, "y", good);
    BOOST_TEST(store.held("base").revision == 4U);
}

// Guards against the transfer of a document whose body is already held under an older revision, and
// against daemons that hold one list under different revisions.
BOOST_AUTO_TEST_CASE(held_body_under_a_newer_revision_is_not_requested) {
    fake_document_store store;
    seeded_random random(37);
    mono_time now(std::chrono::hours(1));
    core_options options;
    options.instance = "x";
    options.site = "s0";
    core subject(options, store, random, now);
    membership::instance_record peer;
    peer.id = "y";
    subject.on_connection_opened(now, peer, "");
    auto receive_list = [&](std::uint64_t revision, const std::string& body) {
        subject.receive(now, "y",
                        messages::document{.name = "instances",
                                           .revision = revision,
                                           .checksum = checksum64(body),
                                           .body = body});
    };
    std::string list = R"({"instances": []})";
    receive_list(4, list);
    auto held = [&] { return subject.documents().held(list_index).revision; };
    BOOST_TEST(held() == 4U);
    subject.take_actions();
    messages::digest announcement;
    announcement.documents = {{"instances", 9, checksum64(list), 9}};
    subject.receive(now, "y", announcement);
    BOOST_TEST(held() == 9U);
    for (const action& each : subject.take_actions()) {
        const auto* message = std::get_if<send_message>(&each);
        BOOST_TEST((message == nullptr ||
                    !std::holds_alternative<messages::document_request>(message->message)));
    }
}

// Guards against an overlay that is confirmed by a peer of another site, which does not hold it.
BOOST_AUTO_TEST_CASE(sites_hold_and_confirm_their_own_overlay) {
    auto subject = converged_fleet({.count = 40, .domains = 8, .sites = 2, .seed = 23});
    subject->publish("site/s1", 3, "good");
    subject->run(milliseconds(5000));
    for (std::size_t i = 0; i < subject->size(); ++i) {
        std::uint64_t expected = subject->site_of(i) == "s1" ? 3 : 2;
        BOOST_TEST(subject->held_revision(i, "site/" + subject->site_of(i)) == expected);
        BOOST_TEST(subject->confirmed(i));
    }
    confirmation state("x", "s0");
    std::vector<membership::instance_record> records(3);
    records[0].id = "x";
    records[1].id = "y";
    records[2].id = "z";
    records[0].site = records[1].site = "s0";
    records[2].site = "s1";
    state.set_list(std::make_shared<const membership::instance_list>(1, records));
    state.record_nothing_newer("z", false, subject->now(), {0, 0, 0});
    state.apply_majority(subject->now());
    BOOST_TEST((state.document_confirmed_at(base_index) == subject->now()));
    BOOST_TEST((state.document_confirmed_at(overlay_index) == unknown_time));
    state.record_nothing_newer("y", true, subject->now(), {0, 0, 0});
    state.apply_majority(subject->now());
    BOOST_TEST((state.document_confirmed_at(overlay_index) == subject->now()));
}

}  // namespace trefoil::dissemination
