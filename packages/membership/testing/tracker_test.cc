// Tests of the instance list's parser and of the derived instance states.

#define BOOST_TEST_MODULE membership_tracker
#include "membership/tracker.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::membership {

namespace {

using std::chrono::milliseconds;

mono_time at(int ms) {
    return mono_time(milliseconds(100000 + ms));
}

instance_record record(const std::string& id, listed_state state = listed_state::live) {
    return {.id = id,
            .address = "127.0.0.1:1",
            .failure_domain = "d1",
            .site = "north",
            .service = "station",
            .state = state};
}

std::shared_ptr<const instance_list> list_of(std::uint64_t revision,
                                             std::vector<instance_record> records) {
    return std::make_shared<const instance_list>(revision, std::move(records));
}

instance_state state_of(tracker& subject, int ms, const char* id) {
    return subject.refresh(at(ms))->find(id)->state;
}

}  // namespace

// Guards against an invalid list that is adopted in part, and against failures that name the wrong
// field.
BOOST_AUTO_TEST_CASE(parser_refuses_bad_lists_with_typed_failures) {
    std::string good = R"({"instances": [{"id": "a", "address": "127.0.0.1:1",
        "failure_domain": "d", "site": "s", "service": "v", "state": "leaving"}]})";
    auto parsed = parse_instance_list(3, good);
    auto list = std::get<std::shared_ptr<const instance_list>>(parsed);
    BOOST_TEST(list->revision() == 3U);
    BOOST_TEST((list->records().at(0).state == listed_state::leaving));
    BOOST_TEST(list->index_of("a").value() == 0U);

    BOOST_TEST(std::holds_alternative<list_syntax_failure>(parse_instance_list(1, "{")));
    BOOST_TEST(std::holds_alternative<list_field_failure>(parse_instance_list(1, "[]")));
    std::string state = good;
    state.replace(state.find("leaving"), 7, "unknown");
    BOOST_TEST(describe(parse_instance_list(1, state)) ==
               "instances[0].state is not live or leaving");
    std::string entry = good.substr(good.find('[') + 1);
    entry.resize(entry.find(']'));
    std::string twice = R"({"instances": [)" + entry + "," + entry + "]}";
    BOOST_TEST(describe(parse_instance_list(1, twice)) == "the id a occurs twice");
}

// Guards against a silent instance that remains a candidate for calls, and against suspicion of a
// newly listed one.
BOOST_AUTO_TEST_CASE(silence_leads_to_suspected_and_gone) {
    tracker subject;
    subject.adopt(at(0), list_of(1, {record("a")}));
    BOOST_TEST((state_of(subject, 9900, "a") == instance_state::live));
    BOOST_TEST((state_of(subject, 10100, "a") == instance_state::suspected));
    subject.record_contact(at(10200), record("a"), 7);
    BOOST_TEST((state_of(subject, 13100, "a") == instance_state::live));
    BOOST_TEST((state_of(subject, 13300, "a") == instance_state::suspected));
    BOOST_TEST((state_of(subject, 40300, "a") == instance_state::gone));
}

// Guards against an instance that is dropped while it is in contact, because the list lags behind.
BOOST_AUTO_TEST_CASE(unlisted_instance_in_contact_stays_known) {
    tracker subject;
    subject.adopt(at(0), list_of(1, {record("a"), record("b")}));
    subject.record_contact(at(0), record("a"), 7);
    subject.adopt(at(10), list_of(2, {record("b")}));
    BOOST_TEST((state_of(subject, 2900, "a") == instance_state::live));
    BOOST_TEST(!subject.refresh(at(2900))->find("a")->listed);
    BOOST_TEST((state_of(subject, 3100, "a") == instance_state::gone));
    subject.adopt(at(3200), list_of(1, {record("a")}));
    BOOST_TEST(subject.refresh(at(3200))->list_revision() == 2U);
}

// Guards against a delayed message of an ended process that hides the newer incarnation.
BOOST_AUTO_TEST_CASE(older_incarnation_never_replaces_a_newer_contact) {
    tracker subject;
    subject.adopt(at(-20000), list_of(1, {record("a")}));
    BOOST_TEST(subject.record_contact(at(0), record("a"), 7));
    subject.record_leaving("a", 7, true);
    BOOST_TEST((state_of(subject, 10, "a") == instance_state::leaving));
    BOOST_TEST(subject.record_contact(at(20), record("a"), 8));
    BOOST_TEST((state_of(subject, 30, "a") == instance_state::live));
    BOOST_TEST(!subject.record_contact(at(2000), record("a"), 7));
    subject.record_leaving("a", 7, true);
    BOOST_TEST((state_of(subject, 2100, "a") == instance_state::live));
    BOOST_TEST(subject.refresh(at(2100))->find("a")->incarnation == 8U);
    BOOST_TEST((state_of(subject, 3100, "a") == instance_state::suspected));
}

// Guards against suspicion of instances that are known through peers only.
BOOST_AUTO_TEST_CASE(reported_contacts_count_for_the_same_list_only) {
    tracker subject;
    subject.adopt(at(-8000), list_of(4, {record("a"), record("b")}));
    subject.record_reported_contacts(4, {at(3000), mono_time::min()});
    subject.record_reported_contacts(5, {at(3000), at(3000)});
    BOOST_TEST((state_of(subject, 3500, "a") == instance_state::live));
    BOOST_TEST((state_of(subject, 3500, "b") == instance_state::suspected));
}

}  // namespace trefoil::membership
