// Tests of the order of contents. The explorations visit every state that a few daemons can reach
// while a document is changed and changed back: each order of changes, losses of the platform,
// returns to it, readings and digests, which may be late.

#define BOOST_TEST_MODULE dissemination_document_version
#include "dissemination/document_version.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"

namespace trefoil::dissemination {

namespace {

// The content that the platform has at each of its revisions, from revision 1 on. A content is a
// letter, which serves as its checksum.
using platform_history = std::string;

document_version version(std::uint64_t revision, char content, std::uint64_t read_revision) {
    return {.revision = revision,
            .checksum = static_cast<std::uint64_t>(content),
            .read_revision = read_revision};
}

struct daemon_state {
    // The platform's revision that this daemon has read up to; 0 while it does not read it.
    std::uint64_t mirrored = 0;
    document_version held;
    // The last revision of the platform at which exactly the held content is claimed to have been
    // there.
    std::uint64_t confirmed = 0;

    friend bool operator==(const daemon_state&, const daemon_state&) = default;
};

// A digest: what its sender held and claimed when it was sent.
struct sent_digest {
    bool in_transit = false;
    daemon_state sender;
};

constexpr std::size_t max_daemons = 3;

struct fleet_state {
    std::uint64_t platform = 1;  // The platform's revision.
    std::array<daemon_state, max_daemons> daemons;
    // By sender and receiver.
    std::array<std::array<sent_digest, max_daemons>, max_daemons> digests;
};

// The state in few bits. Contents follow from their revisions.
using state_key = std::array<std::uint64_t, 2>;

state_key key_of(const fleet_state& state) {
    constexpr unsigned bits = 3;  // Revisions are below 8.
    auto pack = [](const daemon_state& each) {
        std::uint64_t packed = each.mirrored;
        for (std::uint64_t field : {each.held.revision, each.held.read_revision, each.confirmed}) {
            packed = (packed << bits) + field;
        }
        return packed;
    };
    constexpr unsigned daemon_bits = 4 * bits;
    state_key key{state.platform, 0};
    for (const daemon_state& each : state.daemons) {
        key[0] = (key[0] << daemon_bits) + pack(each);
    }
    // Late digests are explored with two daemons.
    for (const sent_digest& each : {state.digests[0][1], state.digests[1][0]}) {
        key[1] = (key[1] << (daemon_bits + 1)) + pack(each.sender) * 2 + (each.in_transit ? 1 : 0);
    }
    return key;
}

// How daemons decide.
struct decision_rule {
    std::function<applied_reading(const document_version&, const platform_reading&)> read;
    std::function<version_relation(const document_version&, const document_version&)> relation;
    std::function<document_version(const document_version&, const document_version&)> merge;
    bool states_read_revision = true;  // In digests.
};

const decision_rule by_content{.read = apply_reading, .relation = relation_to, .merge = merge_peer};

// The rule before: the higher revision is the newer content, and a reading confirms each content
// whose revision lies between that of its own content and that of the platform.
const decision_rule by_revision{
    .read =
        [](const document_version& held, const platform_reading& reading) {
            const document_version& read = reading.version;
            if (read.revision > held.revision) {
                return applied_reading{reading_outcome::newer, read};
            }
            bool covered = held.revision <= read.read_revision;
            return applied_reading{covered ? reading_outcome::confirmed : reading_outcome::outdated,
                                   held};
        },
    .relation =
        [](const document_version& held, const document_version& other) {
            if (held.revision == other.revision) {
                return held.checksum == other.checksum ? version_relation::same
                                                       : version_relation::conflicting;
            }
            return other.revision > held.revision ? version_relation::newer
                                                  : version_relation::older;
        },
    .merge = [](const document_version& held, const document_version&) { return held; }};

// Each way in which a state can be left, and the claims that it breaks.
class exploration {
public:
    exploration(platform_history contents, decision_rule decisions, std::size_t daemon_count,
                bool late_digests)
        : history(std::move(contents)),
          rule(std::move(decisions)),
          count(daemon_count),
          late(late_digests) {
        this->add(fleet_state());
        while (!this->pending.empty()) {
            fleet_state next = this->pending.front();
            this->pending.pop_front();
            this->leave(next);
            this->check_agreement(next);
        }
    }

