// Tests of the log lines about state changes.

#define BOOST_TEST_MODULE daemon_state_change_log
#include "daemon/state_change_log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "membership/instance_list.h"

namespace trefoil::daemon {

namespace {

using membership::instance_state;

struct known_instance {
    std::string id;
    instance_state state = instance_state::live;
};

membership::view view_of(std::uint64_t revision, const std::vector<known_instance>& instances) {
    std::vector<membership::instance_record> records;
    std::vector<membership::member> members;
    for (const known_instance& each : instances) {
        membership::instance_record record{.id = each.id, .service = "station"};
        records.push_back(record);
        members.push_back({.record = std::make_shared<const membership::instance_record>(record),
                           .state = each.state,
                           .listed = true});
    }
    return {std::make_shared<const membership::instance_list>(revision, std::move(records)),
            std::move(members),
            {}};
}

std::vector<std::string> texts(const std::vector<member_change>& changes) {
    std::vector<std::string> all;
    all.reserve(changes.size());
    for (const member_change& each : changes) {
        all.push_back(each.instance + " " + std::string(each.from) + " " + std::string(each.to));
    }
    std::sort(all.begin(), all.end());
    return all;
}

}  // namespace

// Guards against a change of a member that is missing from the log or logged twice.
BOOST_AUTO_TEST_CASE(each_member_change_is_listed_once) {
    auto before = view_of(3, {{"a"}, {"b"}, {"c"}, {"gone"}});
    auto after = view_of(
        4, {{"a"}, {"b", instance_state::suspected}, {"c", instance_state::leaving}, {"new"}});
    std::vector<std::string> expected = {"b live suspected", "c live leaving", "gone live absent",
                                         "new absent live"};
    BOOST_TEST(texts(member_changes(before, after)) == expected, boost::test_tools::per_element());
}

// Guards against lines for unchanged members whenever a new list is adopted.
BOOST_AUTO_TEST_CASE(a_new_list_without_changes_yields_no_member_changes) {
    auto before = view_of(3, {{"a"}, {"b", instance_state::leaving}});
    auto after = view_of(4, {{"b", instance_state::leaving}, {"a"}});
    BOOST_TEST(member_changes(before, after).empty());
}

}  // namespace trefoil::daemon
