// Implements the event loop with Boost.Asio.

#include "io/event_loop.h"

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <thread>
#include <utility>

#include "base/log.h"

namespace trefoil::io {

class event_loop::implementation {
public:
    implementation() : context(1), work(boost::asio::make_work_guard(this->context)) {}

    void start() {
        this->thread = std::thread([this] { this->run(); });
    }

    void stop() {
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    boost::asio::io_context context;

private:
    // An exception from one connection's handler must not stop the loop for all other connections.
    void run() {
        while (!this->context.stopped()) {
            try {
                this->context.run();
            } catch (const std::exception& error) {
                log(log_level::error, "event_handler_failed", {{"detail", error.what()}});
            }
        }
    }

    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
};

event_loop::event_loop() : self(std::make_unique<implementation>()) {}

event_loop::~event_loop() {
    this->self->stop();
}

void event_loop::start() {
    this->self->start();
}

void event_loop::stop() {
    this->self->stop();
}

void event_loop::post(std::function<void()> action) {
    boost::asio::post(this->self->context, std::move(action));
}

void event_loop::dispatch(std::function<void()> action) {
    boost::asio::dispatch(this->self->context, std::move(action));
}

bool event_loop::is_loop_thread() const {
    return this->self->context.get_executor().running_in_this_thread();
}

boost::asio::io_context& event_loop::context() {
    return this->self->context;
}

class loop_timer::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(boost::asio::io_context& context, std::function<void()> given)
        : timer(context), action(std::move(given)) {}

    void arm(std::chrono::nanoseconds delay) {
        this->timer.expires_after(delay);
        this->timer.async_wait(
            [timer_state = this->shared_from_this()](const boost::system::error_code& error) {
                if (!error && timer_state->active) {
                    timer_state->action();
                }
            });
    }

    void deactivate() {
        this->active = false;
        this->timer.cancel();
    }

    boost::asio::steady_timer timer;

private:
    std::function<void()> action;
    // False after the destruction of the loop_timer. Cancelling has no effect on a handler that is
    // already queued, so the handler checks this before it runs the action.
    std::atomic<bool> active{true};
};

loop_timer::loop_timer(event_loop& loop, std::function<void()> action)
    : self(std::make_shared<implementation>(loop.context(), std::move(action))) {}

loop_timer::~loop_timer() {
    this->self->deactivate();
}

void loop_timer::arm(std::chrono::nanoseconds delay) {
    this->self->arm(delay);
}

void loop_timer::cancel() {
    this->self->timer.cancel();
}

}  // namespace trefoil::io
