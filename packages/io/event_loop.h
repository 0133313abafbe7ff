// A single-threaded event loop for the daemon's sockets and timers. The sockets to callers, peers
// and upstreams share one loop, so a request passes through the daemon without switching threads.
//
// Example:
//
//     io::event_loop loop;
//     loop.start();
//     loop.post([] { ... });
//     io::loop_timer timer(loop, [] { ... });
//     timer.arm(std::chrono::milliseconds(20));
//
// This header needs no Boost.Asio header, because parts of the project that include it are compiled
// as C++17.

#ifndef TREFOIL_IO_EVENT_LOOP_H_
#define TREFOIL_IO_EVENT_LOOP_H_

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace trefoil::io {

// Owns the loop's thread. The destructor calls stop().
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void start();
    // Stops the loop and joins its thread. The action that is running completes; queued ones do not
    // run. Must not be called on the loop's thread.
    void stop();

    // Queues an action to run on the loop's thread. Never runs it within the call. Safe for
    // concurrent use.
    void post(std::function<void()> action);
    // Runs an action within the call when called on the loop's thread, and otherwise queues it like
    // post(). Safe for concurrent use.
    void dispatch(std::function<void()> action);
    // Whether the calling thread is the loop's thread.
    bool is_loop_thread() const;

    boost::asio::io_context& context();

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

// A one-shot timer that runs an action on the loop. Must be used on the loop's thread, or before
// the loop starts. The action does not run after the timer's destruction.
class loop_timer {
public:
    loop_timer(event_loop& loop, std::function<void()> action);
    ~loop_timer();
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;

    // Schedules the action after `delay`. An earlier delay that has not passed is cancelled.
    void arm(std::chrono::nanoseconds delay);
    void cancel();

private:
    class implementation;
    std::shared_ptr<implementation> self;
};

}  // namespace trefoil::io

#endif  // TREFOIL_IO_EVENT_LOOP_H_