    std::size_t states() const { return this->visited.size(); }
    // How often a daemon claimed a content that the platform did not have.
    std::size_t wrong_claims = 0;
    // How often a peer counted as having nothing newer although it did.
    std::size_t wrong_peers = 0;
    // How often a daemon replaced its content by one that was read before it.
    std::size_t returns_to_older = 0;
    std::size_t conflicts = 0;
    // How often the daemons held different contents, or an old one, although one had read the
    // platform and all had exchanged digests.
    std::size_t disagreements = 0;

private:
    char content_at(std::uint64_t revision) const { return this->history.at(revision - 1); }

    void add(const fleet_state& next) {
        if (this->visited.insert(key_of(next)).second) {
            this->pending.push_back(next);
        }
    }

    void leave(const fleet_state& from) {
        if (from.platform < this->history.size()) {
            fleet_state changed = from;
            ++changed.platform;
            this->add(changed);
        }
        for (std::size_t i = 0; i < this->count; ++i) {
            this->leave_by_platform(from, i);
            for (std::size_t j = 0; j < this->count; ++j) {
                if (i != j) {
                    this->leave_by_digest(from, i, j);
                }
            }
        }
    }

    // Daemon `i` loses the platform, returns to it or is told of its changes, or reads.
    void leave_by_platform(const fleet_state& from, std::size_t i) {
        for (std::uint64_t mirrored : {std::uint64_t{0}, from.platform}) {
            fleet_state next = from;
            next.daemons[i].mirrored = mirrored;
            this->add(next);
        }
        if (from.daemons[i].mirrored == 0) {
            return;
        }
        for (const platform_reading& each : this->readings(from.daemons[i].mirrored)) {
            fleet_state next = from;
            this->read(next.daemons[i], each);
            this->add(next);
        }
    }

    // What a daemon that has read the platform up to a revision can return: the revision of a
    // content is any at which the platform had it.
    std::vector<platform_reading> readings(std::uint64_t mirrored) const {
        std::vector<platform_reading> list;
        char content = this->content_at(mirrored);
        for (std::uint64_t revision = 1; revision <= mirrored; ++revision) {
            if (this->content_at(revision) == content) {
                list.push_back({.version = version(revision, content, mirrored)});
            }
        }
        return list;
    }

    void read(daemon_state& reader, const platform_reading& reading) {
        applied_reading applied = this->rule.read(reader.held, reading);
        this->conflicts += applied.outcome == reading_outcome::conflicting ? 1 : 0;
        bool shown = applied.outcome == reading_outcome::newer ||
                     applied.outcome == reading_outcome::confirmed;
        if (shown) {
            this->hold(reader, applied.held);
            this->confirm(reader, reading.version.read_revision);
        }
    }

    void hold(daemon_state& holder, const document_version& next) {
        if (next.checksum != holder.held.checksum) {
            bool older = next.read_revision < holder.held.read_revision;
            this->returns_to_older += older ? 1 : 0;
            holder.confirmed = 0;
        }
        holder.held = next;
    }

    // The platform had exactly the held content at this revision.
    void confirm(daemon_state& holder, std::uint64_t at) {
        holder.confirmed = std::max(holder.confirmed, at);
        bool had_it = static_cast<char>(holder.held.checksum) == this->content_at(at);
        this->wrong_claims += had_it ? 0 : 1;
        // A content that was read before must not count as the newest of this revision.
        this->wrong_claims += holder.held.read_revision < at ? 1 : 0;
    }

