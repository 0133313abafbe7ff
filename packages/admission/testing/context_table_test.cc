// Tests of context handles and of the digest of workspace keys.

#define BOOST_TEST_MODULE context_table
#include "admission/context_table.h"

#include <boost/test/unit_test.hpp>

#include "admission/key_digest.h"
#include "base/hash.h"

namespace trefoil::admission {

namespace {

using std::chrono::seconds;

constexpr mono_time now = mono_time(seconds(100));

}  // namespace

// Guards against a nested call that runs for another workspace, with a later deadline or with a
// wrong depth.
BOOST_AUTO_TEST_CASE(nested_call_inherits_its_context) {
    context_table table;
    std::string first = table.add({.workspace = "north", .deadline = now + seconds(2), .depth = 1});
    std::string second = table.add({.workspace = "south", .deadline = now + seconds(3)});
    call_context expected = {.workspace = "north", .deadline = now + seconds(2), .depth = 2};
    BOOST_TEST((std::get<call_context>(table.nested_context(first, now)) == expected));
    BOOST_TEST((std::get<call_context>(table.nested_context(second, now)).workspace == "south"));
}

// Guards against a handle that is valid after its request, and against other text that is accepted
// as a handle.
BOOST_AUTO_TEST_CASE(handles_are_invalid_after_their_request) {
    context_table table;
    std::string handle = table.add({.workspace = "north", .deadline = now + seconds(2)});
    table.remove(handle);
    table.remove("never given out");
    for (const std::string& text : {handle, std::string(), std::string(32, 'a'), handle + "0"}) {
        BOOST_TEST(std::holds_alternative<unknown_handle>(table.nested_context(text, now)));
    }
    BOOST_TEST(table.size() == 0U);
}

// Guards against unlimited nesting and against nested calls after the deadline.
BOOST_AUTO_TEST_CASE(nested_depth_and_deadline_are_enforced) {
    context_table table;
    std::string last = table.add({.workspace = "n", .deadline = now + seconds(2), .depth = 5});
    BOOST_TEST(std::get<call_context>(table.nested_context(last, now)).depth == 6U);
    std::string deep = table.add({.workspace = "n", .deadline = now + seconds(2), .depth = 6});
    BOOST_TEST(std::holds_alternative<depth_exceeded>(table.nested_context(deep, now)));
    std::string late = table.add({.workspace = "n", .deadline = now});
    BOOST_TEST(std::holds_alternative<deadline_passed>(table.nested_context(late, now)));
}

// Guards against a digest of the whole header instead of the key, and against keys of other
// schemes.
BOOST_AUTO_TEST_CASE(key_is_read_from_a_bearer_header) {
    BOOST_TEST(bearer_key_digest("Bearer secret").value() == sha256_hex("secret"));
    BOOST_TEST(bearer_key_digest(" bearer  secret ").value() == sha256_hex("secret"));
    for (std::string_view value : {"", "Bearer", "Bearer ", "Basic secret", "secret"}) {
        BOOST_TEST(!bearer_key_digest(value).has_value());
    }
}

}  // namespace trefoil::admission
