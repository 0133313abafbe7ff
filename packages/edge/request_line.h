// The requests of one connection that are read but not answered, in the order in which they
// arrived. Decides which of them are passed on before the earlier ones are answered, and which end
// without a response because an earlier response closes the connection. Internal to the package;
// uses no socket and no clock.
//
// Example:
//
//     detail::request_line line({});
//     line.add({.request = request, .may_run_ahead = true, .arrived = now});
//     while (line.can_start()) {
//         auto link = make_link();
//         handler.handle(line.start(link, now), link);
//     }
//     ...
//     line.finish(link.get(), response);
//     if (line.has_ready()) { write(line.take_ready()); }

#ifndef TREFOIL_EDGE_REQUEST_LINE_H_
#define TREFOIL_EDGE_REQUEST_LINE_H_

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "edge/http_server.h"
#include "edge/http_types.h"

namespace trefoil::edge::detail {

// Connects a request that was passed on with its connection.
class caller_link : public responder {
public:
    // The request gets no response: its caller has gone, or sends it again.
    virtual void notify_caller_gone() = 0;
};

struct line_limits {
    // Requests that are passed on and not answered.
    std::size_t running = 8;
    // Bytes of the requests behind the first one and of the responses that wait for their turn.
    // Above it, no further request is read. While the responses alone exceed it, none runs ahead.
    std::size_t bytes = std::size_t{64} << 10U;
};

struct received_request {
    http_request request;
    // Whether it may be passed on while earlier requests are not answered, and be sent again by the
    // caller when one of them closes the connection.
    bool may_run_ahead = false;
    bool keep_alive = true;  // As the caller asked for.
    bool head = false;
    std::size_t bytes = 0;
    std::chrono::steady_clock::time_point arrived{};
};

struct ready_response {
    http_response response;
    bool head = false;
    bool keep_connection = true;
};

class request_line {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using links = std::vector<std::shared_ptr<caller_link>>;

    explicit request_line(line_limits given = {}) : limits(given) {}

    bool empty() const { return this->entries.empty(); }
    std::size_t size() const { return this->entries.size(); }
    // No further request is added, and the last response closes the connection.
    bool closing() const { return this->closed; }
    // Bytes of the responses that are not taken.
    std::size_t response_bytes() const { return this->waiting_response_bytes; }
    // Bytes that count toward the limit.
    std::size_t held_bytes() const;
    // Whether a further request may be read. `partial_bytes` of it have been read.
    bool accepts(std::size_t partial_bytes) const;

    void add(received_request received);
    // Adds a request that is refused in its turn. Its response closes the connection.
    void add_refused(http_response response);

    // Whether the next request may be passed on.
    bool can_start() const;
    // Returns the next request, whose response is given to finish() with this link.
    http_request start(std::shared_ptr<caller_link> link, time_point now);
    // Answers the next request without passing it on. The response closes the connection.
    void refuse_next(http_response response);
    // Whether a request that was passed on is not written yet, so that the next one runs ahead.
    bool next_is_ahead() const { return this->started > 0; }

    // Sets the response to a request that was passed on. Returns false if it is not in the line any
    // more.
    bool finish(const caller_link* link, http_response response);

    // Whether the response that is due has arrived and is not taken.
    bool has_ready() const;
    ready_response take_ready();
    bool writing() const { return this->taken; }
    // The response that was taken is written.
    void on_written();

    // Lets the response to the last request that was passed on close the connection. The requests
    // behind it are not passed on. No effect if there is none, or if its response is being written.
    void close_after_started();
    // Ends all requests except the one whose response is being written.
    void abandon();

    // The requests that were passed on and have no response yet.
    links unanswered() const;
    // The requests that were passed on and have left the line without a response since the last
    // call.
    links take_dropped();
    // Number of requests that have left the line behind a response that closes the connection since
    // the last call.
    std::size_t take_dropped_count() { return std::exchange(this->dropped_count, 0); }

private:
    struct entry {
        received_request received;
        std::shared_ptr<caller_link> link;  // Set from start() to finish().
        std::optional<http_response> response;
    };
    using entry_list = std::list<entry>;

    entry_list::const_iterator next() const;
    void close_after(entry_list::iterator last);
    void drop_from(entry_list::iterator first);

    line_limits limits;
    entry_list entries;
    std::size_t started = 0;  // The first `started` entries were passed on, all others were not.
    std::size_t request_bytes = 0;           // Of all entries.
    std::size_t waiting_response_bytes = 0;  // Of the responses that are not taken.
    bool closed = false;
    bool taken = false;  // The first response was taken and is not written yet.
    links dropped;
    std::size_t dropped_count = 0;
};

}  // namespace trefoil::edge::detail

#endif  // TREFOIL_EDGE_REQUEST_LINE_H_
