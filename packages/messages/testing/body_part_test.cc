// Tests of the frames that carry large bodies.

#define BOOST_TEST_MODULE messages_body_part
#include "messages/body_part.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace trefoil::messages {

// Guards against fields that change on the way, and against frames of one codec that the other one
// accepts.
BOOST_AUTO_TEST_CASE(messages_survive_their_frames) {
    const std::vector<body_message> all = {
        body_part{.sequence = 1ULL << 60U, .offset = 3, .total = 70'000, .bytes = {"\0\x82z", 3}},
        body_progress{.sequence = 7, .received = 65'536}, body_refusal{.sequence = 8},
        body_discard{.sequence = 9},
        call_with_body{.total = 70'000, .call = {.sequence = 7, .method = "POST"}}};
    for (const body_message& each : all) {
        std::string frame = encode_body_frame(each);
        BOOST_TEST(is_body_frame(frame));
        BOOST_TEST(!succeeded(decode(frame)));
        auto decoded = decode_body_frame(frame);
        BOOST_TEST_REQUIRE(succeeded(decoded));
        BOOST_TEST((std::get<body_message>(decoded) == each));
        // A part may end anywhere behind its numbers.
        for (std::size_t size = 0; size < (each.index() == 0 ? 26U : frame.size()); ++size) {
            BOOST_TEST(!succeeded(decode_body_frame(frame.substr(0, size))));
        }
    }
    BOOST_TEST(!is_body_frame(encode(ping{})));
    BOOST_TEST(!succeeded(decode_body_frame("\x0b\x09zzzzzzzzzzzzzzzz")));
}

// Guards against a hello that earlier versions do not read, and against a wrong announcement.
BOOST_AUTO_TEST_CASE(a_hello_announces_the_messages) {
    hello sent{.fleet_protocol = "trefoil/1", .instance = "station-1", .nonce = "n"};
    std::string frame = encode(sent);
    BOOST_TEST(!announces_bodies(frame));
    std::string announced = announce_bodies(frame);
    BOOST_TEST(announces_bodies(announced));
    auto decoded = decode(announced);
    BOOST_TEST_REQUIRE(succeeded(decoded));
    BOOST_TEST((std::get<hello>(std::get<peer_message>(decoded)) == sent));
    BOOST_TEST(!announces_bodies("not CBOR"));
}

}  // namespace trefoil::messages
