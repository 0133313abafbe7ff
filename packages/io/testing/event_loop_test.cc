// Tests of the event loop and its timers.

#define BOOST_TEST_MODULE io_event_loop
#include "io/event_loop.h"

#include <boost/test/unit_test.hpp>
#include <future>

namespace trefoil::io {

namespace {

using std::chrono::milliseconds;

// Runs an action on the loop and waits until it has completed.
void run(event_loop& loop, const std::function<void()>& action) {
    std::promise<void> done;
    loop.post([&] {
        action();
        done.set_value();
    });
    done.get_future().get();
}

}  // namespace

// Guards against an exception in one handler that stops the loop for all other handlers.
BOOST_AUTO_TEST_CASE(an_exception_does_not_stop_the_loop) {
    event_loop loop;
    loop.start();
    loop.post([] { throw std::runtime_error("planned by the test"); });
    bool ran = false;
    run(loop, [&] { ran = loop.is_loop_thread(); });
    BOOST_TEST(ran);
    BOOST_TEST(!loop.is_loop_thread());
}

// Guards against a rearmed timer that fires twice or at the earlier time.
BOOST_AUTO_TEST_CASE(rearming_replaces_the_earlier_time) {
    event_loop loop;
    loop.start();
    std::promise<std::chrono::steady_clock::time_point> fired;
    loop_timer timer(loop, [&] { fired.set_value(std::chrono::steady_clock::now()); });
    auto start = std::chrono::steady_clock::now();
    run(loop, [&] {
        timer.arm(milliseconds(1));
        timer.arm(milliseconds(60));
    });
    BOOST_TEST((fired.get_future().get() - start >= milliseconds(60)));
    run(loop, [&] { timer.cancel(); });
}

// Guards against an action that runs after its timer, and the objects it uses, were destroyed.
BOOST_AUTO_TEST_CASE(a_destroyed_timer_does_not_fire) {
    event_loop loop;
    loop.start();
    std::atomic<int> fired{0};
    run(loop, [&] {
        loop_timer timer(loop, [&] { ++fired; });
        timer.arm(milliseconds(1));
    });
    std::this_thread::sleep_for(milliseconds(30));
    run(loop, [] {});
    BOOST_TEST(fired == 0);
}

}  // namespace trefoil::io
