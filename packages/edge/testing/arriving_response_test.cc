// Tests of the bounds of a response.

#define BOOST_TEST_MODULE edge_arriving_response
#include "edge/arriving_response.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::edge {

namespace {

const std::string status_line = "HTTP/1.1 200 OK\r\n";

bool has_failed(const arriving_response& response, response_loss why) {
    return response.loss() == why;
}

// Whether a header that declares `length` is taken.
bool takes_length(std::string_view method, const std::string& status, const std::string& length) {
    arriving_response response({.body_bytes = 100}, method);
    response.add_line("HTTP/1.1 " + status + "\r\n");
    response.add_line("content-length: " + length + "\r\n");
    bool taken = response.add_line("\r\n");
    BOOST_TEST(taken == !response.loss().has_value());
    return taken;
}

}  // namespace

// Guards against heads without end: interim responses and trailers count as well.
BOOST_AUTO_TEST_CASE(all_lines_of_a_response_share_one_bound) {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n";
    const std::size_t fixed = interim.size() + 2 + status_line.size() + 2;
    arriving_response response({.head_bytes = fixed + 10}, "GET");
    BOOST_TEST(response.add_line(interim));
    BOOST_TEST(response.add_line("\r\n"));
    BOOST_TEST(response.add_line(status_line));
    BOOST_TEST(!response.header_complete());
    BOOST_TEST(response.add_line("\r\n"));
    BOOST_TEST(response.header_complete());
    BOOST_TEST(response.add_body("body"));
    BOOST_TEST(response.add_line("A: 45678\r\n"));
    BOOST_TEST(!response.add_line("\r\n"));
    BOOST_TEST(has_failed(response, response_loss::head_too_large));
}

// Guards against short interim responses without end.
BOOST_AUTO_TEST_CASE(interim_responses_are_counted) {
    arriving_response response({.interim_responses = 2}, "GET");
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(response.add_line("HTTP/1.1 100 Continue\r\n"));
        BOOST_TEST(response.add_line("X-Interim: 1\r\n"));
        BOOST_TEST(response.add_line("\r\n"));
    }
    arriving_response further = response;
    BOOST_TEST(!further.add_line("HTTP/1.1 100 Continue\r\n"));
    BOOST_TEST(has_failed(further, response_loss::interim_without_end));
    BOOST_TEST(response.add_line(status_line));
    BOOST_TEST(response.add_line("\r\n"));
    BOOST_TEST(response.take(200).headers.empty());
}

// Guards against a body above the bound that is kept, and one at the bound that is refused.
BOOST_AUTO_TEST_CASE(a_body_may_reach_the_bound) {
    arriving_response response({.body_bytes = 8}, "GET");
    BOOST_TEST(response.add_line(status_line));
    BOOST_TEST(response.add_line("\r\n"));
    BOOST_TEST(response.add_body("1234"));
    BOOST_TEST(response.add_body("5678"));
    BOOST_TEST(!response.add_body("9"));
    BOOST_TEST(has_failed(response, response_loss::body_too_large));
    BOOST_TEST(response.held_bytes() == 8U);
}

// Guards against a wait for a body that cannot be delivered, and against the loss of responses that
// state a length without a body.
BOOST_AUTO_TEST_CASE(a_declared_length_above_the_bound_ends_the_response) {
    BOOST_TEST(takes_length("GET", "200 OK", "100"));
    BOOST_TEST(!takes_length("GET", "200 OK", "101"));
    BOOST_TEST(!takes_length("GET", "200", "99999999999999999999999999"));
    BOOST_TEST(!takes_length("POST", "500 Failed", "101"));
    BOOST_TEST(takes_length("HEAD", "200 OK", "101"));
    BOOST_TEST(takes_length("GET", "304 Not Modified", "101"));
    BOOST_TEST(takes_length("GET", "100 Continue", "101"));
}

}  // namespace trefoil::edge
