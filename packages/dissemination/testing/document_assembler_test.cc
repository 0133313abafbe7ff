// Tests of the assembling of documents that arrive in parts.

#define BOOST_TEST_MODULE dissemination_document_assembler
#include "dissemination/document_assembler.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoil::dissemination {

namespace {

constexpr std::size_t max_bytes = 100;
constexpr std::size_t base = 0;

messages::document part(std::uint64_t offset, const std::string& body, std::uint64_t total_bytes,
                        std::uint64_t revision = 7) {
    return {.name = "base",
            .revision = revision,
            .checksum = 9,
            .body = body,
            .compressed = true,
            .offset = offset,
            .total_bytes = total_bytes};
}

}  // namespace

BOOST_AUTO_TEST_CASE(parts_in_order_become_the_document) {
    document_assembler assembler(max_bytes);
    BOOST_TEST(!assembler.add(base, part(0, "one", 9)).has_value());
    BOOST_TEST(assembler.received_bytes(base, 7) == 3U);
    BOOST_TEST(!assembler.add(base, part(3, "two", 9)).has_value());
    auto whole = assembler.add(base, part(6, "six", 9));
    BOOST_REQUIRE(whole.has_value());
    BOOST_TEST((*whole == part(0, "onetwosix", 0)));
    BOOST_TEST(assembler.received_bytes(base, 7) == 0U);
    BOOST_TEST((assembler.add(base, part(0, "whole", 0)) == part(0, "whole", 0)));
}

// Guards against a document that is composed of the parts of different bodies.
BOOST_AUTO_TEST_CASE(parts_that_do_not_fit_are_dropped) {
    document_assembler assembler(max_bytes);
    BOOST_TEST(!assembler.add(base, part(3, "two", 6)).has_value());
    BOOST_TEST(!assembler.add(base, part(0, "one", 6)).has_value());
    BOOST_TEST(!assembler.add(base, part(3, "two", 6, 8)).has_value());
    BOOST_TEST(!assembler.add(base, part(2, "etwo", 6)).has_value());
    BOOST_TEST(assembler.add(base, part(3, "two", 6))->body == "onetwo");
}

// Guards against a transfer that never ends because the peers hold different bodies.
BOOST_AUTO_TEST_CASE(a_part_of_another_body_restarts_the_transfer) {
    messages::document other_checksum = part(3, "two", 6);
    other_checksum.checksum = 10;
    messages::document uncompressed = part(3, "two", 6);
    uncompressed.compressed = false;
    for (const messages::document& other : {other_checksum, uncompressed, part(3, "two", 7)}) {
        document_assembler assembler(max_bytes);
        assembler.add(base, part(0, "one", 6));
        BOOST_TEST(!assembler.add(base, other).has_value());
        BOOST_TEST(assembler.received_bytes(base, 7) == 0U);
    }
}

// Guards against a peer whose parts take any amount of memory.
BOOST_AUTO_TEST_CASE(kept_parts_are_bounded) {
    document_assembler assembler(max_bytes);
    BOOST_TEST(!assembler.add(base, part(0, "one", max_bytes + 1)).has_value());
    BOOST_TEST(assembler.received_bytes(base, 7) == 0U);
    for (std::uint64_t revision = 1; revision <= 4; ++revision) {
        assembler.add(base, part(0, "one", 6, revision));
    }
    BOOST_TEST(assembler.received_bytes(base, 1) == 0U);
    BOOST_TEST(assembler.received_bytes(base, 4) == 3U);
}

// Guards against parts that are kept although the document is held.
BOOST_AUTO_TEST_CASE(obsolete_parts_are_dropped) {
    document_assembler assembler(max_bytes);
    assembler.add(base, part(0, "one", 6, 7));
    assembler.add(base, part(0, "one", 6, 8));
    assembler.drop_until(base, 7);
    BOOST_TEST(assembler.received_bytes(base, 7) == 0U);
    BOOST_TEST(assembler.received_bytes(base, 8) == 3U);
}

}  // namespace trefoil::dissemination
