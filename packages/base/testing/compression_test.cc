// Tests of compression, with damaged and hostile input.

#define BOOST_TEST_MODULE base_compression
#include "base/compression.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "base/random.h"

namespace trefoil {

namespace {

constexpr std::size_t limit = 1U << 20U;

std::string routes_text(std::size_t routes) {
    seeded_random random(3);
    std::string text;
    for (std::size_t i = 0; i < routes; ++i) {
        text += R"({"path_prefix":"/)" + std::to_string(random.below(1'000'000)) +
                R"(/","service":"station","timeout_ms":2000,"latency_objective_ms":300},)";
    }
    return text;
}

}  // namespace

BOOST_AUTO_TEST_CASE(content_returns_unchanged) {
    for (const std::string& content : {std::string(), std::string("a\0b", 3), routes_text(1000)}) {
        BOOST_TEST((decompress(compress(content), limit) == content));
    }
}

BOOST_AUTO_TEST_CASE(text_of_routes_becomes_several_times_smaller) {
    std::string text = routes_text(1000);
    BOOST_TEST(compress(text).size() * 4 < text.size());
}

// Guards against a small message that makes the receiver allocate much memory.
BOOST_AUTO_TEST_CASE(content_above_the_limit_is_refused) {
    std::string packed = compress(std::string(64 * limit, 'x'));
    BOOST_TEST(packed.size() < limit);
    BOOST_TEST(!decompress(packed, limit).has_value());
}

BOOST_AUTO_TEST_CASE(damaged_frames_are_refused) {
    std::string packed = compress(routes_text(100));
    BOOST_TEST(!decompress("", limit).has_value());
    BOOST_TEST(!decompress("not a frame", limit).has_value());
    BOOST_TEST(!decompress(packed + "x", limit).has_value());
    for (std::size_t size = 0; size < packed.size(); size += 7) {
        BOOST_TEST(!decompress(packed.substr(0, size), limit).has_value());
    }
}

}  // namespace trefoil
