// Tests of the size limits of response_builder.

#define BOOST_TEST_MODULE edge_response_builder
#include "edge/response_builder.h"

#include <boost/test/unit_test.hpp>

namespace trefoil::edge {

namespace {

const std::string status_line = "HTTP/1.1 200 OK\r\n";

bool has_failed(const response_builder& response, response_loss why) {
    return response.loss() == why;
}

// Whether a response that declares this Content-Length is accepted.
bool accepts_length(std::string_view method, const std::string& status, const std::string& length) {
    response_builder response({.body_bytes = 100}, method);
    response.add_line("HTTP/1.1 " + status + "\r\n");
    response.add_line("content-length: " + length + "\r\n");
    bool taken = response.add_line("\r\n");
    BOOST_TEST(taken == !response.loss().has_value());
    return taken;
}

}  // namespace

// Guards against endless heads: interim responses and trailers count towards the limit.
BOOST_AUTO_TEST_CASE(all_lines_of_a_response_share_one_size_limit) {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n";
    const std::size_t fixed = interim.size() + 2 + status_line.size() + 2;
    response_builder response({.head_bytes = fixed + 10}, "GET");
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

// Guards against an endless sequence of short interim responses.
BOOST_AUTO_TEST_CASE(interim_responses_are_counted) {
    response_builder response({.interim_responses = 2}, "GET");
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(response.add_line("HTTP/1.1 100 Continue\r\n"));
        BOOST_TEST(response.add_line("X-Interim: 1\r\n"));
        BOOST_TEST(response.add_line("\r\n"));
    }
    response_builder further = response;
    BOOST_TEST(!further.add_line("HTTP/1.1 100 Continue\r\n"));
    BOOST_TEST(has_failed(further, response_loss::too_many_interim_responses));
    BOOST_TEST(response.add_line(status_line));
    BOOST_TEST(response.add_line("\r\n"));
    BOOST_TEST(response.take(200).headers.empty());
}

// Guards against a body above the limit that is accepted, and one at the limit that is rejected.
BOOST_AUTO_TEST_CASE(body_size_limit_is_inclusive) {
    response_builder response({.body_bytes = 8}, "GET");
    BOOST_TEST(response.add_line(status_line));
    BOOST_TEST(response.add_line("\r\n"));
    BOOST_TEST(response.add_body("1234"));
    BOOST_TEST(response.add_body("5678"));
    BOOST_TEST(!response.add_body("9"));
    BOOST_TEST(has_failed(response, response_loss::body_too_large));
    BOOST_TEST(response.buffered_bytes() == 8U);
}

// Guards against waiting for a body that cannot be delivered, and against rejecting responses that
// declare a length but have no body.
BOOST_AUTO_TEST_CASE(content_length_above_the_limit_fails_the_response) {
    BOOST_TEST(accepts_length("GET", "200 OK", "100"));
    BOOST_TEST(!accepts_length("GET", "200 OK", "101"));
    BOOST_TEST(!accepts_length("GET", "200", "99999999999999999999999999"));
    BOOST_TEST(!accepts_length("POST", "500 Failed", "101"));
    BOOST_TEST(accepts_length("HEAD", "200 OK", "101"));
    BOOST_TEST(accepts_length("GET", "304 Not Modified", "101"));
    BOOST_TEST(accepts_length("GET", "100 Continue", "101"));
}

// Guards against a caller that gets an answer with a status that is none, and against a connection
// on which libcurl mixes requests after a status line of another version.
BOOST_AUTO_TEST_CASE(other_status_lines_break_the_response_off) {
    for (const char* line :
         {"HTTP/1.1 000 X\r\n", "HTTP/1.1 000\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 600 X\r\n",
          "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 OK\r\n", "HTTP/1.1  200 OK\r\n",
          "HTTP/1.1\r\n", "HTTP/1.2 200 OK\r\n", "HTTP/2 200 OK\r\n", "HTTP/2.0 200 OK\r\n",
          "HTTP/3 200\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 101 Switching\r\n",
          "HTTP/1.1 -20 OK\r\n", "HTTP/11 200 OK\r\n"}) {
        response_builder response({}, "GET");
        BOOST_TEST(!response.add_line(line), line);
        BOOST_TEST(has_failed(response, response_loss::bad_status_line), line);
    }
    for (const char* line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 599\r\n",
                             "HTTP/1.1 200 \r\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 404\n"}) {
        response_builder response({}, "GET");
        BOOST_TEST(response.add_line(line), line);
    }
}

}  // namespace trefoil::edge
