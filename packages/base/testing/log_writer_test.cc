// Tests of the log writer when nobody reads standard output.

#define BOOST_TEST_MODULE base_log_writer
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <string>

#include "base/log.h"

namespace trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int standard_output = 1;

// Replaces standard output by a completely full pipe for the lifetime of this object.
class full_pipe {
public:
    full_pipe() : original_output(dup(standard_output)) {
        BOOST_REQUIRE(pipe(this->ends.data()) == 0);
        fcntl(this->ends[1], F_SETFL, O_NONBLOCK);
        std::string filler(4096, '.');
        for (std::size_t size : {filler.size(), std::size_t{1}}) {
            while (write(this->ends[1], filler.data(), size) > 0) {
                this->filled += size;
            }
        }
        fcntl(this->ends[1], F_SETFL, 0);
        dup2(this->ends[1], standard_output);
    }
    ~full_pipe() {
        dup2(this->original_output, standard_output);
        close(this->original_output);
        close(this->ends[0]);
        close(this->ends[1]);
    }
    full_pipe(const full_pipe&) = delete;
    full_pipe& operator=(const full_pipe&) = delete;

    // Reads until `last` has been read and returns everything after the filler.
    std::string read_until(const std::string& last) const {
        std::string all;
        std::array<char, 4096> part{};
        while (all.find(last, std::min(all.size(), this->filled)) == std::string::npos) {
            ssize_t got = read(this->ends[0], part.data(), part.size());
            if (got <= 0) {
                break;
            }
            all.append(part.data(), static_cast<std::size_t>(got));
        }
        return all.substr(std::min(all.size(), this->filled));
    }

private:
    int original_output;
    std::array<int, 2> ends{};
    std::size_t filled = 0;
};

void log_many(int lines) {
    for (int i = 0; i < lines; ++i) {
        log(log_level::info, "request", {{"id", fmt::to_string(i)}});
    }
}

}  // namespace

// Guards against threads that block in log() when the reader of standard output stalls, and against
// lost lines that are not reported. Boost.Test prints to standard output, so the checks follow
// after the pipe is closed.
BOOST_AUTO_TEST_CASE(a_full_pipe_blocks_no_thread_and_lost_lines_are_reported) {
    constexpr std::size_t queue_lines = 64;
    constexpr int lines = 20'000;
    bool logged = true;
    bool flushed_while_full = true;
    bool flushed_after = false;
    log_totals totals;
    std::string written;
    {
        full_pipe output;
        start_log_writer(
            {.queue_lines = queue_lines, .budget = {.lines_per_second = 1e6, .burst_lines = 1e6}});
        auto start = [] { return std::async(std::launch::async, [] { log_many(lines); }); };
        std::array<std::future<void>, 2> threads = {start(), start()};
        for (auto& each : threads) {
            logged = logged && each.wait_for(seconds(10)) == std::future_status::ready;
        }
        flushed_while_full = flush_log(milliseconds(50));
        totals = read_log_totals();
        // The pipe is now read. The first flush may start while half of the queue or more is in
        // use, and then does not report the overrun; the second one reports it.
        auto text =
            std::async(std::launch::async, [&] { return output.read_until(" event_after"); });
        flushed_after = flush_log(seconds(5));
        flushed_after = flush_log(seconds(5)) && flushed_after;
        log(log_level::info, "event_after");
        written = text.get();
    }
    BOOST_TEST(logged);
    BOOST_TEST(!flushed_while_full);
    BOOST_TEST(totals.written == 2U * lines);
    // All lines are lost but those in the queue, the one that the writer is blocked on, and one
    // more that it may have taken from the queue before.
    BOOST_TEST(totals.overrun >= totals.written - queue_lines - 2);
    BOOST_TEST(flushed_after);
    BOOST_TEST(written.find("log_lines_overrun count=") != std::string::npos);
    BOOST_TEST(written.find("id=" + std::to_string(lines - 1)) != std::string::npos);
}

}  // namespace trefoil
