// Tests of the decision between the items in force and those of a restored store.

#define BOOST_TEST_MODULE source_restore_guard
#include "source/restore_guard.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::source {

namespace {

using std::chrono::seconds;

// Values that start with "v" are ordered; the item "version" is never rewritten.
class test_rules final : public item_rules {
public:
    bool is_earlier(std::string_view, std::string_view value,
                    std::string_view other) const override {
        return value.starts_with('v') && other.starts_with('v') && value < other;
    }
    std::optional<std::chrono::milliseconds> rewrite_time(std::string_view key) const override {
        return key == "version" ? std::nullopt : std::optional<std::chrono::milliseconds>(3'000);
    }
};

struct fixture {
    static stored_item item(const std::string& value, std::uint64_t revision = 1) {
        return {.value = value, .revision = revision};
    }

    const mono_time start = mono_time() + std::chrono::hours(1);
    test_rules rules;
    restore_guard guard{rules};
};

}  // namespace

// Guards against work that is given to what operators took out of service, because the store has
// lost the item that says so.
BOOST_FIXTURE_TEST_CASE(a_lost_item_is_held_until_it_is_released, fixture) {
    stored_items earlier{{"out/d1", item("")}};
    stored_items loaded;
    this->guard.restore(earlier, loaded, this->start);
    BOOST_TEST(loaded.contains("out/d1"));
    BOOST_TEST(this->guard.release(this->start + seconds(2)).empty());
    BOOST_TEST((this->guard.next_release() == this->start + seconds(3)));
    auto released = this->guard.release(this->start + seconds(3));
    BOOST_TEST_REQUIRE(released.size() == 1U);
    BOOST_TEST((released[0] == released_item{.key = "out/d1", .item = std::nullopt}));
    BOOST_TEST(this->guard.held() == 0U);
}

// Guards against an instance that has left and returns with the older copy.
BOOST_FIXTURE_TEST_CASE(a_removed_item_that_returns_is_held_back, fixture) {
    this->guard.record_removal("i-1", this->start);
    stored_items loaded{{"i-1", item("x")}, {"i-2", item("y")}};
    this->guard.restore({}, loaded, this->start + seconds(5));
    BOOST_TEST(!loaded.contains("i-1"));
    BOOST_TEST(loaded.contains("i-2"));
    // The store removes the entry of a writer that is gone later than a writer would write again.
    BOOST_TEST(this->guard.release(this->start + seconds(15)).empty());
    BOOST_TEST(this->guard.accepts(loaded, "i-1", item("z")));
    BOOST_TEST(this->guard.held() == 0U);
}

// Guards against a configuration that returns to an earlier version, at once, after any time, or by
// a write that was already on its way.
BOOST_FIXTURE_TEST_CASE(an_earlier_version_never_replaces_a_later_one, fixture) {
    stored_items earlier{{"version", item("v5", 90)}};
    stored_items loaded{{"version", item("v3", 40)}};
    this->guard.restore(earlier, loaded, this->start);
    BOOST_TEST(loaded.at("version").value == "v5");
    BOOST_TEST(this->guard.release(this->start + std::chrono::hours(9)).empty());
    BOOST_TEST(!this->guard.accepts(loaded, "version", item("v4", 41)));
    BOOST_TEST(this->guard.accepts(loaded, "version", item("v5", 42)));
    BOOST_TEST(this->guard.accepts(loaded, "version", item("v6", 43)));
}

// Guards against a later value that was written again before the load and is taken for a lost one.
BOOST_FIXTURE_TEST_CASE(a_later_value_of_the_restored_store_counts, fixture) {
    stored_items earlier{{"a", item("v1")}, {"b", item("same")}};
    stored_items loaded{{"a", item("v2", 7)}, {"b", item("same", 3)}};
    this->guard.restore(earlier, loaded, this->start);
    BOOST_TEST(loaded.at("a").value == "v2");
    BOOST_TEST(this->guard.held() == 0U);
}

// Guards against a hold that is lost, or that lasts longer, when all items are loaded again.
BOOST_FIXTURE_TEST_CASE(a_later_load_keeps_what_is_held, fixture) {
    stored_items earlier{{"a", item("v2")}, {"out/d1", item("")}, {"b", item("v2")}};
    stored_items loaded{{"a", item("v1", 3)}, {"b", item("v1", 4)}};
    this->guard.restore(earlier, loaded, this->start);
    stored_items again{{"a", item("v1", 3)}, {"b", item("v3", 9)}};
    this->guard.keep_held(loaded, again);
    BOOST_TEST(again.at("a").value == "v2");
    BOOST_TEST(again.at("b").value == "v3");
    BOOST_TEST(again.contains("out/d1"));
    BOOST_TEST(this->guard.held() == 2U);
    BOOST_TEST(this->guard.release(this->start + seconds(3)).size() == 1U);
    BOOST_TEST(this->guard.release(this->start + seconds(60)).size() == 1U);
}

}  // namespace trefoil::source
