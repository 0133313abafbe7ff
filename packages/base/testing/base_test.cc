// Tests of hashes, random numbers, maps, time and stall detection in the base package.

#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "base/published_value.h"
#include "base/random.h"
#include "base/sharded_map.h"
#include "base/stall_detector.h"
#include "base/time.h"

namespace trefoil {

// Guards against a digest that differs from that of other tools, with which every published API key
// would be rejected.
BOOST_AUTO_TEST_CASE(sha256_matches_published_vector) {
    BOOST_TEST(sha256_hex("abc") ==
               "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against keys that change their owner although the owner is still a member.
BOOST_AUTO_TEST_CASE(rendezvous_keeps_owner_when_another_member_leaves) {
    std::vector<std::string> members = {"a", "b", "c", "d"};
    for (int key = 0; key < 100; ++key) {
        std::string name = std::to_string(key);
        std::string owner = rendezvous_highest(name, members).value();
        std::vector<std::string> fewer;
        bool removed = false;
        for (const std::string& member : members) {
            if (member != owner && !removed) {
                removed = true;
                continue;
            }
            fewer.push_back(member);
        }
        BOOST_TEST(rendezvous_highest(name, fewer).value() == owner);
    }
}

// Guards against context handles that are not unique.
BOOST_AUTO_TEST_CASE(secure_random_hex_differs_between_calls) {
    BOOST_TEST(secure_random_hex(16).size() == 32U);
    BOOST_TEST(secure_random_hex(16) != secure_random_hex(16));
}

// Guards against sharded_map using absl::Mutex, whose deadlock detection looks up each acquisition
// in a global graph of locks. With that detection, nesting two locks in both orders would abort.
BOOST_AUTO_TEST_CASE(sharded_map_locks_are_not_subject_to_deadlock_detection) {
    sharded_map<int, int> first;
    sharded_map<int, int> second;
    first.update(1, [&](int& a) { second.update(1, [&](int& b) { a = b + 1; }); });
    second.update(1, [&](int& b) { first.update(1, [&](int& a) { b = a + 1; }); });
    BOOST_TEST(first.find(1).value_or(0) == 1);
    BOOST_TEST(second.find(1).value_or(0) == 2);
}

// Guards against lost updates and against values that stay in the map after take().
BOOST_AUTO_TEST_CASE(sharded_map_updates_and_takes) {
    sharded_map<std::string, int> map;
    map.update("x", [](int& value) { value += 2; });
    BOOST_TEST(map.find("x").value() == 2);
    BOOST_TEST(map.take("x").value() == 2);
    BOOST_TEST(!map.find("x").has_value());
}

// Guards against a clock that stops while the machine is suspended, such as CLOCK_MONOTONIC, which
// is behind CLOCK_BOOTTIME by the total length of all suspensions.
BOOST_AUTO_TEST_CASE(machine_time_source_reads_clock_boottime) {
    timespec before{};
    timespec after{};
    BOOST_REQUIRE(clock_gettime(CLOCK_BOOTTIME, &before) == 0);
    std::int64_t read = to_microseconds(machine_time_source().now());
    BOOST_REQUIRE(clock_gettime(CLOCK_BOOTTIME, &after) == 0);
    auto microseconds = [](const timespec& time) {
        return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1'000;
    };
    BOOST_TEST(read >= microseconds(before));
    BOOST_TEST(read <= microseconds(after));
}

// Guards against peers that count as silent because this process was stalled and did not read.
BOOST_AUTO_TEST_CASE(stall_detector_counts_silence_from_the_end_of_a_stall) {
    using std::chrono::milliseconds;
    stall_detector stalls({.max_tick_gap = milliseconds(400)});
    mono_time start{};
    stalls.tick(start);
    stalls.tick(start + milliseconds(400));
    BOOST_CHECK(stalls.silence(start, start + milliseconds(400)) == milliseconds(400));
    mono_time resumed = start + milliseconds(3400);
    stalls.tick(resumed);
    BOOST_CHECK(stalls.silence(start, resumed) == milliseconds(0));
    BOOST_CHECK(stalls.silence(start, resumed + milliseconds(299)) == milliseconds(299));
    mono_time heard = resumed + milliseconds(100);
    BOOST_CHECK(stalls.silence(heard, resumed + milliseconds(299)) == milliseconds(199));
}

// Guards against readers that see a value before its publication or miss the latest one.
BOOST_AUTO_TEST_CASE(published_value_returns_latest_value) {
    published_value<int> current;
    BOOST_TEST(current.read() == nullptr);
    current.publish(std::make_shared<const int>(3));
    BOOST_TEST(*current.read() == 3);
    BOOST_TEST(current.version() == 1U);
}

// Guards against clock readings that change when they are converted for a peer and back.
BOOST_AUTO_TEST_CASE(microseconds_round_trip) {
    mono_time time = from_microseconds(1234567);
    BOOST_TEST(to_microseconds(time) == 1234567);
}

}  // namespace trefoil
