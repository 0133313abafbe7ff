// Implements the order in which the requests of one connection are passed on and answered.

#include "edge/request_line.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoil::edge::detail {

namespace {

// Counted for each request in addition to its bytes, for the objects that represent it.
constexpr std::size_t entry_bytes = 1024;

}  // namespace

std::size_t request_line::held_bytes() const {
    return this->empty() ? 0
                         : this->request_bytes - this->entries.front().received.bytes +
                               this->waiting_response_bytes;
}

bool request_line::accepts(std::size_t partial_bytes) const {
    return !this->closed &&
           (this->empty() || this->held_bytes() + partial_bytes < this->limits.bytes);
}

void request_line::add(received_request received) {
    received.bytes += entry_bytes;
    this->request_bytes += received.bytes;
    this->closed = this->closed || !received.keep_alive;
    this->entries.push_back({.received = std::move(received)});
}

void request_line::add_refused(http_response response) {
    this->add({.keep_alive = false});
    this->waiting_response_bytes += response.body.size();
    this->entries.back().response = std::move(response);
}

request_line::entry_list::const_iterator request_line::next() const {
    return std::next(this->entries.begin(), static_cast<std::ptrdiff_t>(this->started));
}

// Requests run ahead only of requests that may run ahead themselves, so that the order of requests
// that change something is kept.
bool request_line::can_start() const {
    auto candidate = this->next();
    if (candidate == this->entries.end() || candidate->response.has_value()) {
        return false;
    }
    if (this->started == 0) {
        return true;
    }
    return candidate->received.may_run_ahead && this->started < this->limits.running &&
           this->waiting_response_bytes < this->limits.bytes &&
           std::all_of(
               this->entries.begin(), candidate,
               [](const entry& each) { return each.received.may_run_ahead; });
}

http_request request_line::start(std::shared_ptr<caller_link> link, time_point now) {
    entry& chosen = *std::next(this->entries.begin(), static_cast<std::ptrdiff_t>(this->started));
    ++this->started;
    chosen.link = std::move(link);
    http_request request = std::move(chosen.received.request);
    request.waited = std::max(now - chosen.received.arrived, time_point::duration{0});
    return request;
}

void request_line::refuse_next(http_response response) {
    auto refused = std::next(this->entries.begin(), static_cast<std::ptrdiff_t>(this->started));
    this->waiting_response_bytes += response.body.size();
    refused->response = std::move(response);
    this->close_after(refused);
}

bool request_line::finish(const caller_link* link, http_response response) {
    auto found = std::find_if(this->entries.begin(), this->entries.end(),
                              [&](const entry& each) { return each.link.get() == link; });
    if (link == nullptr || found == this->entries.end()) {
        return false;
    }
    found->link.reset();
    bool closes = response.close_connection;
    this->waiting_response_bytes += response.body.size();
    found->response = std::move(response);
    if (closes) {
        this->close_after(found);
    }
    return true;
}

bool request_line::has_ready() const {
    return !this->taken && !this->empty() && this->entries.front().response.has_value();
}

ready_response request_line::take_ready() {
    entry& first = this->entries.front();
    this->taken = true;
    this->waiting_response_bytes -= first.response->body.size();
    return {.response = std::move(*first.response),
            .head = first.received.head,
            .keep_connection = !this->closed || this->size() > 1};
}

void request_line::on_written() {
    this->taken = false;
    this->request_bytes -= this->entries.front().received.bytes;
    this->entries.pop_front();
    this->started -= std::min<std::size_t>(this->started, 1);
}

void request_line::close_after_started() {
    if (this->started > (this->taken ? 1U : 0U)) {
        this->close_after(
            std::next(this->entries.begin(), static_cast<std::ptrdiff_t>(this->started) - 1));
    }
}

void request_line::abandon() {
    this->closed = true;
    this->drop_from(this->taken ? std::next(this->entries.begin()) : this->entries.begin());
}

void request_line::close_after(entry_list::iterator last) {
    this->closed = true;
    this->dropped_count +=
        static_cast<std::size_t>(std::distance(std::next(last), this->entries.end()));
    this->drop_from(std::next(last));
}

void request_line::drop_from(entry_list::iterator first) {
    for (auto each = first; each != this->entries.end(); ++each) {
        this->request_bytes -= each->received.bytes;
        if (each->response.has_value()) {
            this->waiting_response_bytes -= each->response->body.size();
        }
        if (each->link != nullptr) {
            this->dropped.push_back(std::move(each->link));
        }
    }
    this->entries.erase(first, this->entries.end());
    this->started = std::min(this->started, this->size());
}

request_line::links request_line::unanswered() const {
    links found;
    for (const entry& each : this->entries) {
        if (each.link != nullptr) {
            found.push_back(each.link);
        }
    }
    return found;
}

request_line::links request_line::take_dropped() {
    return std::exchange(this->dropped, {});
}

}  // namespace trefoil::edge::detail