    void leave_by_digest(const fleet_state& from, std::size_t sender, std::size_t receiver) {
        fleet_state next = from;
        if (!this->late) {
            this->receive(next.daemons[receiver], from.daemons[sender]);
            this->add(next);
            return;
        }
        sent_digest& digest = next.digests[sender][receiver];
        if (digest.in_transit) {
            this->receive(next.daemons[receiver], digest.sender);
            digest = {};
        } else {
            digest = {.in_transit = true, .sender = from.daemons[sender]};
        }
        this->add(next);
    }

    // The receiver gets a digest, and the document that it names when it is newer.
    void receive(daemon_state& receiver, const daemon_state& sender) {
        document_version named = sender.held;
        if (!this->rule.states_read_revision) {
            named.read_revision = named.revision;
        }
        if (named.revision == 0) {
            return;
        }
        receiver.held = this->rule.merge(receiver.held, named);
        version_relation relation = this->rule.relation(receiver.held, named);
        this->conflicts += relation == version_relation::conflicting ? 1 : 0;
        if (relation == version_relation::newer) {
            if (named.revision > receiver.held.revision) {
                this->hold(receiver, named);
            }
            return;
        }
        this->wrong_peers += sender.held.read_revision > receiver.held.read_revision ? 1 : 0;
        bool equal = relation == version_relation::same && named.revision == receiver.held.revision;
        if (equal && sender.confirmed > 0) {
            this->confirm(receiver, sender.confirmed);
        }
    }

    // One daemon reads the platform, and all exchange digests until nothing changes.
    void check_agreement(const fleet_state& from) {
        char newest = this->content_at(from.platform);
        for (std::size_t reader = 0; reader < this->count; ++reader) {
            for (const platform_reading& each : this->readings(from.platform)) {
                auto daemons = from.daemons;
                this->read(daemons[reader], each);
                bool settled = this->exchange_all(daemons);
                for (std::size_t i = 0; i < this->count; ++i) {
                    settled = settled && static_cast<char>(daemons[i].held.checksum) == newest;
                }
                this->disagreements += settled ? 0 : 1;
            }
        }
    }

    // Returns whether the daemons no longer change anything.
    bool exchange_all(std::array<daemon_state, max_daemons>& daemons) {
        constexpr int max_rounds = 10;
        for (int round = 0; round < max_rounds; ++round) {
            auto before = daemons;
            for (std::size_t i = 0; i < this->count; ++i) {
                for (std::size_t j = 0; j < this->count; ++j) {
                    if (i != j) {
                        this->receive(daemons[j], daemons[i]);
                    }
                }
            }
            if (daemons == before) {
                return true;
            }
        }
        return false;
    }

