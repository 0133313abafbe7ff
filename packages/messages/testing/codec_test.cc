// Tests of the CBOR codec.

#define BOOST_TEST_MODULE messages_codec
#include "messages/codec.h"

#include <boost/test/unit_test.hpp>

#include "base/random.h"

namespace trefoil::messages {

namespace {

// Returns whether decoding the encoded message yields an equal message.
bool round_trips(const peer_message& message) {
    auto decoded = decode(encode(message));
    auto* value = std::get_if<peer_message>(&decoded);
    return value != nullptr && *value == message;
}

}  // namespace

// Guards against a field that is encoded and decoded in different positions, or left out.
BOOST_AUTO_TEST_CASE(every_message_round_trips) {
    BOOST_TEST(round_trips(hello{"p", "i", 5, "d", "s", "svc", "127.0.0.1:1", "n"}));
    BOOST_TEST(round_trips(proof{"ab"}));
    BOOST_TEST(round_trips(ping{-3, 4, 5, 4000}));
    BOOST_TEST(round_trips(pong{1, 2}));
    BOOST_TEST(round_trips(digest{true, 9, true, {{"base", 3, 4, 2}}, 100, 8, {0, 255}}));
    BOOST_TEST(round_trips(digest{true, 9, true, {{"base", 3, 4, 2}}, 100, 8, {}, {7, 255}}));
    BOOST_TEST(round_trips(digest{true, 9, true, {{"base", 3, 4, 2, 7}, {"b", 3, 4, 2}}, 100, 8}));
    BOOST_TEST(round_trips(document_request{"base", 4}));
    BOOST_TEST(round_trips(document_request{"base", 4, true}));
    BOOST_TEST(round_trips(document_request{"base", 4, false, 100, 200}));
    BOOST_TEST(round_trips(document{"base", 4, 99, "packed", true}));
    BOOST_TEST(round_trips(document{"base", 4, 99, "part", false, 100, 300}));
    BOOST_TEST(round_trips(document{"base", 4, 99, std::string("a\0\xff", 3)}));
    BOOST_TEST(round_trips(call{.sequence = 1,
                                .sent_us = 2,
                                .budget_us = 3,
                                .request_id = "q\xe9",
                                .caller_service = "cs",
                                .service = "s",
                                .route = "r",
                                .workspace = "w",
                                .idempotent = true,
                                .priority = 4,
                                .objective_us = 5,
                                .may_be_late = false,
                                .depth = 2,
                                .base_revision = 7,
                                .method = "GET",
                                .target = "/x",
                                .headers = {{"a", "\xe9"}},
                                .body = "b",
                                .retry_probability = 0.25}));
    BOOST_TEST(round_trips(call_result{1,
                                       call_outcome::not_run,
                                       "overloaded",
                                       false,
                                       40,
                                       50,
                                       503,
                                       {{"a", "b"}},
                                       "x",
                                       {1, 2, 3, 4, 5, 0.5}}));
    BOOST_TEST(round_trips(cancel{4}));
    BOOST_TEST(round_trips(loan_request{3, 8, {"a", "b"}, {{"c", 2, 0.5}}}));
    BOOST_TEST(round_trips(loan_grant{3, 4000, {{"a", 6, 1.5, 0.25}}}));
    BOOST_TEST(round_trips(token_request{3, "a", 1, 2, {{7, 1, 0.5}}}));
    BOOST_TEST(round_trips(token_grant{3, "a", 7, 2, 500, false, true}));
    BOOST_TEST(round_trips(demand_report{5, {{"a", 1.5, 0.5}, {"b", 0.25, 0}}}));
    BOOST_TEST(round_trips(demand_totals{5, 9, 1, {{"a", 1024, 512}}}));
    BOOST_TEST(round_trips(demand_totals{5, 9, 1, {{"a", 1024, 512, 4}, {"b", 1, 1, 0}}}));
    BOOST_TEST(round_trips(domain_demand{"d1", 3, 2, {{"a", 0.5, 0.25}}}));
}

// Guards against daemons of two versions that reject each other's pings during a rolling restart:
// the earlier version sends a ping without an interval.
BOOST_AUTO_TEST_CASE(a_ping_of_an_earlier_version_decodes_without_an_interval) {
    auto decoded = decode("\x82\x02\x83\x01\x02\x03");
    auto* value = std::get_if<peer_message>(&decoded);
    BOOST_REQUIRE(value != nullptr);
    BOOST_TEST((*value == peer_message(ping{.sent_us = 1, .echo_us = 2, .clock_us = 3})));
}

// Guards against a crash on malformed frames, and against accepting input that is not a message.
BOOST_AUTO_TEST_CASE(malformed_frames_are_rejected_or_decoded_without_a_crash) {
    seeded_random random(11);
    std::string frame = encode(digest{true, 9, true, {{"base", 3, 4, 2}}, 100, 8, {0, 255}});
    for (int i = 0; i < 2000; ++i) {
        std::string damaged = frame;
        damaged[random.below(damaged.size())] = static_cast<char>(random.next());
        damaged.resize(random.below(damaged.size() + 1));
        decode(damaged);
    }
    BOOST_TEST(!succeeded(decode("")));
    BOOST_TEST(!succeeded(decode("garbage")));
}

}  // namespace trefoil::messages
