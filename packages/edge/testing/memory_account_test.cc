// Tests of the account of the memory that is held for callers.

#define BOOST_TEST_MODULE edge_memory_account
#include "edge/memory_account.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>

namespace trefoil::edge {

namespace {

constexpr memory_account_options options{
    .limit_bytes = 1000, .reserve_bytes = 200, .small_bytes = 100};

}  // namespace

// Guards against an account that is exceeded, or whose reserve large holders use up.
BOOST_AUTO_TEST_CASE(large_reservations_leave_the_reserve_to_small_ones) {
    memory_account account(options);
    memory_reservation large(&account);
    BOOST_TEST(large.resize(800));
    BOOST_TEST(!large.resize(801));
    BOOST_TEST(large.size() == 800U);
    memory_reservation small(&account);
    memory_reservation other(&account);
    BOOST_TEST(small.resize(100));
    BOOST_TEST(!small.resize(101));
    BOOST_TEST(other.resize(100));
    BOOST_TEST(account.usage().held_bytes == 1000U);
    memory_reservation last(&account);
    BOOST_TEST(!last.resize(1));
    BOOST_TEST(large.resize(700));
    BOOST_TEST(last.resize(100));
    BOOST_TEST(!account.exceeded());
}

// Guards against bytes that stay counted after their holder, or that are released while another
// holder uses them.
BOOST_AUTO_TEST_CASE(a_shared_body_is_counted_until_its_last_holder_ends) {
    memory_account account(options);
    auto held = std::make_shared<memory_reservation>(&account);
    held->resize_unchecked(1200);
    BOOST_TEST(account.exceeded());
    shared_body body = make_shared_body("two pumps", std::move(held));
    std::optional<shared_body> copy = body;
    body.reset();
    BOOST_TEST(**copy == "two pumps");
    BOOST_TEST(account.usage().held_bytes == 1200U);
    copy.reset();
    BOOST_TEST(account.usage().held_bytes == 0U);
}

}  // namespace trefoil::edge