    const platform_history history;
    const decision_rule rule;
    const std::size_t count;
    const bool late;
    absl::flat_hash_set<state_key> visited;
    std::deque<fleet_state> pending;
};

void check_claims(const exploration& explored, const platform_history& history) {
    BOOST_TEST_MESSAGE(history << ": " << explored.states() << " states");
    BOOST_TEST(explored.states() > 100U);
    BOOST_TEST(explored.wrong_claims == 0U);
    BOOST_TEST(explored.wrong_peers == 0U);
    BOOST_TEST(explored.returns_to_older == 0U);
    BOOST_TEST(explored.conflicts == 0U);
    BOOST_TEST(explored.disagreements == 0U);
}

}  // namespace

// Guards against a daemon that takes a content for confirmed that its readings do not show, and
// against daemons that keep different contents, after a change and its reversal.
BOOST_AUTO_TEST_CASE(three_daemons_agree_after_a_change_and_its_reversal) {
    for (const char* history : {"aba", "abab", "abca"}) {
        check_claims(exploration(history, by_content, 3, false), history);
    }
}

// The same with digests that arrive after their sender has read again, and with other series of
// changes.
BOOST_AUTO_TEST_CASE(two_daemons_agree_whatever_is_late) {
    for (const char* history : {"aba", "abab", "abca", "abac", "abba"}) {
        check_claims(exploration(history, by_content, 2, true), history);
    }
}

// Shows that the explorations find the fault of review/11.
BOOST_AUTO_TEST_CASE(an_order_by_revisions_alone_breaks_the_claims) {
    exploration explored("aba", by_revision, 2, false);
    BOOST_TEST(explored.wrong_claims > 0U);
    BOOST_TEST(explored.disagreements > 0U);
}

// Shows that digests must state at which revision of the platform a content was read: otherwise
// daemons count as having nothing newer although they have.
BOOST_AUTO_TEST_CASE(digests_without_the_read_revision_break_the_claims) {
    decision_rule rule = by_content;
    rule.states_read_revision = false;
    exploration explored("aba", rule, 2, false);
    BOOST_TEST(explored.wrong_peers > 0U);
}

// Guards against a reading that replaces what other daemons have seen, although it lacks items that
// the platform has lost for a while.
BOOST_AUTO_TEST_CASE(a_partial_reading_does_not_show_that_a_content_is_outdated) {
    document_version held = version(5, 'a', 7);
    platform_reading reading{.version = version(4, 'b', 9), .partial = true};
    BOOST_TEST((apply_reading(held, reading).outcome == reading_outcome::conflicting));
    BOOST_TEST((apply_reading(held, reading).held == held));
    reading.partial = false;
    BOOST_TEST((apply_reading(held, reading).held == version(9, 'b', 9)));
    // A change that was read is newer in any case.
    reading = {.version = version(8, 'b', 9), .partial = true};
    BOOST_TEST((apply_reading(held, reading).held == version(8, 'b', 9)));
    // The reading does not show that the held content is current at the platform's revision.
    reading = {.version = version(4, 'a', 9), .partial = true};
    BOOST_TEST((apply_reading(held, reading) ==
                applied_reading{.outcome = reading_outcome::confirmed, .held = held}));
}

// Guards against a copy of the platform that confirms nothing while changes of other documents
// arrive at other daemons first, and against a stale platform that confirms a later version.
BOOST_AUTO_TEST_CASE(a_reading_confirms_what_others_have_read_later) {
    document_version held = version(5, 'a', 9);
    platform_reading reading{.version = version(3, 'a', 7)};
    BOOST_TEST((apply_reading(held, reading) ==
                applied_reading{.outcome = reading_outcome::confirmed, .held = held}));
    reading = {.version = version(3, 'a', 4)};
    BOOST_TEST((apply_reading(held, reading).outcome == reading_outcome::outdated));
}

// Guards against two contents that replace each other forever because each daemon prefers its own.
BOOST_AUTO_TEST_CASE(contents_at_one_revision_of_the_platform_replace_none) {
    document_version one = version(3, 'a', 8);
    document_version other = version(5, 'b', 8);
    BOOST_TEST((relation_to(one, other) == version_relation::conflicting));
    BOOST_TEST((relation_to(other, one) == version_relation::conflicting));
    BOOST_TEST((merge_peer(one, other) == one));
    BOOST_TEST((apply_reading(one, {.version = other}).outcome == reading_outcome::newer) == false);
}

// Guards against a missing document that replaces a held one.
BOOST_AUTO_TEST_CASE(a_missing_document_is_confirmed_only_by_its_absence) {
    const document_version none;
    document_version held = version(3, 'a', 3);
    BOOST_TEST((apply_reading(none, {.version = none}).outcome == reading_outcome::confirmed));
    BOOST_TEST((apply_reading(held, {.version = none}).outcome == reading_outcome::outdated));
    BOOST_TEST((apply_reading(none, {.version = held}).outcome == reading_outcome::newer));
    BOOST_TEST((relation_to(held, none) == version_relation::older));
    BOOST_TEST((relation_to(none, held) == version_relation::newer));
}

}  // namespace trefoil::dissemination
