// Tests of route look-up.

#define BOOST_TEST_MODULE config_route_table
#include "config/route_table.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::config {

namespace {

route make_route(std::string name, std::string prefix, std::vector<std::string> methods = {}) {
    return route{
        .name = std::move(name), .path_prefix = std::move(prefix), .methods = std::move(methods)};
}

std::string found(const route_table& table, std::string_view method, std::string_view target) {
    return std::visit(overloaded{
                          [](const route* each) { return each->name; },
                          [](const no_route&) -> std::string { return "no_route"; },
                          [](const method_not_allowed& refusal) {
                              std::string text = "only";
                              for (const std::string& each : refusal.allowed) {
                                  text += " " + each;
                              }
                              return text;
                          },
                      },
                      table.find(method, target));
}

}  // namespace

// Guards against a request that is matched by a shorter prefix or by a route for another method.
BOOST_AUTO_TEST_CASE(longest_prefix_that_accepts_the_method_wins) {
    route_table table({make_route("short", "/a/", {"GET"}), make_route("long", "/a/b/", {"POST"}),
                       make_route("same", "/a/b/", {"PUT"})});
    BOOST_TEST(found(table, "POST", "/a/b/1") == "long");
    BOOST_TEST(found(table, "PUT", "/a/b/1") == "same");
    BOOST_TEST(found(table, "GET", "/a/b/1") == "short");
    BOOST_TEST(found(table, "DELETE", "/a/b/1") == "only GET POST PUT");
    BOOST_TEST(found(table, "POST", "/a/c") == "only GET");
    BOOST_TEST(found(table, "GET", "/b") == "no_route");
    BOOST_TEST(found(table, "GET", "") == "no_route");
    BOOST_TEST(found(route_table{}, "GET", "/") == "no_route");
}

// Guards against a query that affects the choice of the route.
BOOST_AUTO_TEST_CASE(query_is_not_part_of_the_path) {
    route_table table({make_route("root", "/"), make_route("item", "/a/b")});
    BOOST_TEST(found(table, "GET", "/a?/../b") == "root");
    BOOST_TEST(found(table, "GET", "/a/b?x=../") == "item");
}

// Guards against dot segments that reach a protected path through the prefix of an open route.
BOOST_AUTO_TEST_CASE(dot_segments_have_no_route) {
    route_table table({make_route("open", "/public/")});
    for (const char* path : {"/public/../x", "/public/..", "/public/.", "/public/%2e%2E/x",
                             "/public/.%2e%2fx", "/public/..\\x", "/public/%5c..%5cx"}) {
        BOOST_TEST(found(table, "GET", path) == "no_route");
    }
    BOOST_TEST(found(table, "GET", "/public/..x/.y/%2") == "open");
}

}  // namespace trefoil::config
